package configfeed

import (
	"math"
	"slices"
)

const (
	maxPollWait       = 30.0 // seconds that a poll is held back at the most
	maxFollowers      = 4096 // whose status is kept
	followerStatusAge = 3600 // seconds that a follower is shown for after its last poll
)

// updateKey says which followers get the same update.
type updateKey struct {
	have     Version
	server   bool
	snapshot bool
}

// Polled takes a follower's poll. The request is answered by an AnswerPoll, at once or later. An older poll of the same
// follower is answered: only one is held.
func (s *Server) Polled(now float64, request uint64, p Poll) []ServerEffect {
	if p.Follower == "" || len(p.Follower) > MaxNameBytes {
		s.answerPoll(request, s.unchangedUpdate())
		return s.takeEffects()
	}
	if older := s.pending.byFollower[p.Follower]; older != nil {
		s.pending.remove(older)
		s.answerPoll(older.request, s.unchangedUpdate())
	}
	s.recordFollower(now, p)
	s.observeVersion(p.Newest)
	if peer := s.peerNamed(p.Follower); peer != nil && p.Server {
		s.recordPeerVersion(now, peer, p.Have)
		s.detectDivergence(peer, p)
	} else {
		s.observeVersion(p.Have)
	}
	if u, ready := s.update(p); ready || p.Wait <= 0 || s.isolated {
		s.answerPoll(request, u)
	} else {
		s.pending.add(&pendingPoll{request: request, poll: p, deadline: now + min(p.Wait, maxPollWait)})
	}
	s.startNextSave(now)
	return s.takeEffects()
}

// recordFollower keeps what a poll says of its follower.
func (s *Server) recordFollower(now float64, p Poll) {
	f := s.followers[p.Follower]
	if f == nil {
		if len(s.followers) >= maxFollowers {
			s.evictOldestFollower()
		}
		f = &FollowerStatus{Name: p.Follower, Have: p.Have, HaveSince: now}
		s.followers[p.Follower] = f
	}
	if f.Have != p.Have {
		f.Have, f.HaveSince = p.Have, now
	}
	f.Server, f.Region, f.Refused, f.LastHeard = p.Server, p.Region, p.Refused, now
	if r := f.Refused; r != nil && len(r.Reason) > MaxReasonBytes {
		f.Refused = &Refusal{Version: r.Version, Reason: r.Reason[:MaxReasonBytes]}
	}
}

// evictOldestFollower forgets the follower that was not heard for the longest time.
func (s *Server) evictOldestFollower() {
	var oldest *FollowerStatus
	for _, f := range s.followers {
		if oldest == nil || f.LastHeard < oldest.LastHeard || f.LastHeard == oldest.LastHeard && f.Name < oldest.Name {
			oldest = f
		}
	}
	delete(s.followers, oldest.Name)
}

// detectDivergence finds out whether another server has other entries under this server's version.
func (s *Server) detectDivergence(peer *peer, p Poll) {
	if p.Have != s.state.Version {
		return
	}
	if p.Digest != s.state.Digest {
		peer.divergedAt = s.state.Version
	} else {
		peer.divergedAt = Version{}
	}
}

// Closed takes that the caller of a held poll has gone. It is not answered any more.
func (s *Server) Closed(_ float64, request uint64) {
	if p := s.pending.byRequest[request]; p != nil {
		s.pending.remove(p)
	}
}

// nextDeadline is when the next held poll is to be answered.
func (h *pendingPolls) nextDeadline() float64 {
	if first := h.earliest(); first != nil {
		return first.deadline
	}
	return math.Inf(1)
}

func (s *Server) answerPoll(request uint64, u Update) {
	s.emit(AnswerPoll{Request: request, Update: u})
}

// unchangedUpdate is the answer to who has nothing to take from this server.
func (s *Server) unchangedUpdate() Update { return s.newUpdate(Unchanged) }

// newUpdate returns an update of a kind with what all updates carry.
func (s *Server) newUpdate(kind UpdateKind) Update {
	return Update{Kind: kind, Server: s.config.Name, Version: s.state.Version, Isolated: s.isolated}
}

// update returns the answer to a poll, and whether it has to go out at once.
func (s *Server) update(p Poll) (u Update, ready bool) {
	switch order := p.Have.Compare(s.state.Version); {
	case order > 0 && s.rules.acceptOlder:
		return s.updateToCurrent(updateKey{snapshot: true}, nil), true
	case order > 0:
		return s.newUpdate(Behind), true
	case order == 0 && p.Digest != s.state.Digest && p.Have != (Version{}):
		return s.newUpdate(Diverged), true
	case order == 0, p.Refused != nil && p.Refused.Version == s.state.Version:
		return s.unchangedUpdate(), false
	}
	revisions, same, found := s.history.since(p.Have, p.Digest)
	same = same || s.rules.skipDigest
	if !same && p.Server && p.Have.Epoch == s.state.Version.Epoch { // a newer epoch replaces any line of an older one
		return s.newUpdate(Diverged), true
	}
	key := updateKey{have: p.Have, server: p.Server}
	if p.NeedsSnapshot || !same || !found {
		key = updateKey{snapshot: true}
	}
	u, ok := s.updates[key]
	if !ok {
		u = s.updateToCurrent(key, revisions)
		s.updates[key] = u
	}
	u.Isolated = s.isolated
	return u, true
}

// updateToCurrent makes an update that leads to this server's version: by deltas, or by the whole state where that is smaller.
// Servers are given the history up to the size of the largest state, as they hand it on.
func (s *Server) updateToCurrent(key updateKey, revisions []Revision) Update {
	limit := s.state.bytes()
	if key.server {
		limit = MaxStateBytes
	}
	size := 0
	for _, r := range revisions {
		size += r.Delta.bytes()
	}
	if key.snapshot || size > limit {
		u := s.newUpdate(Snapshot)
		state := s.state
		u.State = &state
		return u
	}
	u := s.newUpdate(Changes)
	if key.server {
		u.Revisions = slices.Clip(revisions)
		return u
	}
	for _, r := range revisions {
		u.Deltas = append(u.Deltas, r.Delta)
	}
	return u
}

// answerPendingPolls answers the held polls for which there is something new; servers first, as others follow them.
func (s *Server) answerPendingPolls() {
	all := s.pending.removeAll()
	for _, servers := range []bool{true, false} {
		for _, p := range all {
			if p.poll.Server != servers {
				continue
			}
			if u, ready := s.update(p.poll); ready || s.isolated {
				s.answerPoll(p.request, u)
			} else {
				s.pending.add(p)
			}
		}
	}
}
