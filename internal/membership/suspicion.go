package membership

import "math"

// suspicion is the time that a member has to refute that it failed. It is long while a single node suspects the member
// and becomes shorter with each confirmation (Lifeguard, section IV.B).
type suspicion struct {
	since, least, most float64 // seconds
	expected           int     // confirmations beside the first that shorten it to the least
	confirmedBy        map[string]bool
	last               string // the latest member that confirmed it; sent with the suspicion
	reportedLeft       bool   // another member says that it has left
	earliestEnd        float64
	probedAgain        bool // this node has probed the member once more, near the end
}

// suspicionTime returns the shortest and the longest duration of a suspicion in seconds, for the present size of the
// fleet.
func (m *Members) suspicionTime() (least, most float64) {
	least = suspicionPeriods * max(1, math.Log10(float64(m.living))) * m.Period
	if hasty {
		return m.Period / 10, m.Period / 10
	}
	if m.WithoutLifeguard {
		return least, least
	}
	return least, suspicionSpread * least
}

// end returns when the suspicion expires.
func (s *suspicion) end() float64 {
	span := s.most
	if s.expected > 0 {
		part := math.Log(float64(len(s.confirmedBy))) / math.Log(float64(s.expected+1))
		span = max(s.least, s.most-(s.most-s.least)*part)
	}
	return max(s.since+span, s.earliestEnd)
}

// suspect begins a suspicion of a member, or adds a confirmation to one that exists. leaves says that the member is
// reported to have left.
func (m *Members) suspect(x *member, by string, leaves bool) {
	if x.State.gone() {
		return
	}
	if x.suspicion == nil {
		least, most := m.suspicionTime()
		m.suspected++
		x.suspicion = &suspicion{since: m.now, least: least, most: most, expected: min(confirmations, max(m.living-2, 0)),
			confirmedBy: map[string]bool{}}
		m.setState(x, Suspect)
		// This guards against the word of a member that lies or is isolated: others probe the suspect themselves,
		// in a large fleet about verifyingMembers of them.
		if by != m.self.Name && m.rand.Float64()*float64(m.living) < verifyingMembers {
			m.probeFirst = append(m.probeFirst, x.Name)
		}
	}
	s := x.suspicion
	s.last = by
	if leaves && !s.reportedLeft {
		s.reportedLeft, s.since, s.least, s.most = true, m.now, m.Period, 2*m.Period
	}
	if by != "" && !s.confirmedBy[by] && len(s.confirmedBy) <= confirmations {
		s.confirmedBy[by] = true
		m.enqueueNews(x)
	}
}

// recordAlive records evidence that a member is alive now: a message of its own, or an answer through another. The
// suspicion lasts at least until the member can have received it.
func (m *Members) recordAlive(x *member) {
	if s := x.suspicion; s != nil && !m.WithoutLifeguard {
		s.earliestEnd, s.probedAgain = max(s.earliestEnd, m.now+s.least), false
	}
}

// expireSuspicions declares members dead, or left, whose suspicion has expired.
func (m *Members) expireSuspicions() {
	if m.suspected == 0 {
		m.expiredAt = m.now
		return
	}
	if m.isolated() { // an isolated node must not judge those that receive each other
		for _, x := range m.others {
			if s := x.suspicion; s != nil {
				s.since += (m.now - m.expiredAt) * isolatedSlowing
				s.earliestEnd += (m.now - m.expiredAt) * isolatedSlowing
			}
		}
	}
	m.expiredAt = m.now
	for _, x := range m.others {
		if s := x.suspicion; s != nil && m.now >= s.end() {
			// One more probe, in the next round, guards against a death where the member can be reached through
			// another, or where its refutation was lost among much news.
			if !s.probedAgain && !s.reportedLeft && !m.WithoutLifeguard {
				s.probedAgain, s.earliestEnd = true, m.now+2*m.Period*m.timeFactor()
				m.probeFirst = append(m.probeFirst, x.Name)
				continue
			}
			to := Dead
			if s.reportedLeft {
				to = Left
			}
			m.setState(x, to)
			m.enqueueNews(x)
		}
	}
}

// isolated reports whether this node has received no message for so long, or was suspected so recently, that the fault
// may be its own: it cannot receive, or cannot send.
func (m *Members) isolated() bool {
	return !m.WithoutLifeguard && m.living > 1 &&
		(m.now-m.heardAt > isolatedPeriods*m.Period || m.now-m.accusedAt < accusedPeriods*m.Period)
}
