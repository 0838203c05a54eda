// Package rig runs several processes of the built program on one machine, each with its own loopback addresses and
// directory, and injects faults into their links and processes: those of a script and those generated from a seed. It
// records its own actions and what it observes as events of a history. The checkers read only the history to find
// violations of the rules.
//
// A run owns its processes, relays, stand-ins and directories; when Run returns, all its processes and goroutines have
// ended. The package uses no address outside 127.0.0.0/8 and none of the node's internals: it reads the node's log, the
// HTTP endpoints of its admin address and the answers that the clients receive.
package rig
