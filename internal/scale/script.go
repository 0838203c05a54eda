// Package scale measures what the control side of a fleet costs at several sizes. A run has real nodes, which are
// processes of the built program with stand-ins for hosts and clients, and hollow nodes, which are the same control side
// (internal/fleet and what it runs) by the hundred in a process, on loopback sockets of their own. It measures at rest
// and while a script's events go on, compares hollow nodes with real ones and with the virtual clock, and judges bounds.
package scale

import (
	"errors"
	"fmt"
	"os"
	"slices"

	"gorseledge/internal/strict"
)

// Script says which fleets are started and what happens to them. Times are seconds.
type Script struct {
	Name         string   `toml:"name"`
	Sizes        []int    `toml:"sizes"`          // nodes of each fleet, real ones included
	Real         int      `toml:"real"`           // processes of the built program in each
	PerProcess   int      `toml:"per_process"`    // hollow nodes in a process, in the mean
	ZonesOf      []int    `toml:"zones"`          // zones of each region
	Rack         int      `toml:"rack"`           // nodes of a rack
	Period       float64  `toml:"period_s"`       // between two probes of a node
	Introduce    bool     `toml:"introduce"`      // the run tells all nodes of one another at the start
	Settle       float64  `toml:"settle_s"`       // after the start, until all know all
	AtRest       bool     `toml:"at_rest"`        // the fleet comes to rest before the first measurement
	Quiet        float64  `toml:"quiet_s"`        // for that at the most
	Rest         float64  `toml:"rest_s"`         // of the measurement at rest
	Pause        float64  `toml:"pause_s"`        // before each event
	Agree        float64  `toml:"agree_s"`        // after an event's window, until all agree again
	Control      []int    `toml:"control"`        // control servers of each region; none where it is missing
	Force        float64  `toml:"in_force_s"`     // bound until a change is in force at the last reachable node
	ChangeTime   float64  `toml:"change_s"`       // least time over which a change's costs are measured
	Hosts        int      `toml:"hosts"`          // stand-ins behind the real nodes
	Flows        float64  `toml:"flows_per_s"`    // new clients of all real nodes
	Tolerance    float64  `toml:"tolerance"`      // hollow over real, messages and bytes at rest, may differ by that part
	CPU          float64  `toml:"cpu_cores"`      // bound of a hollow node at rest, part of a core
	Memory       float64  `toml:"memory_mb"`      // bound of a hollow node
	Bandwidth    float64  `toml:"bandwidth_kB_s"` // bound of a hollow node's bytes sent and received at rest
	TotalMemory  float64  `toml:"total_memory_mb"`
	TotalMinutes float64  `toml:"minutes"` // for one size
	Virtual      bool     `toml:"virtual"` // compare with the virtual clock as well
	Events       []Action `toml:"event"`
}

// ActionKind says what happens to the fleet.
type ActionKind string

// The kinds of an Action.
const (
	KillOne     ActionKind = "kill"    // nodes die without a word, and stay dead until the event is over
	RestartSome ActionKind = "restart" // nodes leave and are started again
	KillRack    ActionKind = "rack"    // a rack's nodes die
	KillZone    ActionKind = "zone"    // a zone's nodes die
	Change      ActionKind = "change"  // of the configuration, while something else goes on
	CutRegion   ActionKind = "region"  // a region hears nobody else, and nobody else hears it
)

// Action is one event of a script. Nodes of every event are back and known before the next one begins.
type Action struct {
	Kind   ActionKind `toml:"kind"`
	During During     `toml:"during"`   // change: what goes on meanwhile
	Part   float64    `toml:"part"`     // restart: of all nodes; the others go by what fails
	For    float64    `toml:"for_s"`    // until what failed comes back
	Window float64    `toml:"window_s"` // after it is back, in which is measured how it becomes known
}

// Bounds of the machine, which no script may exceed.
const (
	mostNodes       = 2000
	mostProcesses   = 300
	mostMemory      = 12000 // megabytes
	mostMinutes     = 10.0
	mostNodesInRack = 100
)

// ReadFile reads a script, strictly; an error names the file and the line.
func ReadFile(path string) (*Script, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Read(path, text)
}

// Read reads a script's text; path is for messages.
func Read(path string, text []byte) (*Script, error) {
	s := &Script{Real: 16, PerProcess: 100, ZonesOf: []int{3, 3, 2}, Rack: 20, Period: 1, Introduce: true, Settle: 120, AtRest: true, Quiet: 120,
		Rest: 30, Pause: 15, Agree: 60, Hosts: 4, Flows: 10, Tolerance: 0.1, Force: 6, ChangeTime: 5, CPU: 0.013, Memory: 64, Bandwidth: 15, TotalMemory: mostMemory,
		TotalMinutes: mostMinutes}
	if err := strict.Decode(path, text, s); err != nil {
		return nil, err
	}
	if where, err := s.check(); err != nil {
		return nil, where.Wrap(path, text, err)
	}
	return s, nil
}

