// Package lbwire implements the protocol of the simulator. Each instance that the simulator runs has a balancer of package
// placement. The package decodes batches of events into calls on these balancers and encodes their decisions into replies.
// It maps between the protocol's codes, ids and microseconds and the balancer's types, indices and seconds, and makes no
// decisions of its own.
package lbwire
