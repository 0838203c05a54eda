package configfeed

// rules are the rules of safety. The zero value is in use; only tests, and a build with
// the tag oneserver for the rig's tests, switch single rules off, to show that their
// checkers fire.
type rules struct {
	acceptOlder       bool // a server that is behind sends what it has, and a follower takes it
	skipDigest        bool // neither side looks at digests, nor a follower at where a delta starts
	answerUnsaved     bool // a proposal is accepted before it is saved
	skipMajority      bool // the writer does not wait for the other servers' versions
	forgetProposals   bool // a repeated proposal is applied again
	neverSwitchServer bool // a follower polls one server only
}

// mayReplace reports whether a version in force may be replaced by another.
func (r rules) mayReplace(have, next Version) bool {
	return next.Epoch <= MaxEpoch && (next.Compare(have) > 0 || r.acceptOlder && next != have)
}

// verify reports whether a state is what its digest says.
func (r rules) verify(s State) error {
	if r.skipDigest {
		return nil
	}
	return s.Verify()
}

// apply returns a state after a delta, without the check of the digest.
func (r rules) apply(s State, d Delta) (State, error) {
	if r.skipDigest {
		s.Version = d.From
	}
	return s.apply(d)
}
