package configfeed

import (
	"errors"
	"fmt"
)

// newRevision is a revision to be saved, with the resulting state.
type newRevision struct {
	revision Revision
	state    State
}

// revise returns the revision for a change, or the outcome if the change is rejected or needs no revision.
func (s *Server) revise(now float64, c *change) (newRevision, *Outcome) {
	if c.proposal == nil {
		return s.reviseEpoch(now, c.epoch)
	}
	p := c.proposal
	if refused := s.checkProposal(p); refused != nil {
		return newRevision{}, refused
	}
	to := Version{Epoch: max(s.state.Version.Epoch, 1), Revision: s.state.Version.Revision + 1}
	next, err := NewState(to, p.Entries)
	switch {
	case errors.Is(err, ErrTooLarge):
		return newRevision{}, &Outcome{Kind: TooLarge, Detail: err.Error()}
	case err != nil:
		return newRevision{}, &Outcome{Kind: Invalid, Detail: err.Error()}
	}
	delta := Delta{From: s.state.Version, To: to, Digest: next.Digest}
	delta.Set, delta.Delete = difference(s.state.Entries, next.Entries)
	if refused := checkDelta(delta); refused != nil {
		return newRevision{}, refused
	}
	revision := Revision{Delta: delta, At: now, Author: p.Author, Note: p.Note, Proposal: p.ID}
	return newRevision{revision: revision, state: next}, nil
}

// checkProposal returns the outcome of a proposal if it does not depend on the proposal's entries, and otherwise nil.
func (s *Server) checkProposal(p *Proposal) *Outcome {
	if v, applied := s.history.proposals[p.ID]; applied && !s.rules.forgetProposals {
		return &Outcome{Kind: Accepted, Version: v}
	}
	if reason := s.notReady(); reason != "" {
		return &Outcome{Kind: NotReady, Detail: reason}
	}
	if p.IfVersion != s.state.Version {
		return &Outcome{Kind: Conflict, Detail: fmt.Sprintf("the newest version is %s", s.state.Version)}
	}
	return nil
}

// checkDelta returns the outcome of a delta that is empty or exceeds MaxChangeBytes, and otherwise nil.
func checkDelta(d Delta) *Outcome {
	if len(d.Set) == 0 && len(d.Delete) == 0 {
		return &Outcome{Kind: NoChange}
	}
	if size := d.bytes(); size > MaxChangeBytes {
		return &Outcome{Kind: TooLarge, Detail: fmt.Sprintf("change must be at most %d bytes, got %d", MaxChangeBytes, size)}
	}
	return nil
}

// reviseEpoch returns the revision that begins an epoch with the current entries, or the outcome if the requested epoch is
// not higher than every reported one or exceeds MaxEpoch.
func (s *Server) reviseEpoch(now float64, e epochRequest) (newRevision, *Outcome) {
	if e.number == 0 {
		e.number = s.newest.Epoch + 1
	}
	if e.number <= s.newest.Epoch || e.number > MaxEpoch {
		detail := fmt.Sprintf("epoch %d was seen, and %d is the last one", s.newest.Epoch, uint64(MaxEpoch))
		return newRevision{}, &Outcome{Kind: Invalid, Detail: detail}
	}
	next := s.state
	next.Version = Version{Epoch: e.number, Revision: 1}
	next.Digest = digest(next.Entries)
	delta := Delta{From: s.state.Version, To: next.Version, Digest: next.Digest}
	revision := Revision{Delta: delta, At: now, Author: e.author, Note: e.note}
	return newRevision{revision: revision, state: next}, nil
}
