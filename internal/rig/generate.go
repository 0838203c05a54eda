package rig

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	faultRandomStream  = 0x7269670a // separates the random numbers of faults from others of the same seed
	generationAttempts = 50         // attempts per generated fault to find one that can be added to the others
)

// GenerateFaults returns the script's faults and those generated from the seed, sorted by start. Generated process faults
// take down or stop at most a third of the nodes at once, and generated cuts do not overlap, so that the remaining nodes
// have a path to each other.
func (s *Script) GenerateFaults(seed uint64) []Fault {
	faults := slices.Clone(s.Faults)
	random := rand.New(rand.NewPCG(seed, faultRandomStream))
	kinds := s.generatedKinds()
	for attempt := 0; len(faults) < len(s.Faults)+s.GeneratedFaults && attempt < generationAttempts*s.GeneratedFaults; attempt++ {
		fault := s.generateFault(random, kinds)
		if s.canAdd(faults, fault) {
			faults = append(faults, fault)
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

// generatedKinds returns the kinds of faults to generate, in a fixed order.
func (s *Script) generatedKinds() []string {
	if len(s.GeneratedKinds) > 0 {
		return s.GeneratedKinds
	}
	var names []string
	for name, kind := range faultKinds {
		if !kind.streamsOnly { // members exchange datagrams only
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// generateFault generates one fault. Its times and its amount are rounded to two decimals.
func (s *Script) generateFault(random *rand.Rand, kinds []string) Fault {
	round := func(x float64) float64 { return math.Round(x*100) / 100 }
	f := Fault{Kind: kinds[random.IntN(len(kinds))], Nodes: []int{random.IntN(s.Nodes)}}
	f.Duration = round(min(s.ProbePeriod*(1+20*random.Float64()*random.Float64()), s.Duration/2))
	if f.Kind == faultKill && random.IntN(3) == 0 {
		f.Duration = round(s.Duration / 2)
	}
	f.At = round(random.Float64() * (s.Duration - f.Duration))
	if faultKinds[f.Kind].onLink {
		f.BothWays = random.IntN(2) == 0
		if random.IntN(2) == 0 {
			f.To = []int{(f.Nodes[0] + 1 + random.IntN(s.Nodes-1)) % s.Nodes}
		}
	}
	f.Amount = round(s.generateAmount(random, f.Kind))
	return f
}

// generateAmount generates the amount of a fault of a kind; it returns 0 for a kind without an amount.
func (s *Script) generateAmount(random *rand.Rand, kind string) float64 {
	switch kind {
	case faultLoss:
		return 0.05 + 0.35*random.Float64()
	case faultDelay:
		return s.ProbePeriod * random.Float64()
	case faultRepeat:
		return 0.1 + 0.4*random.Float64()
	case faultReplay:
		return 5 + 45*random.Float64()
	case faultTear:
		return 4000 * random.Float64() * random.Float64()
	case faultSlow:
		return 500 + 20000*random.Float64()
	}
	return 0
}

// canAdd reports whether a generated fault can be added to the others. Process faults must affect at most a third of the
// nodes at once, no node may have two of them at once, and no two cuts may overlap.
func (s *Script) canAdd(faults []Fault, generated Fault) bool {
	down := 1
	for _, other := range faults {
		if generated.At >= other.At+other.Duration+1 || other.At >= generated.At+generated.Duration+1 {
			continue
		}
		if !faultKinds[other.Kind].onLink {
			down++
			if slices.Contains(other.Nodes, generated.Nodes[0]) {
				return false
			}
		}
		if generated.Kind == faultCut && other.Kind == faultCut { // two cuts may leave some nodes without a path to each other
			return false
		}
	}
	return down <= s.Nodes/3
}
