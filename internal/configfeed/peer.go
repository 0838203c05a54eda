package configfeed

// foreignRevisionReason is why a writer that wrote since its start takes nothing from others: only it gives out revisions, so whatever
// is newer is of another line and would undo what it promised.
const foreignRevisionReason = "the writer gave out revisions since its start, and this is none of them"

// peer is another control server: what it has, and the follower by which this server follows it.
type peer struct {
	ServerAddress
	follower        *Follower
	have            Version
	lastHeard       float64
	heardSinceStart bool    // heard since this server's start
	divergedAt      Version // this server's version when the two were found to differ
	offer           *Install
}

func newPeer(now float64, s *Server, address ServerAddress, seed uint64, requests *uint64) *peer {
	f := NewFollower(now, FollowerConfig{Name: s.config.Name, Server: true, Region: s.config.Region,
		Servers: []ServerAddress{address}, Seed: seed}, s.state)
	f.lastRequest, f.pollAt = requests, now
	return &peer{ServerAddress: address, follower: f}
}

func (p *peer) status(have Version) PeerStatus {
	return PeerStatus{Name: p.Name, Region: p.Region, Have: p.have, LastHeard: p.lastHeard, Unresponsive: p.follower.unresponsive,
		Diverged: p.diverged(have)}
}

// diverged reports whether the peer was found to have other entries than a version's, which is this server's still.
func (p *peer) diverged(have Version) bool { return have != (Version{}) && p.divergedAt == have }

// peerNamed returns the other server of a name, or nil.
func (s *Server) peerNamed(name string) *peer {
	for _, p := range s.peers {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// peerOfPoll returns the peer at which a poll of this server is open, or nil.
func (s *Server) peerOfPoll(request uint64) *peer {
	for _, p := range s.peers {
		if p.follower.awaits(request) {
			return p
		}
	}
	return nil
}

// Answered takes another server's answer to a poll of this one.
func (s *Server) Answered(now float64, request uint64, u Update) []ServerEffect {
	if p := s.peerOfPoll(request); p != nil {
		s.recordPeerVersion(now, p, u.Version)
		if u.Kind == Diverged {
			p.divergedAt = s.state.Version
		}
		s.carryOut(now, p, p.follower.Answered(now, request, u))
		s.checkIsolation()
		s.startNextSave(now)
	}
	return s.takeEffects()
}

// Failed takes that a poll of this server at another one got no answer.
func (s *Server) Failed(now float64, request uint64) []ServerEffect {
	if p := s.peerOfPoll(request); p != nil {
		s.carryOut(now, p, p.follower.Failed(now, request))
		s.checkIsolation()
	}
	return s.takeEffects()
}

// recordPeerVersion takes the version that a peer has.
func (s *Server) recordPeerVersion(now float64, p *peer, v Version) {
	p.have, p.lastHeard, p.heardSinceStart = v, now, true
	s.observeVersion(v)
}

// carryOut passes a peer's follower's effects on; what it is to put in force is an offer to this server.
func (s *Server) carryOut(now float64, p *peer, effects []FollowerEffect) {
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

// bestOffer returns the peer that offers the newest state, and drops the offers that are of no use any more.
func (s *Server) bestOffer(now float64) (best *peer) {
	for _, p := range s.peers {
		switch {
		case p.offer == nil:
		case s.hasWritten:
			version := p.offer.State.Version
			p.offer = nil
			s.carryOut(now, p, p.follower.Refuse(now, Refusal{Version: version, Reason: foreignRevisionReason}))
		case !s.isUseful(p.offer):
			p.offer = nil
			p.follower.abandon(now)
			if s.state.Version.Compare(p.follower.state.Version) > 0 {
				p.follower.adopt(now, s.state)
			}
		case best == nil || p.offer.State.Version.Compare(best.offer.State.Version) > 0:
			best = p
		}
	}
	return best
}

// isUseful reports whether an offer leads from this server's state to a newer one.
func (s *Server) isUseful(offer *Install) bool {
	if !s.rules.mayReplace(s.state.Version, offer.State.Version) {
		return false
	}
	return len(offer.revisions) == 0 || offer.revisions[0].Delta.From == s.state.Version
}

// majority is how many servers, this one included, are more than half of them.
func (s *Server) majority() int { return (len(s.peers)+1)/2 + 1 }

// checkIsolation finds out whether this server reaches a majority. Where it ceases to, its followers are told at once,
// so that they look for another server.
func (s *Server) checkIsolation() {
	reached := 1
	for _, p := range s.peers {
		if !p.follower.unresponsive {
			reached++
		}
	}
	was := s.isolated
	if s.isolated = reached < s.majority(); s.isolated && !was {
		s.answerPendingPolls()
	}
}
