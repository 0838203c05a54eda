//go:build !alone

package sockets

import (
	"fmt"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/fleet"
	"gorseledge/internal/fleet/view"
)

// readFleetFile reads the fleet file of a node with this name.
func readFleetFile(path, name string) (membership, error) {
	config, err := fleet.Read(path)
	if err != nil {
		return membership{}, err
	}
	follows := len(config.Control) > 0
	if follows && len(name) > configfeed.MaxNameBytes {
		return membership{}, fmt.Errorf("fleet: a name of %d bytes, and %d do where control servers are followed",
			len(name), configfeed.MaxNameBytes)
	}
	open := func(options view.Options) view.Part { return fleet.New(config, options) }
	return membership{open: open, followsControl: follows}, nil
}
