package configfeed

import "fmt"

// maxQueuedChanges is the maximum number of changes that may wait for the save in progress.
const maxQueuedChanges = 64

// change is a proposal, or an operator's request for a new epoch, with the requests that wait for its outcome.
type change struct {
	requests []uint64
	proposal *Proposal    // nil for a new epoch
	epoch    epochRequest // only used if proposal is nil
}

// epochRequest asks for a new epoch; the number zero selects the next one.
type epochRequest struct {
	number uint64
	author string
	note   string
}

// isProposal reports whether the change is the proposal with the given ID. It returns false for a nil change and for an
// empty ID.
func (c *change) isProposal(id string) bool {
	return c != nil && c.proposal != nil && c.proposal.ID == id && id != ""
}

// Propose handles a proposal. An AnswerProposal effect, of this or a later call, carries the outcome. A proposal with the
// ID of one that is being saved or queued shares its outcome.
//
// The outcome is NotWriter if this server is not the writer, and NotReady in these cases:
//   - Too many changes are waiting already (maxQueuedChanges).
//   - Less than a majority of the servers has reported its versions since the writer's start. Only a majority lets the writer
//     detect that its disk was restored from an older backup.
//   - A server or follower has reported a newer version than the writer's.
//   - Another server has different entries under the writer's version.
func (s *Server) Propose(now float64, request uint64, p Proposal) []ServerEffect {
	if same := s.findChange(p.ID); same != nil {
		same.requests = append(same.requests, request)
		return s.takeEffects()
	}
	s.enqueue(now, &change{requests: []uint64{request}, proposal: &p})
	return s.takeEffects()
}

// BeginEpoch begins an epoch with the entries that the writer has. An operator requests this after a backup was restored.
// The epoch must be higher than any reported one; zero selects the next one. An AnswerProposal effect carries the outcome.
func (s *Server) BeginEpoch(now float64, request uint64, epoch uint64, author, note string) []ServerEffect {
	requested := epochRequest{number: epoch, author: author, note: note}
	s.enqueue(now, &change{requests: []uint64{request}, epoch: requested})
	return s.takeEffects()
}

// findChange returns the change that is being saved or queued for the proposal with the given ID, or nil.
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

// enqueue adds a change to the queue, or answers it if this server is not the writer or the queue is full.
func (s *Server) enqueue(now float64, c *change) {
	switch {
	case !s.isWriter():
		s.answerChange(c, Outcome{Kind: NotWriter, Writer: s.config.Writer})
	case len(s.queue) >= maxQueuedChanges:
		s.answerChange(c, Outcome{Kind: NotReady, Detail: fmt.Sprintf("the queue is full: %d changes are waiting", len(s.queue))})
	default:
		s.queue = append(s.queue, c)
		s.startNextSave(now)
	}
}

// answerChange answers all requests that wait for a change.
func (s *Server) answerChange(c *change, o Outcome) {
	if o.Version == (Version{}) {
		o.Version = s.state.Version
	}
	for _, request := range c.requests {
		s.emit(AnswerProposal{Request: request, Outcome: o})
	}
}

// notReady returns the reason for which the writer cannot accept proposals, or an empty string if it can.
func (s *Server) notReady() string {
	heard := 1 // this server itself
	for _, p := range s.peers {
		if p.heardSinceStart {
			heard++
		}
		if p.diverged(s.state.Version) {
			return fmt.Sprintf("server %s has different entries under version %s", p.Name, s.state.Version)
		}
	}
	if s.rules.skipMajority {
		return ""
	}
	if heard < s.majority() {
		return fmt.Sprintf("heard %d of %d servers since the start, itself included; a majority is %d",
			heard, len(s.peers)+1, s.majority())
	}
	if s.newest.Compare(s.state.Version) > 0 {
		return fmt.Sprintf("version %s was reported, but this server has version %s", s.newest, s.state.Version)
	}
	return ""
}
