package configfeed

// saveInProgress is a save whose result the caller has not reported yet. Either change or peer is set.
type saveInProgress struct {
	save   Save
	change *change // change that is being saved, or nil
	peer   *peer   // peer whose offer is being saved, or nil
}

// startNextSave starts the next save if none is in progress. The newest offer of another server precedes the queued
// changes.
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

// saveChange starts the save of a change, or answers the change if it needs no save.
func (s *Server) saveChange(now float64, c *change) {
	next, refused := s.revise(now, c)
	if refused != nil {
		s.answerChange(c, *refused)
		return
	}
	s.startSave(saveInProgress{save: Save{State: next.state, Revisions: []Revision{next.revision}}, change: c})
	if s.rules.answerUnsaved {
		s.answerChange(c, Outcome{Kind: Accepted, Version: next.state.Version})
	}
}

// startSave emits a Save effect.
func (s *Server) startSave(next saveInProgress) {
	s.lastSave++
	next.save.ID = s.lastSave
	s.saving = &next
	s.emit(next.save)
}

// Saved reports the result of a Save. A proposal is accepted, and followers are answered with the new state, only after
// the save succeeded. After an error the state is unchanged.
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

// saveFailed answers the change whose save failed, or drops the peer's offer whose save failed.
func (s *Server) saveFailed(now float64, done *saveInProgress, err error) {
	if done.change != nil {
		s.answerChange(done.change, Outcome{Kind: Failed, Detail: err.Error()})
	}
	if done.peer != nil {
		done.peer.offer = nil
		done.peer.follower.abandon(now)
	}
}

// commitSave adopts a state that was saved, answers the followers with it, servers first, and then the change.
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
