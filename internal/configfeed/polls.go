package configfeed

import "slices"

const (
	maxPollWait       = 30.0 // maximum seconds for which a poll is held
	maxFollowers      = 4096 // maximum number of followers whose status is kept
	followerStatusAge = 3600 // seconds after its last poll for which a follower is shown in the status
)

// updateKey identifies the followers that are sent the same update.
type updateKey struct {
	have     Version
	server   bool // the follower is a server, whose update has revisions instead of deltas
	snapshot bool // the other fields are zero then, since all followers are sent the same snapshot
}

// Polled handles a follower's poll. An AnswerPoll effect, of this or a later call, carries the answer. If an older poll of
// the same follower is held, it is answered immediately, since only one poll is held per follower.
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

// recordFollower updates the status of a follower from its poll.
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

// evictOldestFollower removes the follower with the oldest last poll, or of several such followers the first by name.
func (s *Server) evictOldestFollower() {
	var oldest *FollowerStatus
	for _, f := range s.followers {
		if oldest == nil || heardBefore(f, oldest) {
			oldest = f
		}
	}
	delete(s.followers, oldest.Name)
}

// heardBefore orders followers by the time of their last poll, then by name.
func heardBefore(a, b *FollowerStatus) bool {
	if a.LastHeard != b.LastHeard {
		return a.LastHeard < b.LastHeard
	}
	return a.Name < b.Name
}

// detectDivergence records whether another server has different entries under this server's version.
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

// PollClosed reports that the client of a held poll has disconnected. The poll is dropped without an answer.
func (s *Server) PollClosed(_ float64, request uint64) {
	if p := s.pending.byRequest[request]; p != nil {
		s.pending.remove(p)
	}
}

// answerPoll emits the answer to a poll.
func (s *Server) answerPoll(request uint64, u Update) {
	s.emit(AnswerPoll{Request: request, Update: u})
}

// unchangedUpdate returns the update for a follower for which the server has nothing newer.
func (s *Server) unchangedUpdate() Update { return s.newUpdate(Unchanged) }

// newUpdate returns an update of a kind, with the fields that are set in every update.
func (s *Server) newUpdate(kind UpdateKind) Update {
	return Update{Kind: kind, Server: s.config.Name, Version: s.state.Version, Isolated: s.isolated}
}

// answer is the update for a poll, and whether it is to be sent immediately.
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
	// A newer epoch replaces the history of older ones, so a server whose history differs in an older epoch is sent a
	// snapshot.
	if !sameHistory && p.Server && p.Have.Epoch == s.state.Version.Epoch {
		return answer{update: s.newUpdate(Diverged), ready: true}
	}
	key := updateKey{have: p.Have, server: p.Server}
	if p.NeedsSnapshot || !sameHistory || !path.found {
		key = updateKey{snapshot: true}
	}
	return answer{update: s.sharedUpdate(key, path.revisions), ready: true}
}

// sharedUpdate returns the update for a key. It is built once per version of this server and then shared.
func (s *Server) sharedUpdate(key updateKey, revisions []Revision) Update {
	u, found := s.updates[key]
	if !found {
		u = s.updateToCurrent(key, revisions)
		s.updates[key] = u
	}
	u.Isolated = s.isolated
	return u
}

// updateToCurrent returns an update that leads to this server's version. Nodes are sent deltas, or a snapshot if that is
// smaller. Servers need the history, which they pass on to others, and so are sent revisions unless these exceed
// MaxStateBytes.
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

// answerPendingPolls answers the held polls whose answer is ready, and all of them if this server is isolated. Servers are
// answered first, since other followers depend on them.
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
