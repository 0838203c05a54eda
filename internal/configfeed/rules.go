package configfeed

// rules disables individual safety rules. Production uses the zero value. Only tests set a field, and the mutant build
// with the tag oneserver for the rig's tests, to verify that their checks detect the fault.
type rules struct {
	acceptOlder       bool // a server that is behind the follower sends its state, and the follower accepts it
	skipDigest        bool // digests are not compared, nor is the version from which a delta starts
	answerUnsaved     bool // a proposal is answered with Accepted before it is saved
	skipMajority      bool // the writer does not wait until a majority of the servers has reported its versions
	forgetProposals   bool // a retried proposal is applied again
	neverSwitchServer bool // a follower polls the same server even after failures
}

// mayReplace reports whether the version next may replace the version have.
func (r rules) mayReplace(have, next Version) bool {
	if next.Epoch > MaxEpoch {
		return false
	}
	if r.acceptOlder {
		return next != have
	}
	return next.Compare(have) > 0
}

// verify returns an error unless a state is valid and its digest matches its entries.
func (r rules) verify(s State) error {
	if r.skipDigest {
		return nil
	}
	return s.Verify()
}

// apply returns the state after a delta, without verifying its digest.
func (r rules) apply(s State, d Delta) (State, error) {
	if r.skipDigest {
		s.Version = d.From
	}
	return s.apply(d)
}
