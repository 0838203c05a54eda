//go:build !alone

package sockets

import (
	"fmt"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/fleet"
	"gorseledge/internal/fleet/view"
)

// readFleetFile reads the fleet file of the node with the given name.
func readFleetFile(path, name string) (membership, error) {
	config, err := fleet.Read(path)
	if err != nil {
		return membership{}, err
	}
	follows := len(config.Control) > 0
	if follows && len(name) > configfeed.MaxNameBytes {
		return membership{}, fmt.Errorf("fleet: the name of a node that follows control servers must be at most %d bytes, got %d",
			configfeed.MaxNameBytes, len(name))
	}
	open := func(options view.Options) view.Membership { return fleet.New(config, options) }
	return membership{open: open, followsControl: follows}, nil
}
