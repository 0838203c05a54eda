package configfeed

import (
	"errors"
	"fmt"
)

// maxQueuedChanges is how many proposals may wait for the save under way.
const maxQueuedChanges = 64

// change is a proposal, or a new epoch that an operator asked for, and who waits for its outcome.
type change struct {
	requests []uint64
	proposal *Proposal
	epoch    epochRequest
}

// epochRequest asks for a new epoch; the number zero is for the next one.
type epochRequest struct {
	number       uint64
	author, note string
}

// saveInProgress is the save under way.
type saveInProgress struct {
	save   Save
	change *change // that is saved, or nil
	peer   *peer   // whose offer is saved, or nil
}

// Propose takes a proposal. The request is answered by an AnswerProposal. The outcome is NotReady until the writer has
// heard the versions of a majority of the servers since its start, so that it can tell that its disk was put back to an
// older state; while a server or follower has shown a newer version than the writer's; and while another server has
// other entries under the writer's version.
func (s *Server) Propose(now float64, request uint64, p Proposal) []ServerEffect {
	if waiting := s.findChange(p.ID); waiting != nil {
		waiting.requests = append(waiting.requests, request)
		return s.takeEffects()
	}
	s.enqueue(now, &change{requests: []uint64{request}, proposal: &p})
	return s.takeEffects()
}

// NewEpoch begins an epoch with the entries that the writer has, as an operator asks for after a backup was restored.
// Zero draws the one after the highest seen; any other has to be higher than that.
func (s *Server) NewEpoch(now float64, request uint64, epoch uint64, author, note string) []ServerEffect {
	s.enqueue(now, &change{requests: []uint64{request}, epoch: epochRequest{number: epoch, author: author, note: note}})
	return s.takeEffects()
}

// findChange returns the change with a proposal's ID that is being saved or waits, or nil.
func (s *Server) findChange(id string) *change {
	if s.saving != nil && s.saving.change.isProposal(id) {
		return s.saving.change
	}
	for _, c := range s.queue {
		if c.isProposal(id) {
			return c
		}
	}
	return nil
}

// isProposal reports whether the change is the proposal with an ID.
func (c *change) isProposal(id string) bool {
	return c != nil && c.proposal != nil && c.proposal.ID == id && id != ""
}

func (s *Server) enqueue(now float64, c *change) {
	switch {
	case !s.isWriter():
		s.answerChange(c, Outcome{Kind: NotWriter, Writer: s.config.Writer})
	case len(s.queue) >= maxQueuedChanges:
		s.answerChange(c, Outcome{Kind: NotReady, Detail: "too many proposals wait"})
	default:
		s.queue = append(s.queue, c)
		s.startNextSave(now)
	}
}

// answerChange describes all who wait for a change what became of it.
func (s *Server) answerChange(c *change, o Outcome) {
	if o.Version == (Version{}) {
		o.Version = s.state.Version
	}
	for _, request := range c.requests {
		s.emit(AnswerProposal{Request: request, Outcome: o})
	}
}

// startNextSave begins the next save, if none is under way: of what another server offers, else of what was proposed.
func (s *Server) startNextSave(now float64) {
	for s.saving == nil {
		if p := s.bestOffer(now); p != nil {
			s.startSave(saveInProgress{save: Save{State: p.offer.State, Revisions: p.offer.revisions}, peer: p})
			return
		}
		if len(s.queue) == 0 {
			return
		}
		c := s.queue[0]
		s.queue = s.queue[1:]
		revision, next, refused := s.revise(now, c)
		if refused != nil {
			s.answerChange(c, *refused)
			continue
		}
		s.startSave(saveInProgress{save: Save{State: next, Revisions: []Revision{revision}}, change: c})
		if s.rules.answerUnsaved {
			s.answerChange(c, Outcome{Kind: Accepted, Version: next.Version})
		}
	}
}

// startSave asks for a save.
func (s *Server) startSave(next saveInProgress) {
	s.lastSave++
	next.save.ID = s.lastSave
	s.saving = &next
	s.emit(next.save)
}

