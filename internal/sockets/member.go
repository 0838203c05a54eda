//go:build !alone

package sockets

import (
	"fmt"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/fleet"
	"gorseledge/internal/fleet/view"
)

// readFleet reads the fleet file of a node with this name.
func readFleet(path, name string) (member, error) {
	c, err := fleet.Read(path)
	if err != nil {
		return member{}, err
	}
	follows := len(c.Control) > 0
	if follows && len(name) > configfeed.MaxNameBytes {
		return member{}, fmt.Errorf("fleet: a name of %d bytes, and %d do where control servers are followed", len(name), configfeed.MaxNameBytes)
	}
	return member{open: func(o view.Options) view.Part { return fleet.New(c, o) }, follows: follows}, nil
}
