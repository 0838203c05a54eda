package rig

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// serverRegions are the regions of the control servers, by index.
var serverRegions = []string{"north", "south", "west", "north", "south"}

// regions are all regions; nodes are assigned to them in turn.
var regions = []string{"north", "south", "west"}

// The kinds of faults that only control servers have; their other kinds are those of nodes.
const (
	faultRegion   = "region"    // cuts all links to servers between a region and the others, in both directions
	faultCutNodes = "cut_nodes" // cuts links from nodes to servers
)

// ControlFault is one fault of control servers or of the links to them. Times are in seconds, from the same start as those
// of Fault.
type ControlFault struct {
	At       float64 `toml:"at" json:"at"`
	Kind     string  `toml:"kind" json:"kind"`
	Servers  []int   `toml:"servers" json:"servers,omitempty"` // affected servers; for a cut, the senders
	To       []int   `toml:"to" json:"to,omitempty"`           // for a cut, the receivers; if missing, all other servers
	Nodes    []int   `toml:"nodes" json:"nodes,omitempty"`     // for cut_nodes, the nodes that are cut off from the servers
	Region   string  `toml:"region" json:"region,omitempty"`   // for region, the region that is cut off
	Duration float64 `toml:"for" json:"for"`                   // duration
}

// String describes the fault without its time, for progress lines and to find the event that ends it.
func (f ControlFault) String() string {
	return fmt.Sprintf("control %s of servers %v to %v, nodes %v, region %q, for %g s", f.Kind, f.Servers, f.To, f.Nodes,
		f.Region, f.Duration)
}

// controlKinds are the kinds of faults of control servers. A value reports whether the kind acts on links; otherwise it acts
// on processes.
var controlKinds = map[string]bool{faultStop: false, faultKill: false, faultWipe: false, faultRollback: false,
	faultRestart: false, faultCut: true, faultCutNodes: true, faultRegion: true}

// checkControlFault returns the first error in a fault of control servers, with the key that it concerns.
func (s *Script) checkControlFault(f ControlFault) (key string, err error) {
	_, known := controlKinds[f.Kind]
	switch {
	case !known:
		return "kind", fmt.Errorf("kind: unknown kind of fault of control servers %q", f.Kind)
	case !(f.At >= 0 && f.At <= s.Duration):
		return "at", fmt.Errorf("at: must be between 0 and %g s (lasts), got %g", s.Duration, f.At)
	case !(f.Duration > 0) || f.At+f.Duration > s.Duration:
		return "for", fmt.Errorf("for: must be above 0, and the fault must end within %g s (lasts), got %g", s.Duration, f.Duration)
	case f.Kind == faultRegion && !slices.Contains(regions, f.Region):
		return "region", fmt.Errorf("region: must be one of %q, got %q", regions, f.Region)
	case f.Kind != faultRegion && len(f.Servers) == 0:
		return "servers", errors.New("servers: at least one affected server is required")
	}
	for _, i := range slices.Concat(f.Servers, f.To) {
		if i < 0 || i >= s.ControlServers {
			return "servers", fmt.Errorf("servers: server index must be between 0 and %d, got %d", s.ControlServers-1, i)
		}
	}
	for _, i := range f.Nodes {
		if i < 0 || i >= s.Nodes {
			return "nodes", fmt.Errorf("nodes: node index must be between 0 and %d, got %d", s.Nodes-1, i)
		}
	}
	return "", nil
}

// Parameters of generated faults of control servers.
const (
	controlRandomStream = 0x636f6e74 // separates their random numbers from others of the same seed
	allRestartedOneIn   = 8          // one in this many generated restarts affects all servers
	maxServersDisabled  = 2          // servers with generated faults of their processes at a time
)

// GenerateControlFaults returns the script's faults of control servers and those generated from the seed, sorted by start. At
// most two servers are down or stopped at once, except when all are restarted, and at most one generated fault at a time
// changes a directory.
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

// canAddControlFault reports whether a generated fault can be added to the others. Together they must leave enough servers
// running, must not give one server two faults of its process at once and must not change two directories at once.
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
		if changesDirectory(f) && changesDirectory(other) || slices.ContainsFunc(f.Servers, func(i int) bool {
			return slices.Contains(other.Servers, i)
		}) {
			return false
		}
	}
	return disabled <= maxServersDisabled || disabled == len(f.Servers)
}

// changesDirectory reports whether a fault empties or replaces the data directory of a server.
func changesDirectory(f ControlFault) bool { return f.Kind == faultWipe || f.Kind == faultRollback }
