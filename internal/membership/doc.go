// Package membership detects which nodes of a fleet are alive. It implements SWIM (Das, Gupta, Motivala 2002) with the
// extensions of Lifeguard (Dadgar, Phillips, Currey 2018).
//
// Members holds the membership state of one node: what the node knows about each member, its probes, its suspicions and
// the updates that it still has to gossip. It does no I/O, reads no clock and starts no goroutine: Members.Tick and
// Members.Receive accept the current time in seconds and return effects, which the caller carries out. All randomness
// comes from the configured seed, so that the same sequence of calls returns the same effects.
//
// A node records one of these states for each other member:
//
//	alive    until a probe of the member fails, or another member reports it as suspect (probe.go, merge.go)
//	suspect  until the member refutes the suspicion with a new incarnation, or the suspicion expires (suspicion.go)
//	dead     after the suspicion has expired; declareGone in expiry.go is the only function that declares a death
//	left     after the member announced that it leaves (merge.go), or did not refute a report of that (expiry.go)
package membership
