package membership

import "math"

// suspicion is the time within which a suspect can refute that it failed. It lasts for maxDuration while a single member
// reports it, and becomes shorter with each confirmation by another member (Lifeguard, section IV.B). Times are in seconds.
type suspicion struct {
	startedAt    float64
	minDuration  float64
	maxDuration  float64
	notBefore    float64         // earliest time at which it may expire
	expected     int             // number of confirmations, after the first report, that shorten it to minDuration
	reporters    map[string]bool // names of the members that reported it
	lastReporter string          // member that reported it last, which is gossiped with the suspicion
	reportedLeft bool            // another member reported that the suspect has left
	finalProbe   bool            // a last probe is queued, after which the suspect is declared dead
}

// mutantSuspicionParts is the divisor of the period that yields the duration of a suspicion in the mutant build.
const mutantSuspicionParts = 10

// end returns the time at which the suspicion expires.
func (s *suspicion) end() float64 {
	duration := s.maxDuration
	if s.expected > 0 {
		confirmed := math.Log(float64(len(s.reporters))) / math.Log(float64(s.expected+1))
		duration = max(s.minDuration, s.maxDuration-(s.maxDuration-s.minDuration)*confirmed)
	}
	return max(s.startedAt+duration, s.notBefore)
}

// extend postpones the end of the suspicion by the given number of seconds.
func (s *suspicion) extend(seconds float64) {
	s.startedAt += seconds
	s.notBefore += seconds
}

// shortenForLeave restarts the suspicion with the shorter durations for a member that is reported to have left.
func (s *suspicion) shortenForLeave(now, period float64) {
	s.reportedLeft = true
	s.startedAt = now
	s.minDuration = leaveSuspicionPeriods * period
	s.maxDuration = maxLeaveSuspicionPeriods * period
}

// newSuspicion returns a suspicion that starts now, with durations for the current size of the fleet.
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

// suspicionDurations returns the shortest and the longest duration of a suspicion in seconds, for the current size of the
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

// suspect starts a suspicion of a member or confirms the existing one. The reporter is the name of the member that
// suspects it; hasLeft is true if the report is that the member has left. Members that are dead or have left are not
// suspected.
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

// startSuspicion starts a suspicion of a member. If another member reported it, this node queues a probe of the suspect
// with a probability such that about verifyingMembers of a large fleet do: the reporter may be faulty or isolated.
func (m *Members) startSuspicion(peer *member, reporter string) {
	m.suspectCount++
	peer.suspicion = m.newSuspicion()
	peer.suspicion.lastReporter = reporter
	m.setState(peer, Suspect)
	if reporter == m.self.Name {
		return
	}
	if m.random.Float64()*float64(m.liveCount) < verifyingMembers {
		m.priorityProbes = append(m.priorityProbes, peer.Name)
	}
}

// recordAlive records evidence that a member is alive now: a message from it, or its answer through another member. A
// suspicion of the member then lasts for at least minDuration from now, so that the member can learn of it and refute it.
func (m *Members) recordAlive(peer *member) {
	s := peer.suspicion
	if s == nil || m.config.WithoutLifeguard {
		return
	}
	s.notBefore = max(s.notBefore, m.now+s.minDuration)
	s.finalProbe = false
}

// extendSuspicions postpones the end of all suspicions by the given number of seconds.
func (m *Members) extendSuspicions(seconds float64) {
	for _, peer := range m.others {
		if peer.suspicion != nil {
			peer.suspicion.extend(seconds)
		}
	}
}