// revise returns the revision and the state that a change leads to, or the outcome where it does not lead to any.
func (s *Server) revise(now float64, c *change) (Revision, State, *Outcome) {
	if c.proposal == nil {
		return s.reviseEpoch(now, c.epoch)
	}
	p := c.proposal
	refuse := func(kind OutcomeKind, detail string) (Revision, State, *Outcome) {
		return Revision{}, State{}, &Outcome{Kind: kind, Detail: detail}
	}
	if v, applied := s.history.proposals[p.ID]; applied && !s.rules.forgetProposals {
		return Revision{}, State{}, &Outcome{Kind: Accepted, Version: v}
	}
	if reason := s.notReady(); reason != "" {
		return refuse(NotReady, reason)
	}
	if p.IfVersion != s.state.Version {
		return refuse(Conflict, fmt.Sprintf("the newest version is %s", s.state.Version))
	}
	to := Version{Epoch: max(s.state.Version.Epoch, 1), Revision: s.state.Version.Revision + 1}
	next, err := NewState(to, p.Entries)
	switch {
	case errors.Is(err, ErrTooLarge):
		return refuse(TooLarge, err.Error())
	case err != nil:
		return refuse(Invalid, err.Error())
	}
	delta := Delta{From: s.state.Version, To: to, Digest: next.Digest}
	delta.Set, delta.Delete = difference(s.state.Entries, next.Entries)
	if len(delta.Set) == 0 && len(delta.Delete) == 0 {
		return refuse(NoChange, "")
	}
	if size := delta.bytes(); size > MaxChangeBytes {
		return refuse(TooLarge, fmt.Sprintf("change of %d bytes, at most %d", size, MaxChangeBytes))
	}
	return Revision{Delta: delta, At: now, Author: p.Author, Note: p.Note, Proposal: p.ID}, next, nil
}

// reviseEpoch returns the revision that begins an epoch with the entries of now.
func (s *Server) reviseEpoch(now float64, e epochRequest) (Revision, State, *Outcome) {
	if e.number == 0 {
		e.number = s.newest.Epoch + 1
	}
	if e.number <= s.newest.Epoch || e.number > MaxEpoch {
		detail := fmt.Sprintf("epoch %d was seen, and %d is the last one", s.newest.Epoch, uint64(MaxEpoch))
		return Revision{}, State{}, &Outcome{Kind: Invalid, Detail: detail}
	}
	next := s.state
	next.Version = Version{Epoch: e.number, Revision: 1}
	next.Digest = digest(next.Entries)
	delta := Delta{From: s.state.Version, To: next.Version, Digest: next.Digest}
	return Revision{Delta: delta, At: now, Author: e.author, Note: e.note}, next, nil
}

// notReady says why the writer takes no proposals, or nothing where it takes them.
func (s *Server) notReady() string {
	heard := 1
	for _, p := range s.peers {
		if p.heardSinceStart {
			heard++
		}
		if p.diverged(s.state.Version) {
			return fmt.Sprintf("server %s has other entries under version %s", p.Name, s.state.Version)
		}
	}
	if heard < s.majority() && !s.rules.skipMajority {
		return fmt.Sprintf("heard %d of %d servers since the start, itself included; a majority is %d",
			heard, len(s.peers)+1, s.majority())
	}
	if s.newest.Compare(s.state.Version) > 0 && !s.rules.skipMajority {
		return fmt.Sprintf("version %s was seen, and this server has %s", s.newest, s.state.Version)
	}
	return ""
}

// Saved takes the outcome of a Save. Only then a proposal is accepted, and followers are answered with the new state.
func (s *Server) Saved(now float64, save uint64, err error) []ServerEffect {
	if s.saving == nil || s.saving.save.ID != save {
		return nil
	}
	done := s.saving
	s.saving = nil
	if err != nil {
		s.saveFailed(now, done, err)
	} else {
		s.commitSave(now, done)
	}
	s.startNextSave(now)
	return s.takeEffects()
}

// saveFailed takes that a save did not succeed. The state stays as it is.
func (s *Server) saveFailed(now float64, done *saveInProgress, err error) {
	if done.change != nil {
		s.answerChange(done.change, Outcome{Kind: Failed, Detail: err.Error()})
	}
	if done.peer != nil {
		done.peer.offer = nil
		done.peer.follower.abandon(now)
	}
}

// commitSave takes a state that is on disk: followers are answered with it, servers first.
func (s *Server) commitSave(now float64, done *saveInProgress) {
	s.state = done.save.State
	s.history.append(done.save.Revisions, s.state)
	s.observeVersion(s.state.Version)
	clear(s.updates)
	s.answerPendingPolls()
	if done.change != nil {
		s.hasWritten = true
		s.answerChange(done.change, Outcome{Kind: Accepted, Version: s.state.Version})
	}
	for _, p := range s.peers {
		if p.offer == nil {
			p.follower.adopt(now, s.state)
		} else if p == done.peer {
			p.offer = nil
			s.carryOut(now, p, p.follower.Installed(now, s.state.Version))
		}
	}
}
