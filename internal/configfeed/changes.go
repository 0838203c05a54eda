package configfeed

import "fmt"

// maxQueuedChanges is how many proposals may wait for the save in progress.
const maxQueuedChanges = 64

// change is a proposal, or a new epoch that an operator asked for, with the requests that wait for its outcome.
type change struct {
	requests []uint64
	proposal *Proposal    // nil for a new epoch
	epoch    epochRequest // only used without a proposal
}

// epochRequest asks for a new epoch; the number zero stands for the next one.
type epochRequest struct {
	number uint64
	author string
	note   string
}

// isProposal reports whether the change is the proposal with an ID. A nil change is none.
func (c *change) isProposal(id string) bool {
	return c != nil && c.proposal != nil && c.proposal.ID == id && id != ""
}

// Propose takes a proposal, which an AnswerProposal answers. A proposal that repeats the ID of one that is saved or
// queued shares its outcome. The outcome is NotReady until the writer has heard the versions of a majority of the
// servers since its start, so that it can tell whether its disk was restored from an older backup; while a server or
// follower has reported a newer version than the writer's; and while another server has other entries under the writer's
// version.
func (s *Server) Propose(now float64, request uint64, p Proposal) []ServerEffect {
	if same := s.findChange(p.ID); same != nil {
		same.requests = append(same.requests, request)
		return s.takeEffects()
	}
	s.enqueue(now, &change{requests: []uint64{request}, proposal: &p})
	return s.takeEffects()
}

// BeginEpoch begins an epoch with the entries that the writer has, as an operator asks for after a backup was restored.
// The epoch has to be higher than any that was reported; zero stands for the next one. An AnswerProposal answers it.
func (s *Server) BeginEpoch(now float64, request uint64, epoch uint64, author, note string) []ServerEffect {
	asked := epochRequest{number: epoch, author: author, note: note}
	s.enqueue(now, &change{requests: []uint64{request}, epoch: asked})
	return s.takeEffects()
}

// findChange returns the change with a proposal's ID that is being saved or queued, or nil.
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

// enqueue adds a change to the queue, or answers it where this server cannot take it.
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

// answerChange answers all requests that wait for a change.
func (s *Server) answerChange(c *change, o Outcome) {
	if o.Version == (Version{}) {
		o.Version = s.state.Version
	}
	for _, request := range c.requests {
		s.emit(AnswerProposal{Request: request, Outcome: o})
	}
}

// notReady returns why the writer takes no proposals; empty where it takes them.
func (s *Server) notReady() string {
	heard := 1 // this server itself
	for _, p := range s.peers {
		if p.heardSinceStart {
			heard++
		}
		if p.diverged(s.state.Version) {
			return fmt.Sprintf("server %s has other entries under version %s", p.Name, s.state.Version)
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
		return fmt.Sprintf("version %s was seen, and this server has %s", s.newest, s.state.Version)
	}
	return ""
}
