// Package fleet joins a node to the other nodes of its fleet. It owns what the core in package membership does without:
// the fleet file, the node's UDP address, timers, and the authentication of messages. It also follows the control servers
// for the node, where the fleet file names some.
//
// The package decides nothing about members: it passes datagrams and the time to the core and carries out the core's
// effects. A node without a fleet file has no part in a fleet, and none of this runs.
//
// Where the parts are:
//
//	fleet.go            the node's part in a fleet, as the rest of the node uses it
//	socket.go           the loop of the socket and the timer
//	messages.go         datagrams in and out, and the core's effects
//	handover.go         hand-over of the membership between the processes of a node
//	config.go           the fleet file
//	authenticator.go    what proves that a datagram is the fleet's and new
//	config_follower.go  following the control servers
//	budget_divisor.go   the number of nodes that share a budget
package fleet
