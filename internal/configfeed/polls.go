package configfeed

import (
	"math"
	"slices"
)

const (
	longestWait  = 30.0 // seconds that a poll is held back at the most
	maxFollowers = 4096 // whose status is kept
	statusAge    = 3600 // seconds that a follower is shown for after its last poll
)

// updateKey says which followers get the same update.
type updateKey struct {
	have   Version
	server bool
	whole  bool
}

// Polled takes a follower's poll. The request is answered by an AnswerPoll, at once or later. An older poll of the same
// follower is answered: only one is held.
func (s *Server) Polled(now float64, request uint64, p Poll) []ServerEffect {
	if p.Follower == "" || len(p.Follower) > MaxNameBytes {
		s.answer(request, s.unchanged())
		return s.take()
	}
	if older := s.held.byFollower[p.Follower]; older != nil {
		s.held.remove(older)
		s.answer(older.request, s.unchanged())
	}
	s.note(now, p)
	s.show(p.Newest)
	if peer := s.peer(p.Follower); peer != nil && p.Server {
		s.hear(now, peer, p.Have)
		s.compare(peer, p)
	} else {
		s.show(p.Have)
	}
	if u, ready := s.update(p); ready || p.Wait <= 0 || s.isolated {
		s.answer(request, u)
	} else {
		s.held.add(&heldPoll{request: request, poll: p, deadline: now + min(p.Wait, longestWait)})
	}
	s.proceed(now)
	return s.take()
}

// note keeps what a poll says of its follower.
func (s *Server) note(now float64, p Poll) {
	f := s.followers[p.Follower]
	if f == nil {
		if len(s.followers) >= maxFollowers {
			s.forgetOldest()
		}
		f = &FollowerStatus{Name: p.Follower, Have: p.Have, Since: now}
		s.followers[p.Follower] = f
	}
	if f.Have != p.Have {
		f.Have, f.Since = p.Have, now
	}
	f.Server, f.Region, f.Refused, f.Heard = p.Server, p.Region, p.Refused, now
	if r := f.Refused; r != nil && len(r.Reason) > MaxReasonBytes {
		f.Refused = &Refusal{Version: r.Version, Reason: r.Reason[:MaxReasonBytes]}
	}
}

// forgetOldest forgets the follower that was not heard for the longest time.
func (s *Server) forgetOldest() {
	var oldest *FollowerStatus
	for _, f := range s.followers {
		if oldest == nil || f.Heard < oldest.Heard || f.Heard == oldest.Heard && f.Name < oldest.Name {
			oldest = f
		}
	}
	delete(s.followers, oldest.Name)
}

// compare finds out whether another server has other entries under this server's version.
func (s *Server) compare(peer *peer, p Poll) {
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
	if p := s.held.byRequest[request]; p != nil {
		s.held.remove(p)
	}
}

// deadline is when the next held poll is to be answered.
func (h *heldPolls) deadline() float64 {
	if first := h.first(); first != nil {
		return first.deadline
	}
	return math.Inf(1)
}

func (s *Server) answer(request uint64, u Update) { s.emit(AnswerPoll{Request: request, Update: u}) }

// unchanged is the answer to who has nothing to take from this server.
func (s *Server) unchanged() Update { return s.carrying(Unchanged) }

// carrying gives an update of a kind with what all updates carry.
func (s *Server) carrying(kind UpdateKind) Update {
	return Update{Kind: kind, Server: s.config.Name, Version: s.state.Version, Isolated: s.isolated}
}

// update gives the answer to a poll, and whether it has to go out at once.
func (s *Server) update(p Poll) (u Update, ready bool) {
	switch order := p.Have.Compare(s.state.Version); {
	case order > 0 && s.rules.takeOlder:
		return s.newer(updateKey{whole: true}, nil), true
	case order > 0:
		return s.carrying(Behind), true
	case order == 0 && p.Digest != s.state.Digest && p.Have != (Version{}):
		return s.carrying(Diverged), true
	case order == 0, p.Refused != nil && p.Refused.Version == s.state.Version:
		return s.unchanged(), false
	}
	revisions, same, found := s.history.since(p.Have, p.Digest)
	same = same || s.rules.skipDigest
	if !same && p.Server && p.Have.Epoch == s.state.Version.Epoch { // a newer epoch replaces any line of an older one
		return s.carrying(Diverged), true
	}
	key := updateKey{have: p.Have, server: p.Server}
	if p.Whole || !same || !found {
		key = updateKey{whole: true}
	}
	u, ok := s.updates[key]
	if !ok {
		u = s.newer(key, revisions)
		s.updates[key] = u
	}
	u.Isolated = s.isolated
	return u, true
}

// newer makes an update that leads to this server's version: by deltas, or by the whole state where that is smaller.
// Servers are given the history up to the size of the largest state, as they hand it on.
func (s *Server) newer(key updateKey, revisions []Revision) Update {
	limit := s.state.bytes()
	if key.server {
		limit = MaxStateBytes
	}
	size := 0
	for _, r := range revisions {
		size += r.Delta.bytes()
	}
	if key.whole || size > limit {
		u := s.carrying(Snapshot)
		state := s.state
		u.State = &state
		return u
	}
	u := s.carrying(Changes)
	if key.server {
		u.Revisions = slices.Clip(revisions)
		return u
	}
	for _, r := range revisions {
		u.Deltas = append(u.Deltas, r.Delta)
	}
	return u
}

// answerAll answers the held polls for which there is something new; servers first, as others follow them.
func (s *Server) answerAll() {
	all := s.held.takeAll()
	for _, servers := range []bool{true, false} {
		for _, p := range all {
			if p.poll.Server != servers {
				continue
			}
			if u, ready := s.update(p.poll); ready || s.isolated {
				s.answer(p.request, u)
			} else {
				s.held.add(p)
			}
		}
	}
}
