// Package sockets runs the core of a node (package node) on real sockets. It owns the process's descriptors: the
// listener for clients, the connections to clients and hosts, the calls to discovery, the second address, the
// messages among nodes and the handover to another process of the same node.
//
// One loop calls the core, one input at a time, and carries out the effects that the core asks for. All other
// goroutines only accept, read, write, dial and watch; they hand their results to the loop and belong to one
// errgroup, so that nothing runs on once Run has returned. The package decides nothing about flows or hosts.
package sockets
