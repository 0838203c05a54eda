// Package membership detects which nodes of a fleet are alive. It implements SWIM (Das, Gupta, Motivala 2002) with the
// extensions of Lifeguard (Dadgar, Phillips, Currey 2018).
//
// The package owns the membership state of one node: what it knows about each member, its probes, its suspicions and the
// updates that it still has to gossip. It does no I/O, reads no clock and starts no goroutine: Members.Tick and
// Members.Receive take the time in seconds and return effects, which the caller carries out. All randomness comes from
// the seed, so that the same calls give the same effects.
//
// A member passes through these states at another member:
//
//	alive    until a probe of it fails, or another member reports that it is suspect (probe.go, merge.go)
//	suspect  until it refutes the suspicion with a new incarnation, or the suspicion expires (suspicion.go)
//	dead     when its suspicion has expired: declareGone in expiry.go is the only place that declares a death
//	left     when it announces that it leaves (merge.go), or a report of that is not refuted (expiry.go)
package membership
