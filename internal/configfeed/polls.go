package configfeed

import "slices"

const (
	maxPollWait       = 30.0 // seconds for which a poll is held at most
	maxFollowers      = 4096 // whose status is kept
	followerStatusAge = 3600 // seconds for which a follower is shown after its last poll
)

// updateKey identifies the followers that are sent the same update.
type updateKey struct {
	have     Version
	server   bool // the update has revisions in place of deltas
	snapshot bool // then the other fields are zero: all followers are sent the same snapshot
}

// Polled takes a follower's poll, which an AnswerPoll answers at once or later. An older poll of the same follower is
// answered at once, since only one is held.
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
	a := s.answerFor(p)
	if a.ready || p.Wait <= 0 || s.isolated {
		s.answerPoll(request, a.update)
	} else {
		s.pending.add(&pendingPoll{request: request, poll: p, deadline: now + min(p.Wait, maxPollWait)})
	}
	s.startNextSave(now)
	return s.takeEffects()
}

// recordFollower records what a poll reports of its follower.
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
		f.Have = p.Have
		f.HaveSince = now
	}
	f.Server = p.Server
	f.Region = p.Region
	f.Refused = p.Refused
	f.LastHeard = now
	if r := f.Refused; r != nil && len(r.Reason) > MaxReasonBytes {
		f.Refused = &Refusal{Version: r.Version, Reason: r.Reason[:MaxReasonBytes]}
	}
}

// evictOldestFollower removes the follower that was not heard for the longest time; of several, the first by name.
func (s *Server) evictOldestFollower() {
	var oldest *FollowerStatus
	for _, f := range s.followers {
		if oldest == nil || heardBefore(f, oldest) {
			oldest = f
		}
	}
	delete(s.followers, oldest.Name)
}

// heardBefore orders followers by the time of their last poll, and by name.
func heardBefore(a, b *FollowerStatus) bool {
	if a.LastHeard != b.LastHeard {
		return a.LastHeard < b.LastHeard
	}
	return a.Name < b.Name
}

// detectDivergence records whether another server has other entries under this server's version.
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

// Closed reports that the caller of a held poll has gone. The poll is not answered any more.
func (s *Server) Closed(_ float64, request uint64) {
	if p := s.pending.byRequest[request]; p != nil {
		s.pending.remove(p)
	}
}

// answerPoll answers a poll.
func (s *Server) answerPoll(request uint64, u Update) {
	s.emit(AnswerPoll{Request: request, Update: u})
}

// unchangedUpdate returns the answer that has nothing new.
func (s *Server) unchangedUpdate() Update { return s.newUpdate(Unchanged) }

// newUpdate returns an update of a kind with the fields that all updates have.
func (s *Server) newUpdate(kind UpdateKind) Update {
	return Update{Kind: kind, Server: s.config.Name, Version: s.state.Version, Isolated: s.isolated}
}

// answer is the update for a poll, and whether it has to be sent at once.
type answer struct {
	update Update
	ready  bool // false while the poll may be held
}

// answerFor returns the answer to a poll.
func (s *Server) answerFor(p Poll) answer {
	switch order := p.Have.Compare(s.state.Version); {
	case order > 0 && s.rules.acceptOlder:
		return answer{update: s.updateToCurrent(updateKey{snapshot: true}, nil), ready: true}
	case order > 0:
		return answer{update: s.newUpdate(Behind), ready: true}
	case order == 0 && p.Digest != s.state.Digest && p.Have != (Version{}):
		return answer{update: s.newUpdate(Diverged), ready: true}
	case order == 0, p.Refused != nil && p.Refused.Version == s.state.Version:
		return answer{update: s.unchangedUpdate()}
	}
	path := s.history.since(p.Have, p.Digest)
	sameHistory := path.sameDigest || s.rules.skipDigest
	// A newer epoch replaces any history of an older one, so a server that differs there is sent a snapshot.
	if !sameHistory && p.Server && p.Have.Epoch == s.state.Version.Epoch {
		return answer{update: s.newUpdate(Diverged), ready: true}
	}
	key := updateKey{have: p.Have, server: p.Server}
	if p.NeedsSnapshot || !sameHistory || !path.found {
		key = updateKey{snapshot: true}
	}
	return answer{update: s.sharedUpdate(key, path.revisions), ready: true}
}

// sharedUpdate returns the update of a key, which is made once for each version.
func (s *Server) sharedUpdate(key updateKey, revisions []Revision) Update {
	u, found := s.updates[key]
	if !found {
		u = s.updateToCurrent(key, revisions)
		s.updates[key] = u
	}
	u.Isolated = s.isolated
	return u
}

// updateToCurrent returns an update that leads to this server's version: by deltas, or by the complete state where that
// is smaller. Servers are sent revisions up to the size of the largest state, as they pass the history on.
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

// answerPendingPolls answers the held polls for which there is something new, servers first, since others follow them.
func (s *Server) answerPendingPolls() {
	all := s.pending.removeAll()
	for _, servers := range []bool{true, false} {
		for _, p := range all {
			if p.poll.Server != servers {
				continue
			}
			a := s.answerFor(p.poll)
			if a.ready || s.isolated {
				s.answerPoll(p.request, a.update)
			} else {
				s.pending.add(p)
			}
		}
	}
}
