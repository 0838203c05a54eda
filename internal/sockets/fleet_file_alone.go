//go:build alone

package sockets

import "fmt"

// readFleetFile always fails: a program built with the tag alone is for nodes on their own and links nothing of a
// fleet. The protobuf library of the members' messages reads the program's own file at every start, used or not.
func readFleetFile(path, _ string) (membership, error) {
	return membership{}, fmt.Errorf("fleet %s: this program is built for nodes on their own; build it without -tags alone",
		path)
}
