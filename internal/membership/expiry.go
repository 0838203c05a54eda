package membership

// expireSuspicions declares the members gone whose suspicion has expired. It runs once in a period.
func (m *Members) expireSuspicions() {
	elapsed := m.now - m.lastExpiryAt
	m.lastExpiryAt = m.now
	if m.suspectCount == 0 {
		return
	}
	if m.isolated() { // an isolated node must not judge members that receive each other
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

// scheduleFinalProbe has a suspect probed once more, in one of the next periods, and extends its suspicion until the
// answer can have come. This prevents the death of a member that is reached through others only, or whose refutation was
// lost among many updates.
func (m *Members) scheduleFinalProbe(peer *member) {
	s := peer.suspicion
	s.finalProbe = true
	s.notBefore = m.now + finalProbePeriods*m.config.Period*m.timeoutFactor()
	m.priorityProbes = append(m.priorityProbes, peer.Name)
}

// declareGone declares a member dead whose suspicion has expired, or left where that was reported, and gossips it. No
// other place declares a member dead; addMember takes over the state of a member that this node first learns of.
func (m *Members) declareGone(peer *member) {
	state := Dead
	if peer.suspicion.reportedLeft {
		state = Left
	}
	m.setState(peer, state)
	m.enqueueUpdate(peer)
}
