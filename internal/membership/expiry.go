package membership

// expireSuspicions handles the members whose suspicion has expired: it first schedules a final probe of a member that needs
// one, and declares the others dead or left. It runs once per period.
func (m *Members) expireSuspicions() {
	elapsed := m.now - m.lastExpiryAt
	m.lastExpiryAt = m.now
	if m.suspectCount == 0 {
		return
	}
	if m.isolated() { // an isolated node must not declare members dead that still reach each other
		m.extendSuspicions(elapsed * isolatedSlowing)
	}
	for _, peer := range m.others {
		s := peer.suspicion
		if s == nil || m.now < s.end() {
			continue
		}
		if m.needsFinalProbe(s) {
			m.scheduleFinalProbe(peer)
			continue
		}
		m.declareGone(peer)
	}
}

// needsFinalProbe reports whether this node has to probe a suspect once more before it declares it dead.
func (m *Members) needsFinalProbe(s *suspicion) bool {
	return !s.finalProbe && !s.reportedLeft && !m.config.WithoutLifeguard
}

// scheduleFinalProbe queues one more probe of a suspect and extends the suspicion by the time that its answer may need.
// Without the final probe, this node would declare two kinds of live members dead: one that it reaches only through other
// members, and one whose refutation was not gossiped in time because too many updates were pending.
func (m *Members) scheduleFinalProbe(peer *member) {
	s := peer.suspicion
	s.finalProbe = true
	s.notBefore = m.now + finalProbePeriods*m.config.Period*m.timeoutFactor()
	m.priorityProbes = append(m.priorityProbes, peer.Name)
}

// declareGone sets a member whose suspicion has expired to dead, or to left if another member reported that it left, and
// gossips the change. It is the only function that declares a member dead; addMember just copies the reported state of a
// member that this node did not know.
func (m *Members) declareGone(peer *member) {
	state := Dead
	if peer.suspicion.reportedLeft {
		state = Left
	}
	m.setState(peer, state)
	m.enqueueUpdate(peer)
}
