package emulator

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

// drawFaults returns the faults that the seed adds to the script.
func (s *simulation) drawFaults() []Fault {
	if s.script.DrawnFaults == 0 {
		return nil
	}
	random := newRandom(s.seed, "faults", 0)
	// Clients that leave are drawn last: older seeds keep the faults that they drew before this kind existed.
	kinds := slices.DeleteFunc(FaultKinds(), func(kind FaultKind) bool { return kind == faultClientsLeave })
	fleet := s.script.Fleet
	var faults []Fault
	for range s.script.DrawnFaults {
		f := drawFault(random, kinds, fleet, s.script.Duration)
		if fleet.Hosts > 0 || !faultNeeds[f.Kind].host {
			faults = append(faults, f)
		}
	}
	return append(faults, Fault{
		At:       random.Float64() * s.script.Duration,
		Kind:     faultClientsLeave,
		Amount:   random.Float64(),
		Duration: drawFaultDuration(random),
	})
}

// drawFault draws one fault of the given kinds. The order of the draws is part of what a seed means.
func drawFault(random *rand.Rand, kinds []FaultKind, fleet Fleet, duration float64) Fault {
	f := Fault{
		At:       random.Float64() * duration,
		Kind:     kinds[random.IntN(len(kinds))],
		Duration: drawFaultDuration(random),
		Host:     random.IntN(max(fleet.Hosts, 1)),
		Node:     random.IntN(fleet.Nodes),
		Zone:     random.IntN(fleet.Zones),
		Count:    1 + random.IntN(max(fleet.Hosts/2, 1)),
	}
	switch f.Kind {
	case faultDialLate:
		f.Amount = random.Float64()
	case faultListSlow:
		f.Amount = float64(fleet.Nodes) * (0.1 + random.Float64()) // calls of the whole fleet within one to ten seconds
	case faultDropClients, faultHostErrors, faultListSilent, faultListReset:
		f.Amount = 0.2 + 0.5*random.Float64()
	case faultStoreSlow:
		f.Amount = 1 + 20*random.Float64()
	default:
		f.Amount = 1 + 6*random.Float64()
	}
	return f
}

// drawFaultDuration draws how long a fault lasts, 1 to 10 seconds.
func drawFaultDuration(random *rand.Rand) float64 { return 1 + 9*random.Float64() }

// drawFleet returns the script with a fleet and rules drawn from the seed: 5 to 350 nodes and 4 to 600 hosts, small
// fleets as often as large ones. The order of the draws is part of what a seed means.
func (s Scenario) drawFleet(seed uint64) Scenario {
	random := newRandom(seed, "settings", 0)
	between := func(least, most float64) float64 { return least + (most-least)*random.Float64() }
	logarithmic := func(least, most float64) int { return int(least * math.Pow(most/least, random.Float64())) }
	s.Fleet.Nodes = logarithmic(5, 351)
	s.Fleet.Hosts = logarithmic(4, 601)
	s.Fleet.Zones = 1 + random.IntN(4)
	// The calls of all nodes take half a second to about three seconds (docs/operating.md).
	s.Fleet.ListCallRate = float64(s.Fleet.Nodes) * between(0.3, 2)
	s.Fleet.ListDelay = between(0.1, 3)
	s.Rules.DrainGrace = between(0.25, 1)
	s.Rules.DialTimeout = between(0.1, 1.5)
	s.Rules.PollWithin = between(5, 15)
	s.Rules.Pushed = random.IntN(2) == 0
	effects := slices.Sorted(maps.Keys(nodeEffects))
	s.Traffic = slices.Clone(s.Traffic)
	for i := range s.Traffic {
		t := &s.Traffic[i]
		t.Effect = effects[random.IntN(len(effects))]
		t.MemorySpan = between(1, 8)
		t.ConnectTimeout = between(1, 4)
		t.SetupObjective = min(t.SetupObjective, t.ConnectTimeout/2)
	}
	return s
}
