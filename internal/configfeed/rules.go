package configfeed

// rules switch single safety rules off. The zero value is in use: only tests, and the mutant build with the tag oneserver
// for the rig's tests, set a field, to show that their checks detect the fault.
type rules struct {
	acceptOlder       bool // a server that is behind sends its state, and a follower accepts it
	skipDigest        bool // neither side compares digests, nor does a follower compare where a delta starts
	answerUnsaved     bool // a proposal is accepted before it is saved
	skipMajority      bool // the writer does not wait for the other servers' versions
	forgetProposals   bool // a repeated proposal is applied again
	neverSwitchServer bool // a follower polls a single server
}

// mayReplace reports whether a version in force may be replaced by another.
func (r rules) mayReplace(have, next Version) bool {
	if next.Epoch > MaxEpoch {
		return false
	}
	if r.acceptOlder {
		return next != have
	}
	return next.Compare(have) > 0
}

// verify returns an error unless a state is valid and has its digest.
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
