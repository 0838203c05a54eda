package membership

import "math"

// suspicion is the time that a member has to refute that it failed. It is long while a single node suspects the member
// and becomes shorter with each confirmation (Lifeguard, section IV.B). Times are in seconds.
type suspicion struct {
	startedAt    float64
	minDuration  float64
	maxDuration  float64
	notBefore    float64         // it does not expire before this time
	expected     int             // confirmations, beside the first report, that shorten it to minDuration
	reporters    map[string]bool // names of the members that reported it
	lastReporter string          // the latest one, which is gossiped with the suspicion
	reportedLeft bool            // another member reports that the member has left
	finalProbe   bool            // this node probes the member once more before it declares it dead
}

// mutantSuspicionParts is the part of a period that a suspicion lasts in the mutant build.
const mutantSuspicionParts = 10

// end returns when the suspicion expires.
func (s *suspicion) end() float64 {
	duration := s.maxDuration
	if s.expected > 0 {
		confirmed := math.Log(float64(len(s.reporters))) / math.Log(float64(s.expected+1))
		duration = max(s.minDuration, s.maxDuration-(s.maxDuration-s.minDuration)*confirmed)
	}
	return max(s.startedAt+duration, s.notBefore)
}

// extend has the suspicion expire so many seconds later.
func (s *suspicion) extend(seconds float64) {
	s.startedAt += seconds
	s.notBefore += seconds
}

// shortenForLeave starts the suspicion again, with the short durations for a member that is reported to have left.
func (s *suspicion) shortenForLeave(now, period float64) {
	s.reportedLeft = true
	s.startedAt = now
	s.minDuration = leaveSuspicionPeriods * period
	s.maxDuration = maxLeaveSuspicionPeriods * period
}

// newSuspicion returns a suspicion that starts now, with durations for the present size of the fleet.
func (m *Members) newSuspicion() *suspicion {
	shortest, longest := m.suspicionDurations()
	return &suspicion{
		startedAt:   m.now,
		minDuration: shortest,
		maxDuration: longest,
		expected:    min(maxConfirmations, max(m.liveCount-2, 0)),
		reporters:   map[string]bool{},
	}
}

// suspicionDurations returns the shortest and the longest duration of a suspicion in seconds, for the present size of the
// fleet.
func (m *Members) suspicionDurations() (shortest, longest float64) {
	if shortSuspicionMutant {
		return m.config.Period / mutantSuspicionParts, m.config.Period / mutantSuspicionParts
	}
	shortest = suspicionPeriods * max(1, math.Log10(float64(m.liveCount))) * m.config.Period
	if m.config.WithoutLifeguard {
		return shortest, shortest
	}
	return shortest, suspicionSpread * shortest
}

// suspect begins a suspicion of a member, or confirms the one that exists. The reporter is the name of the member that
// suspects it; hasLeft says that the member is reported to have left. A member that is gone is not suspected.
func (m *Members) suspect(peer *member, reporter string, hasLeft bool) {
	if peer.State.Gone() {
		return
	}
	if peer.suspicion == nil {
		m.startSuspicion(peer, reporter)
	}
	s := peer.suspicion
	s.lastReporter = reporter
	if hasLeft && !s.reportedLeft {
		s.shortenForLeave(m.now, m.config.Period)
	}
	if reporter == "" || s.reporters[reporter] || len(s.reporters) > maxConfirmations {
		return
	}
	s.reporters[reporter] = true
	m.enqueueUpdate(peer)
}

// startSuspicion begins a suspicion of a member. Of a suspicion that another member reports, some members, in a large
// fleet about verifyingMembers of them, probe the suspect themselves: the reporter may be faulty or isolated.
func (m *Members) startSuspicion(peer *member, reporter string) {
	m.suspectCount++
	peer.suspicion = m.newSuspicion()
	m.setState(peer, Suspect)
	if reporter == m.self.Name {
		return
	}
	if m.random.Float64()*float64(m.liveCount) < verifyingMembers {
		m.priorityProbes = append(m.priorityProbes, peer.Name)
	}
}

// recordAlive records evidence that a member is alive now: a message of its own, or an answer through another member. Its
// suspicion lasts at least until the member can have received and refuted it.
func (m *Members) recordAlive(peer *member) {
	s := peer.suspicion
	if s == nil || m.config.WithoutLifeguard {
		return
	}
	s.notBefore = max(s.notBefore, m.now+s.minDuration)
	s.finalProbe = false
}

// extendSuspicions has all suspicions expire so many seconds later.
func (m *Members) extendSuspicions(seconds float64) {
	for _, peer := range m.others {
		if peer.suspicion != nil {
			peer.suspicion.extend(seconds)
		}
	}
}
