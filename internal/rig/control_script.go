package rig

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// serverRegions are the regions of the control servers; nodes are assigned to the regions in turn.
var serverRegions = []string{"north", "south", "west", "north", "south"}

// regions are all regions.
var regions = []string{"north", "south", "west"}

// faultRegion and faultCutNodes are the kinds of faults that only control servers have; the others are those of nodes.
const (
	faultRegion   = "region"    // a region's nodes and servers reach no server of the others, and the reverse
	faultCutNodes = "cut_nodes" // nodes do not reach servers
)

// ControlFault is one fault of control servers. Times are seconds, counted as those of other faults.
type ControlFault struct {
	At       float64 `toml:"at" json:"at"`
	Kind     string  `toml:"kind" json:"kind"`
	Servers  []int   `toml:"servers" json:"servers,omitempty"` // affected servers; for a cut, those that do not reach others
	To       []int   `toml:"to" json:"to,omitempty"`           // for a cut, the servers not reached; all others where missing
	Nodes    []int   `toml:"nodes" json:"nodes,omitempty"`     // for cut_nodes, the nodes that do not reach the servers
	Region   string  `toml:"region" json:"region,omitempty"`
	Duration float64 `toml:"for" json:"for"` // duration
}

// String describes the fault for progress lines, without its time.
func (f ControlFault) String() string {
	return fmt.Sprintf("control %s of servers %v to %v, nodes %v, region %q, for %g s", f.Kind, f.Servers, f.To, f.Nodes,
		f.Region, f.Duration)
}

// controlKinds are the kinds of faults of control servers: whether each acts on links.
var controlKinds = map[string]bool{faultStop: false, faultKill: false, faultWipe: false, faultRollback: false,
	faultRestart: false, faultCut: true, faultCutNodes: true, faultRegion: true}

// checkControlFault returns the first error in a fault of control servers, and the key that it concerns.
func (s *Script) checkControlFault(f ControlFault) (key string, err error) {
	_, known := controlKinds[f.Kind]
	switch {
	case !known:
		return "kind", fmt.Errorf("kind: no fault of control servers is called %q", f.Kind)
	case !(f.At >= 0 && f.At <= s.Duration):
		return "at", fmt.Errorf("at: %g is not between 0 and %g", f.At, s.Duration)
	case !(f.Duration > 0) || f.At+f.Duration > s.Duration:
		return "for", fmt.Errorf("for: %g is not a valid duration, or the fault outlasts the script", f.Duration)
	case f.Kind == faultRegion && !slices.Contains(regions, f.Region):
		return "region", fmt.Errorf("region: there is no region %q", f.Region)
	case f.Kind != faultRegion && len(f.Servers) == 0:
		return "servers", errors.New("servers: none is named")
	}
	for _, i := range slices.Concat(f.Servers, f.To) {
		if i < 0 || i >= s.ControlServers {
			return "servers", fmt.Errorf("servers: there is no server %d", i)
		}
	}
	for _, i := range f.Nodes {
		if i < 0 || i >= s.Nodes {
			return "nodes", fmt.Errorf("nodes: there is no node %d", i)
		}
	}
	return "", nil
}

// Shares and bounds of generated faults of control servers.
const (
	controlRandomStream = 0x636f6e74 // separates their random numbers from others of the same seed
	allRestartedOneIn   = 8
	maxServersDisabled  = 2
)

// GenerateControlFaults returns the script's faults of control servers and those that are generated from the seed, by their times. At
// most two servers are down or stopped at once, but for a restart of all; at most one directory is touched at a time.
func (s *Script) GenerateControlFaults(seed uint64) []ControlFault {
	faults := slices.Clone(s.ControlFaults)
	random := rand.New(rand.NewPCG(seed, controlRandomStream))
	for attempt := 0; len(faults) < len(s.ControlFaults)+s.GeneratedControlFaults && attempt < generationAttempts*s.GeneratedControlFaults; attempt++ {
		fault := s.generateControlFault(random)
		if s.canAddControlFault(faults, fault) {
			faults = append(faults, fault)
		}
	}
	slices.SortStableFunc(faults, func(a, b ControlFault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

func (s *Script) generateControlFault(random *rand.Rand) ControlFault {
	round := func(x float64) float64 { return math.Round(x*100) / 100 }
	kinds := []string{faultStop, faultKill, faultWipe, faultRollback, faultRestart, faultCut, faultCutNodes, faultRegion}
	f := ControlFault{Kind: kinds[random.IntN(len(kinds))], Duration: round(0.5 + random.Float64()*s.Duration/5)}
	f.At = round(random.Float64() * (s.Duration - f.Duration))
	switch f.Kind {
	case faultRegion:
		f.Region = regions[random.IntN(len(regions))]
		return f
	case faultRestart:
		if random.IntN(allRestartedOneIn) == 0 {
			for i := range s.ControlServers {
				f.Servers = append(f.Servers, i)
			}
			return f
		}
	case faultCutNodes:
		f.Nodes = []int{random.IntN(s.Nodes), random.IntN(s.Nodes)}
	}
	f.Servers = []int{random.IntN(s.ControlServers)}
	if f.Kind == faultCut && random.IntN(2) == 0 {
		f.To = []int{(f.Servers[0] + 1 + random.IntN(s.ControlServers-1)) % s.ControlServers}
	}
	return f
}

// canAddControlFault reports whether a generated fault leaves enough servers beside the others, and no server with two faults of
// its process at once.
func (s *Script) canAddControlFault(faults []ControlFault, f ControlFault) bool {
	if controlKinds[f.Kind] {
		return true
	}
	disabled := len(f.Servers)
	for _, other := range faults {
		if controlKinds[other.Kind] || other.At > f.At+f.Duration || f.At > other.At+other.Duration {
			continue
		}
		disabled += len(other.Servers)
		if touchesDirectory(f) && touchesDirectory(other) || slices.ContainsFunc(f.Servers, func(i int) bool {
			return slices.Contains(other.Servers, i)
		}) {
			return false
		}
	}
	return disabled <= maxServersDisabled || disabled == len(f.Servers)
}

// touchesDirectory reports whether a fault takes away what a server has on its disk.
func touchesDirectory(f ControlFault) bool { return f.Kind == faultWipe || f.Kind == faultRollback }
