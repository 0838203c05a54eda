// Package sockets runs the core of a node (package node) on real sockets. It owns the process's descriptors: the
// listener for clients, the connections to clients and hosts, the calls to discovery, the admin address, the
// messages among nodes and the handover to another process of the same node.
//
// One loop passes inputs to the core, one at a time, and carries out the effects that the core returns. All other
// goroutines only accept, read, write, dial and watch; they hand their results to the loop and belong to one
// errgroup, so that no goroutine is left when Run returns. The package decides nothing about flows or hosts.
package sockets
