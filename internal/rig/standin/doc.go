// Package standin provides the environment of a node for tests and experiments: hosts that echo the lines that they receive, a
// discovery service that publishes endpoint lists, and clients that run one flow each. All of them use loopback sockets.
//
// Hosts and Discovery own the sockets and goroutines that they start; their Close methods release both. The package
// implements only the parts of the protocols that such runs need and is not meant to serve real clients.
package standin
