// Package lbwire speaks the simulator's protocol: it decodes batches of events into calls on a balancer of package
// placement for each simulated instance, and encodes the balancers' decisions into replies. It owns the mapping between
// the protocol's codes, ids and microseconds and the balancer's terms, indices and seconds. It decides nothing.
package lbwire
