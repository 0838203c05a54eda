package configfeed

// foreignRevisionReason is the reason with which a writer that has accepted revisions since its start refuses those of
// other servers: only the writer creates revisions, so a newer one comes from another history and would undo what the
// writer accepted.
const foreignRevisionReason = "the writer has accepted revisions since its start, and this is not one of them"

// peer is another control server, with the version that it reported and the follower with which this server follows it.
type peer struct {
	ServerAddress
	follower        *Follower
	have            Version  // version in the peer's last poll or answer
	lastHeard       float64  // time of the peer's last poll or answer
	heardSinceStart bool     // the peer has polled or answered since this server's start, so have and lastHeard are set
	divergedAt      Version  // this server's version under which the peer has different entries; zero if none
	offer           *Install // newer state that the follower asks to install, or nil
}

// newPeer returns a peer whose first poll is due immediately.
func newPeer(now float64, s *Server, address ServerAddress, seed uint64, lastRequest *uint64) *peer {
	config := FollowerConfig{
		Name:    s.config.Name,
		Server:  true,
		Region:  s.config.Region,
		Servers: []ServerAddress{address},
		Seed:    seed,
	}
	f := NewFollower(now, config, s.state)
	f.lastRequest = lastRequest
	f.servers.pollAt = now
	return &peer{ServerAddress: address, follower: f}
}

// status returns the peer's status as shown to operators; have is this server's version.
func (p *peer) status(have Version) PeerStatus {
	return PeerStatus{
		Name:         p.Name,
		Region:       p.Region,
		Have:         p.have,
		LastHeard:    p.lastHeard,
		Unresponsive: p.follower.unresponsive,
		Diverged:     p.diverged(have),
	}
}

// diverged reports whether the peer was found to have different entries under this server's current version, have.
func (p *peer) diverged(have Version) bool { return have != (Version{}) && p.divergedAt == have }

// peerNamed returns the other server with a name, or nil.
func (s *Server) peerNamed(name string) *peer {
	for _, p := range s.peers {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// peerOfPoll returns the peer at which this server's poll with the given request is open, or nil.
func (s *Server) peerOfPoll(request uint64) *peer {
	for _, p := range s.peers {
		if p.follower.awaits(request) {
			return p
		}
	}
	return nil
}

// Answered reports another server's answer to a poll of this server. The answer to a canceled poll is ignored.
func (s *Server) Answered(now float64, request uint64, u Update) []ServerEffect {
	if p := s.peerOfPoll(request); p != nil {
		s.recordPeerVersion(now, p, u.Version)
		if u.Kind == Diverged {
			p.divergedAt = s.state.Version
		}
		s.handleFollowerEffects(now, p, p.follower.Answered(now, request, u))
		s.checkIsolation()
		s.startNextSave(now)
	}
	return s.takeEffects()
}

// Failed reports that a poll of this server was not answered by the other server.
func (s *Server) Failed(now float64, request uint64) []ServerEffect {
	if p := s.peerOfPoll(request); p != nil {
		s.handleFollowerEffects(now, p, p.follower.Failed(now, request))
		s.checkIsolation()
	}
	return s.takeEffects()
}

// recordPeerVersion records the version that a peer reported.
func (s *Server) recordPeerVersion(now float64, p *peer, v Version) {
	p.have = v
	p.lastHeard = now
	p.heardSinceStart = true
	s.observeVersion(v)
}

// handleFollowerEffects handles the effects of a peer's follower. Polls and their cancellations are passed on to the caller.
// A state to be installed becomes the peer's offer, which is saved before it is put in force.
func (s *Server) handleFollowerEffects(now float64, p *peer, effects []FollowerEffect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case SendPoll:
			s.emit(effect)
		case CancelPoll:
			s.emit(effect)
		case Install:
			p.offer = &effect
			s.startNextSave(now)
		}
	}
}

// bestOffer returns the peer that offers the newest state, or nil. It removes the offers that this server cannot use.
func (s *Server) bestOffer(now float64) *peer {
	var best *peer
	for _, p := range s.peers {
		switch {
		case p.offer == nil:
		case s.acceptedSinceStart:
			s.refuseOffer(now, p)
		case !s.isUseful(p.offer):
			s.dropOffer(now, p)
		case best == nil || p.offer.State.Version.Compare(best.offer.State.Version) > 0:
			best = p
		}
	}
	return best
}

// refuseOffer refuses a peer's offer, so that the follower does not accept the same version again.
func (s *Server) refuseOffer(now float64, p *peer) {
	refusal := Refusal{Version: p.offer.State.Version, Reason: foreignRevisionReason}
	p.offer = nil
	s.handleFollowerEffects(now, p, p.follower.Refuse(now, refusal))
}

// dropOffer drops an offer that is not useful. The peer's follower continues with this server's state if that is newer
// than the follower's own.
func (s *Server) dropOffer(now float64, p *peer) {
	p.offer = nil
	p.follower.cancelInstall(now)
	if s.state.Version.Compare(p.follower.state.Version) > 0 {
		p.follower.adopt(now, s.state)
	}
}

// isUseful reports whether an offer is newer than this server's state and either is complete or starts from that state.
func (s *Server) isUseful(offer *Install) bool {
	if !s.rules.mayReplace(s.state.Version, offer.State.Version) {
		return false
	}
	return len(offer.revisions) == 0 || offer.revisions[0].Delta.From == s.state.Version
}

// majority returns the smallest number of servers, this one included, that is more than half of them.
func (s *Server) majority() int { return (len(s.peers)+1)/2 + 1 }

// checkIsolation determines whether this server reaches a majority of the servers. When the server becomes isolated, it
// answers all held polls immediately, so that its followers switch to another server.
func (s *Server) checkIsolation() {
	reached := 1 // this server itself
	for _, p := range s.peers {
		if !p.follower.unresponsive {
			reached++
		}
	}
	wasIsolated := s.isolated
	s.isolated = reached < s.majority()
	if s.isolated && !wasIsolated {
		s.answerPendingPolls()
	}
}
