package configfeed

// saveInProgress is a save whose result the caller has not reported to Saved yet. Either change or peer is set.
type saveInProgress struct {
	save   Save
	change *change // change that is being saved, or nil
	peer   *peer   // peer whose offer is being saved, or nil
}

// startNextSave starts the next save if none is in progress. The newest offer, a newer state received from another server,
// is saved before the queued changes, because the writer rejects changes while it knows of a newer version than its own.
// Changes that need no save are answered until one does.
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
		s.saveChange(now, c)
	}
}

// saveChange starts the save of a change, or answers the change if it was rejected or needs no save.
func (s *Server) saveChange(now float64, c *change) {
	next, outcome := s.revise(now, c)
	if outcome != nil {
		s.answerChange(c, *outcome)
		return
	}
	s.startSave(saveInProgress{save: Save{State: next.state, Revisions: []Revision{next.revision}}, change: c})
	if s.rules.answerUnsaved { // a deliberate fault, which only tests enable
		s.answerChange(c, Outcome{Kind: Accepted, Version: next.state.Version})
	}
}

// startSave assigns an ID to a save, records it as the one in progress and emits it as an effect.
func (s *Server) startSave(next saveInProgress) {
	s.lastSave++
	next.save.ID = s.lastSave
	s.saving = &next
	s.emit(next.save)
}

// Saved reports the result of a Save. If err is nil, the server adopts the saved state, answers followers with it and
// accepts the change. Otherwise the state is unchanged, and a change is answered with Failed. In both cases the next save
// starts. A result that does not belong to the save in progress is ignored.
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

// saveFailed answers the change whose save failed, or drops the peer's offer whose save failed and cancels the install of
// the peer's follower, which polls again after a backoff.
func (s *Server) saveFailed(now float64, done *saveInProgress, err error) {
	if done.change != nil {
		s.answerChange(done.change, Outcome{Kind: Failed, Detail: err.Error()})
	}
	if done.peer != nil {
		done.peer.offer = nil
		done.peer.follower.cancelInstall(now)
	}
}

// commitSave adopts a saved state. It answers the held polls, those of servers first, and then the change. Finally it puts
// the state in force at the followers of the other servers. A follower with another offer is skipped, because
// startNextSave saves, refuses or drops that offer next.
func (s *Server) commitSave(now float64, done *saveInProgress) {
	s.state = done.save.State
	s.history.append(done.save.Revisions, s.state)
	s.observeVersion(s.state.Version)
	clear(s.updates) // the cached updates lead to the previous state
	s.answerPendingPolls()
	if done.change != nil {
		s.acceptedSinceStart = true
		s.answerChange(done.change, Outcome{Kind: Accepted, Version: s.state.Version})
	}
	for _, p := range s.peers {
		if p.offer == nil {
			p.follower.adopt(now, s.state)
		} else if p == done.peer {
			p.offer = nil
			s.handleFollowerEffects(now, p, p.follower.Installed(now, s.state.Version))
		}
	}
}
