// Package scale measures the costs of the control side of a fleet at several fleet sizes. A run has real nodes, which are
// processes of the built program with emulated hosts and clients, and hollow nodes. A hollow node runs the same control
// side (internal/fleet and the packages it uses) without serving clients; one process hosts up to hundreds of hollow nodes,
// each with its own loopback socket. A run measures the fleet at rest and during a script's events, compares hollow nodes
// with real ones and with members on the virtual clock, and checks the script's bounds.
package scale

import (
	"errors"
	"fmt"
	"os"
	"slices"

	"gorseledge/internal/strict"
)

// Script describes the fleets that are started, the events that they go through, and the bounds on their costs. Times are
// in seconds unless the key names another unit.
type Script struct {
	Name                 string   `toml:"name"`
	Sizes                []int    `toml:"sizes"`           // nodes in each fleet, including the real ones
	Real                 int      `toml:"real"`            // real nodes in each fleet
	PerProcess           int      `toml:"per_process"`     // mean number of hollow nodes in a process
	ZonesPerRegion       []int    `toml:"zones"`           // number of zones of each region
	Rack                 int      `toml:"rack"`            // nodes in a rack
	Period               float64  `toml:"period_s"`        // time between two probes that a node sends
	SendMembers          bool     `toml:"introduce"`       // the run sends all nodes the member list at the start
	StartTimeout         float64  `toml:"settle_s"`        // time from the start until all nodes must know each other
	AwaitQuiescence      bool     `toml:"at_rest"`         // wait until the fleet is quiescent before the first measurement
	QuiescenceTimeout    float64  `toml:"quiet_s"`         // longest wait for quiescence
	RestDuration         float64  `toml:"rest_s"`          // length of the measurement at rest
	EventDelay           float64  `toml:"pause_s"`         // wait before each event
	ReconvergenceTimeout float64  `toml:"agree_s"`         // time after an event's window until the fleet must have converged
	ControlServers       []int    `toml:"control"`         // number of control servers in each region; without it there are none
	InForceBound         float64  `toml:"in_force_s"`      // bound on the time until a change is in force at the last reachable node
	MinChangeDuration    float64  `toml:"change_s"`        // shortest time over which a change's costs are measured
	Hosts                int      `toml:"hosts"`           // emulated hosts behind the real nodes
	FlowRate             float64  `toml:"flows_per_s"`     // rate of new flows over all real nodes
	Tolerance            float64  `toml:"tolerance"`       // allowed difference from 1 of the hollow to real ratio at rest
	CPU                  float64  `toml:"cpu_cores"`       // bound on the CPU of a hollow node at rest, as a fraction of a core
	Memory               float64  `toml:"memory_mb"`       // bound in MB on the memory of a hollow node at rest
	Bandwidth            float64  `toml:"bandwidth_kB_s"`  // bound in kB/s on the traffic of a hollow node at rest, both directions
	TotalMemory          float64  `toml:"total_memory_mb"` // limit in MB on the memory of all processes
	TotalMinutes         float64  `toml:"minutes"`         // limit in minutes on the time for one size
	Virtual              bool     `toml:"virtual"`         // whether to compare also with members on the virtual clock
	Events               []Action `toml:"event"`
}

// ActionKind is the kind of an event.
type ActionKind string

// The kinds of an Action.
const (
	KillOne     ActionKind = "kill"    // one node is killed and restarted after FailureDuration
	RestartSome ActionKind = "restart" // a fraction of the nodes leaves and is restarted
	KillRack    ActionKind = "rack"    // the nodes of one rack are killed
	KillZone    ActionKind = "zone"    // the nodes of one zone are killed
	Change      ActionKind = "change"  // the configuration changes during a disturbance
	CutRegion   ActionKind = "region"  // one region is cut off from all others
)

// Action is one event of a script. Before the next event begins, the affected nodes are back and the fleet has converged.
type Action struct {
	Kind            ActionKind  `toml:"kind"`
	Disturbance     Disturbance `toml:"during"`   // change: what happens to the fleet while the change is applied
	Fraction        float64     `toml:"part"`     // fraction of all nodes that is restarted; 0 for events without a restart
	FailureDuration float64     `toml:"for_s"`    // time until the failure ends; 0 for events without a failure of stated length
	Window          float64     `toml:"window_s"` // time after the failure ends in which its detection and convergence are measured
}

// Limits for the machine, which no script may exceed.
const (
	maxNodes        = 2000
	maxProcesses    = 300
	maxMemoryMB     = 12000 // megabytes
	maxMinutes      = 10.0
	maxNodesPerRack = 100
)

// ReadFile reads a script and rejects unknown keys. An error names the file and the line.
func ReadFile(path string) (*Script, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Read(path, text)
}

// Read reads a script's text; path is used in error messages.
func Read(path string, text []byte) (*Script, error) {
	s := &Script{Real: 16, PerProcess: 100, ZonesPerRegion: []int{3, 3, 2}, Rack: 20, Period: 1, SendMembers: true, StartTimeout: 120,
		AwaitQuiescence: true, QuiescenceTimeout: 120,
		RestDuration: 30, EventDelay: 15, ReconvergenceTimeout: 60, Hosts: 4, FlowRate: 10, Tolerance: 0.1, InForceBound: 6,
		MinChangeDuration: 5, CPU: 0.013, Memory: 64, Bandwidth: 15, TotalMemory: maxMemoryMB,
		TotalMinutes: maxMinutes}
	if err := strict.Decode(path, text, s); err != nil {
		return nil, err
	}
	if place, err := s.check(); err != nil {
		return nil, place.Wrap(path, text, err)
	}
	return s, nil
}

