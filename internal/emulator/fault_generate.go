package emulator

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

// generateFaults returns the faults that are generated from the seed in addition to those of the script.
func (s *simulation) generateFaults() []Fault {
	if s.script.GeneratedFaults == 0 {
		return nil
	}
	random := newRandom(s.seed, "faults", 0)
	// The early departure is appended after the other faults, so that a seed generates the same other faults as it did
	// before this kind was added.
	kinds := slices.DeleteFunc(FaultKinds(), func(kind FaultKind) bool { return kind == faultEarlyDeparture })
	fleet := s.script.Fleet
	var faults []Fault
	for range s.script.GeneratedFaults {
		f := generateFault(random, kinds, fleet, s.script.Duration)
		if fleet.Hosts > 0 || !faultNeeds[f.Kind].host {
			faults = append(faults, f)
		}
	}
	return append(faults, Fault{
		At:       random.Float64() * s.script.Duration,
		Kind:     faultEarlyDeparture,
		Amount:   random.Float64(),
		Duration: randomFaultDuration(random),
	})
}

// generateFault returns a random fault of one of the given kinds. The order in which random values are drawn has to stay,
// so that a seed keeps generating the same faults.
func generateFault(random *rand.Rand, kinds []FaultKind, fleet Fleet, duration float64) Fault {
	f := Fault{
		At:       random.Float64() * duration,
		Kind:     kinds[random.IntN(len(kinds))],
		Duration: randomFaultDuration(random),
		Host:     random.IntN(max(fleet.Hosts, 1)),
		Node:     random.IntN(fleet.Nodes),
		Zone:     random.IntN(fleet.Zones),
		Count:    1 + random.IntN(max(fleet.Hosts/2, 1)),
	}
	switch f.Kind {
	case faultConnectDelay:
		f.Amount = random.Float64()
	case faultListCallRateLimit:
		f.Amount = float64(fleet.Nodes) * (0.1 + random.Float64()) // answers one call of each node within 0.9 to 10 seconds
	case faultDropClients, faultHostErrors, faultWatchSilence, faultWatchReset:
		f.Amount = 0.2 + 0.5*random.Float64()
	case faultStoreSlow:
		f.Amount = 1 + 20*random.Float64()
	default:
		f.Amount = 1 + 6*random.Float64()
	}
	return f
}

// randomFaultDuration returns a random duration of a fault, 1 to 10 seconds.
func randomFaultDuration(random *rand.Rand) float64 { return 1 + 9*random.Float64() }

// generateFleet returns the script with a fleet, rules and properties of the service types generated from the seed. Fleets
// have 5 to 350 nodes and 4 to 600 hosts, distributed logarithmically so that small fleets are as frequent as large ones.
// The order in which random values are drawn has to stay, so that a seed keeps generating the same fleet.
func (s Scenario) generateFleet(seed uint64) Scenario {
	random := newRandom(seed, "settings", 0)
	between := func(least, most float64) float64 { return least + (most-least)*random.Float64() }
	logarithmic := func(least, most float64) int { return int(least * math.Pow(most/least, random.Float64())) }
	s.Fleet.Nodes = logarithmic(5, 351)
	s.Fleet.Hosts = logarithmic(4, 601)
	s.Fleet.Zones = 1 + random.IntN(4)
	// Discovery answers one call of each node within 0.5 to about 3.3 seconds (docs/operating.md).
	s.Fleet.ListCallRate = float64(s.Fleet.Nodes) * between(0.3, 2)
	s.Fleet.ListDelay = between(0.1, 3)
	s.Rules.DrainGrace = between(0.25, 1)
	s.Rules.DialTimeout = between(0.1, 1.5)
	s.Rules.PollWithin = between(5, 15)
	s.Rules.Pushed = random.IntN(2) == 0
	idempotencies := slices.Sorted(maps.Keys(nodeIdempotency))
	s.Traffic = slices.Clone(s.Traffic)
	for i := range s.Traffic {
		t := &s.Traffic[i]
		t.Idempotency = idempotencies[random.IntN(len(idempotencies))]
		t.MemorySpan = between(1, 8)
		t.ConnectTimeout = between(1, 4)
		t.SetupObjective = min(t.SetupObjective, t.ConnectTimeout/2)
	}
	return s
}
