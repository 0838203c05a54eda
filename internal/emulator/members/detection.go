package members

import (
	"math"

	"gorseledge/internal/membership"
)

// Lengths of the phases of MeasureDetection, in periods.
const (
	idlePhase     = 30 // fleet at rest, in which sent bytes are counted
	recoveryPhase = 60 // after the stalls
	deathPhase    = 80 // after the death
)

const secondsPerHour = 3600

// Measurement has the figures of one simulated fleet.
type Measurement struct {
	Seed            uint64
	FirstSuspicion  float64 // periods from the death to the first suspicion of it; +Inf for none
	FirstDeath      float64 // periods from the death to the first declaration of it by a member; +Inf for none
	LastDeath       float64 // periods from the death to the last declaration of it by a member; 0 for none
	KnownFraction   float64 // fraction of the other members that declared the death
	FalseSuspicions float64 // suspicions of live members an hour, summed over all members
	FalseDeaths     float64 // declared deaths of live members an hour, summed over all members
	IdleBytes       float64 // bytes that a member sends a second at rest
}

// Stalls describes how nodes are paused while a fleet is measured.
type Stalls struct {
	Fraction float64 // fraction of the nodes that are paused; 0 for none
	Duration float64 // seconds of each pause
	Interval float64 // seconds between the starts of two pauses of a node
}

// SettlePeriods returns the default number of periods between the simultaneous start of all nodes and the measurement. A
// fleet of hundreds of members still gossips about the start during that time.
func SettlePeriods(nodes int) float64 { return 30 * math.Log10(10+float64(nodes)) }

// MeasureDetection measures one fleet, beginning settlePeriods after its start: first its load at rest, then false suspicions
// and deaths under the given seconds of stalls, and last the detection of one death. Without stalls the second phase is
// skipped.
func MeasureDetection(o Options, stalls Stalls, settlePeriods, seconds float64) Measurement {
	s := New(o)
	s.runPeriods(settlePeriods)
	m := Measurement{Seed: o.Seed, IdleBytes: s.measureIdleBytes()}
	if stalls.Fraction > 0 {
		s.measureStalls(&m, stalls, seconds)
		s.runPeriods(recoveryPhase)
	}
	s.measureDeath(&m)
	return m
}

// measureIdleBytes returns the bytes that a member sends a second during a phase without faults.
func (s *Simulation) measureIdleBytes() float64 {
	from := s.Now
	before := s.sentTotals()
	s.runPeriods(idlePhase)
	return float64(s.sentTotals().bytes-before.bytes) / float64(s.Nodes) / (s.Now - from)
}

// measureStalls pauses nodes repeatedly for the given seconds, and counts false suspicions and deaths.
func (s *Simulation) measureStalls(m *Measurement, stalls Stalls, seconds float64) {
	before := len(s.Events)
	for i := range int(stalls.Fraction * float64(s.Nodes)) {
		firstAt := s.Now + stalls.Interval*s.random.Float64()
		for at := firstAt; at+stalls.Duration < s.Now+seconds; at += stalls.Interval {
			s.At(at, func() { s.Pause(i) })
			s.At(at+stalls.Duration, func() { s.Resume(i) })
		}
	}
	s.Run(s.Now + seconds)
	for _, e := range s.Events[before:] {
		switch e.State {
		case membership.Suspect:
			m.FalseSuspicions += secondsPerHour / seconds
		case membership.Dead:
			m.FalseDeaths += secondsPerHour / seconds
		}
	}
}

// measureDeath kills the last node and measures when the others suspect it and declare it dead.
func (s *Simulation) measureDeath(m *Measurement) {
	before := len(s.Events)
	from := s.Now
	victim := s.Nodes - 1
	s.Kill(victim)
	s.runPeriods(deathPhase)
	knownBy := map[int]bool{}
	m.FirstSuspicion = math.Inf(1)
	m.FirstDeath = math.Inf(1)
	for _, e := range s.Events[before:] {
		if e.Name != s.nodes[victim].name {
			continue
		}
		periods := (e.At - from) / s.Period
		switch e.State {
		case membership.Suspect:
			m.FirstSuspicion = min(m.FirstSuspicion, periods)
		case membership.Dead:
			knownBy[e.Node] = true
			m.FirstDeath = min(m.FirstDeath, periods)
			m.LastDeath = max(m.LastDeath, periods)
		}
	}
	m.KnownFraction = float64(len(knownBy)) / float64(s.Nodes-1)
}
