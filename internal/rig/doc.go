// Package rig runs several processes of the built node, each with its own loopback addresses and directory, and injects
// faults into their links and processes as a script or a seed says. It records everything that it observes in a history,
// and the checkers find violations of the rules in that history alone.
//
// A run owns its processes, relays, stand-ins and directories; when Run returns, no process or goroutine of it is left.
// The package uses no address outside 127.0.0.0/8, and it does not use the node's internals: it reads the node's log,
// its admin address and what its clients receive.
package rig
