//go:build alone

package sockets

import "fmt"

// readFleet refuses: a program built with the tag alone is for nodes on their own and links nothing of a
// fleet. The library that members' messages are written with reads the program's own file at every start,
// used or not.
func readFleet(path, _ string) (member, error) {
	return member{}, fmt.Errorf("fleet %s: this program is built for nodes on their own; build it without -tags alone",
		path)
}
