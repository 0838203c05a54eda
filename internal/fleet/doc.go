// Package fleet makes a node a member of its fleet. It adds to the protocol core in package membership what the core does
// not have: the fleet file, the node's UDP socket, timers, and the authentication of messages. If the fleet file names
// control servers, the package also follows them, that is, it receives the node's configuration from them.
//
// The package makes no decisions about members: it passes datagrams and the time to the core and carries out the effects
// that the core returns. A node without a fleet file does not use this package.
//
// The files of the package:
//
//	fleet.go            Fleet, the interface to the rest of the node
//	socket.go           loop that serves the socket and the timer
//	messages.go         datagrams that are received and sent, and the core's effects
//	handover.go         handover of the membership between the processes of a node
//	config.go           fleet file
//	authenticator.go    authentication of datagrams and detection of replays
//	config_follower.go  following the control servers
//	budget_divisor.go   number of nodes that share a budget
package fleet