// check gives the first thing that no fleet can be played with.
func (s *Script) check() (strict.Place, error) {
	top := func(key string) strict.Place { return strict.Place{Key: key} }
	if len(s.Sizes) == 0 {
		return top("sizes"), errors.New("sizes: no fleet is asked for")
	}
	if len(s.ZonesOf) == 0 || len(s.ZonesOf) > 5 || slices.Min(s.ZonesOf) < 1 || slices.Max(s.ZonesOf) > 10 {
		return top("zones"), errors.New("zones: one to five regions with one to ten zones each")
	}
	for _, c := range []struct {
		key         string
		x           float64
		least, most float64
	}{{"sizes", float64(slices.Min(s.Sizes)), 4, mostNodes}, {"sizes", float64(slices.Max(s.Sizes)), 4, mostNodes},
		{"real", float64(s.Real), 2, float64(min(slices.Min(s.Sizes)-1, 64))}, {"per_process", float64(s.PerProcess), 1, 500},
		{"rack", float64(s.Rack), 1, mostNodesInRack}, {"period_s", s.Period, 0.05, 10}, {"settle_s", s.Settle, 1, 600},
		{"quiet_s", s.Quiet, 0, 300}, {"rest_s", s.Rest, 1, 300}, {"pause_s", s.Pause, 0, 300}, {"agree_s", s.Agree, 1, 600}, {"hosts", float64(s.Hosts), 1, 50},
		{"flows_per_s", s.Flows, 0, 500}, {"tolerance", s.Tolerance, 0.01, 1}, {"in_force_s", s.Force, 0.1, 600}, {"change_s", s.ChangeTime, 0, 600}, {"cpu_cores", s.CPU, 0, 8},
		{"memory_mb", s.Memory, 1, mostMemory}, {"bandwidth_kB_s", s.Bandwidth, 0.01, 1e6},
		{"total_memory_mb", s.TotalMemory, 100, mostMemory}, {"minutes", s.TotalMinutes, 0.1, mostMinutes}} {
		if !(c.x >= c.least && c.x <= c.most) {
			return top(c.key), fmt.Errorf("%s: %g is not between %g and %g", c.key, c.x, c.least, c.most)
		}
	}
	if n := s.Real + slices.Max(s.Sizes)/s.PerProcess + 2; n > mostProcesses {
		return top("per_process"), fmt.Errorf("per_process: %d processes, and %d do", n, mostProcesses)
	}
	if n := sum(s.Control); len(s.Control) > 0 && (len(s.Control) != len(s.ZonesOf) || n%2 == 0 || n < 3 || n > 9) {
		return top("control"), errors.New("control: for each region a number, together an odd one from 3 to 9")
	}
	for i, a := range s.Events {
		at := func(key string) strict.Place { return strict.Place{Table: "event", Index: i, Key: key} }
		switch {
		case !slices.Contains([]ActionKind{KillOne, RestartSome, KillRack, KillZone, CutRegion, Change}, a.Kind):
			return at("kind"), fmt.Errorf("kind: no event is called %q", a.Kind)
		case a.Kind == Change && len(s.Control) == 0:
			return at("kind"), errors.New("kind: a change takes control servers")
		case !slices.Contains([]During{DuringNothing, DuringRestart, DuringServerFault, DuringServerStart, DuringRegionCut}, a.During) ||
			a.Kind != Change && a.During != DuringNothing:
			return at("during"), fmt.Errorf("during: nothing is called %q", a.During)
		case a.restarts() != (a.Part > 0) || !(a.Part >= 0 && a.Part <= 0.5):
			return at("part"), fmt.Errorf("part: %g is no part of the nodes for it", a.Part)
		case a.needsTime() != (a.For > 0) || !(a.For >= 0 && a.For <= 600):
			return at("for_s"), fmt.Errorf("for_s: %g is no time for it", a.For)
		case !(a.Window > 0 && a.Window <= 600):
			return at("window_s"), fmt.Errorf("window_s: %g is not between 0 and 600", a.Window)
		case a.Kind == CutRegion && len(s.ZonesOf) < 2:
			return at("kind"), errors.New("kind: there is one region only")
		}
	}
	return strict.Place{}, nil
}

// restarts tells whether a part of the nodes is restarted.
func (a Action) restarts() bool { return a.Kind == RestartSome || a.During == DuringRestart }

// needsTime tells whether something fails for a stated time.
func (a Action) needsTime() bool {
	return a.During == DuringRegionCut || a.Kind != RestartSome && a.Kind != Change
}

// zones is the number of zones in all regions.
func (s *Script) zones() int { return sum(s.ZonesOf) }

func sum(of []int) (n int) {
	for _, x := range of {
		n += x
	}
	return n
}