// check returns the place and the error of the first invalid value.
func (s *Script) check() (strict.Place, error) {
	top := func(key string) strict.Place { return strict.Place{Key: key} }
	if len(s.Sizes) == 0 {
		return top("sizes"), errors.New("sizes: must name at least one fleet size")
	}
	if len(s.ZonesPerRegion) == 0 || len(s.ZonesPerRegion) > 5 ||
		slices.Min(s.ZonesPerRegion) < 1 || slices.Max(s.ZonesPerRegion) > 10 {
		return top("zones"), errors.New("zones: must list 1 to 5 regions with 1 to 10 zones each")
	}
	for _, c := range []struct {
		key      string
		x        float64
		min, max float64
	}{{"sizes", float64(slices.Min(s.Sizes)), 4, maxNodes}, {"sizes", float64(slices.Max(s.Sizes)), 4, maxNodes},
		{"real", float64(s.Real), 2, float64(min(slices.Min(s.Sizes)-1, 64))}, {"per_process", float64(s.PerProcess), 1, 500},
		{"rack", float64(s.Rack), 1, maxNodesPerRack}, {"period_s", s.Period, 0.05, 10}, {"settle_s", s.StartTimeout, 1, 600},
		{"quiet_s", s.QuiescenceTimeout, 0, 300}, {"rest_s", s.RestDuration, 1, 300}, {"pause_s", s.EventDelay, 0, 300},
		{"agree_s", s.ReconvergenceTimeout, 1, 600}, {"hosts", float64(s.Hosts), 1, 50},
		{"flows_per_s", s.FlowRate, 0, 500}, {"tolerance", s.Tolerance, 0.01, 1}, {"in_force_s", s.InForceBound, 0.1, 600},
		{"change_s", s.MinChangeDuration, 0, 600}, {"cpu_cores", s.CPU, 0, 8},
		{"memory_mb", s.Memory, 1, maxMemoryMB}, {"bandwidth_kB_s", s.Bandwidth, 0.01, 1e6},
		{"total_memory_mb", s.TotalMemory, 100, maxMemoryMB}, {"minutes", s.TotalMinutes, 0.1, maxMinutes}} {
		if !(c.x >= c.min && c.x <= c.max) {
			return top(c.key), fmt.Errorf("%s: must be between %g and %g, got %g", c.key, c.min, c.max, c.x)
		}
	}
	if n := s.Real + slices.Max(s.Sizes)/s.PerProcess + 2; n > maxProcesses {
		return top("per_process"), fmt.Errorf("per_process: the run would need %d processes, at most %d are allowed", n, maxProcesses)
	}
	if n := sum(s.ControlServers); len(s.ControlServers) > 0 &&
		(len(s.ControlServers) != len(s.ZonesPerRegion) || n%2 == 0 || n < 3 || n > 9) {
		return top("control"), errors.New("control: must list a number of servers for each region, with an odd sum between 3 and 9")
	}
	for i, a := range s.Events {
		at := func(key string) strict.Place { return strict.Place{Table: "event", Index: i, Key: key} }
		switch {
		case !slices.Contains([]ActionKind{KillOne, RestartSome, KillRack, KillZone, CutRegion, Change}, a.Kind):
			return at("kind"), fmt.Errorf("kind: unknown event %q", a.Kind)
		case a.Kind == Change && len(s.ControlServers) == 0:
			return at("kind"), errors.New("kind: a change needs control servers")
		case !slices.Contains([]Disturbance{DisturbanceNone, DisturbanceRestart, DisturbanceServerFault, DisturbanceServerStart,
			DisturbanceRegionCut}, a.Disturbance) ||
			a.Kind != Change && a.Disturbance != DisturbanceNone:
			return at("during"), fmt.Errorf("during: unknown or not allowed for the event: %q", a.Disturbance)
		case a.restartsNodes() != (a.Fraction > 0) || !(a.Fraction >= 0 && a.Fraction <= 0.5):
			return at("part"), fmt.Errorf("part: must be above 0 and at most 0.5 for a restart and 0 otherwise, got %g", a.Fraction)
		case a.hasFailureDuration() != (a.FailureDuration > 0) || !(a.FailureDuration >= 0 && a.FailureDuration <= 600):
			return at("for_s"), fmt.Errorf("for_s: must be above 0 and at most 600 for a failure and 0 otherwise, got %g",
				a.FailureDuration)
		case !(a.Window > 0 && a.Window <= 600):
			return at("window_s"), fmt.Errorf("window_s: must be above 0 and at most 600, got %g", a.Window)
		case a.Kind == CutRegion && len(s.ZonesPerRegion) < 2:
			return at("kind"), errors.New("kind: a region cut needs at least two regions")
		}
	}
	return strict.Place{}, nil
}

// restartsNodes reports whether a fraction of the nodes is restarted.
func (a Action) restartsNodes() bool {
	return a.Kind == RestartSome || a.Disturbance == DisturbanceRestart
}

// hasFailureDuration reports whether the event has a failure that ends after FailureDuration.
func (a Action) hasFailureDuration() bool {
	return a.Disturbance == DisturbanceRegionCut || a.Kind != RestartSome && a.Kind != Change
}

// zoneCount returns the number of zones in all regions.
func (s *Script) zoneCount() int { return sum(s.ZonesPerRegion) }

func sum(numbers []int) (n int) {
	for _, x := range numbers {
		n += x
	}
	return n
}
