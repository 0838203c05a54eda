//go:build alone

package sockets

import "fmt"

// readFleetFile always returns an error: a program built with the tag alone is for nodes that belong to no fleet, and
// links no fleet code. One reason is the protobuf library of the members' messages: it reads the program's own file at
// every start, even if no fleet is used.
func readFleetFile(path, _ string) (membership, error) {
	return membership{}, fmt.Errorf("fleet %s: this program is built without support for fleets; build it without -tags alone",
		path)
}
