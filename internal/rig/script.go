package rig

import (
	"errors"
	"fmt"
	"os"
	"slices"

	"gorseledge/internal/strict"
)

// Script describes one run: the fleet, the load from clients and the faults. Times are in seconds.
type Script struct {
	Name             string   `toml:"name"`
	Duration         float64  `toml:"lasts"`        // duration of the run, from when all nodes list each other as alive
	SettleTimeout    float64  `toml:"settle"`       // time after the last fault within which all nodes must agree
	Nodes            int      `toml:"nodes"`        // number of nodes, 3 to 30
	Zones            int      `toml:"zones"`        // number of zones that nodes are assigned to in turn; 0 for none
	ProbePeriod      float64  `toml:"period"`       // period of the probes that members send each other
	Hosts            int      `toml:"hosts"`        // number of stand-in hosts
	FlowRate         float64  `toml:"flows"`        // new clients per second
	Faults           []Fault  `toml:"fault"`        // faults of nodes and of the links between them
	GeneratedFaults  int      `toml:"drawn_faults"` // number of further faults, generated from the seed
	GeneratedKinds   []string `toml:"drawn_kinds"`  // kinds of generated faults; if missing, all but stream faults
	DetectionTimeout float64  `toml:"liveness"`     // time to detect a death at all nodes; SettleTimeout if missing

	ControlServers         int            `toml:"control"`              // control servers that the nodes follow: 0, 3 or 5
	ChangeRate             float64        `toml:"applies"`              // configuration changes per second: see proposeChanges
	InForceTimeout         float64        `toml:"in_force"`             // time for a change to be in force at all reachable nodes
	ControlFaults          []ControlFault `toml:"control_fault"`        // faults of control servers and of the links to them
	GeneratedControlFaults int            `toml:"drawn_control_faults"` // number of further ones, generated from the seed
}

// Fault is one fault that the rig injects into nodes or links. Times are in seconds.
type Fault struct {
	At       float64 `toml:"at" json:"at"`                 // when it begins, counted from when all nodes list each other as alive
	Kind     string  `toml:"kind" json:"kind"`             // a key of faultKinds
	Nodes    []int   `toml:"nodes" json:"nodes,omitempty"` // affected nodes; for a link fault, the senders
	To       []int   `toml:"to" json:"to,omitempty"`       // for a link fault, the receivers; if missing, all other nodes
	BothWays bool    `toml:"both" json:"both,omitempty"`   // whether a link fault also affects the opposite direction
	Duration float64 `toml:"for" json:"for"`               // duration; 0 for one that ends at once or never: see staysDown
	Amount   float64 `toml:"by" json:"by,omitempty"`       // amount, in the unit of the kind: see faultKinds
}

// String describes the fault without its time, for progress lines and to find the event that ends it.
func (f Fault) String() string {
	text := fmt.Sprintf("%s %v", f.Kind, f.Nodes)
	if faultKinds[f.Kind].onLink {
		arrow := "to"
		if f.BothWays {
			arrow = "both ways"
		}
		if text += " " + arrow; len(f.To) > 0 {
			text += fmt.Sprintf(" %v", f.To)
		} else {
			text += " all"
		}
	}
	if f.Amount > 0 {
		text += fmt.Sprintf(" by %g", f.Amount)
	}
	if f.Duration > 0 {
		text += fmt.Sprintf(" for %g s", f.Duration)
	}
	return text
}

// The kinds of faults, as they are named in scripts.
const (
	faultStop     = "stop"
	faultKill     = "kill"
	faultWipe     = "wipe"
	faultRollback = "rollback"
	faultRestart  = "restart"
	faultUpgrade  = "upgrade"
	faultCut      = "cut"
	faultLoss     = "loss"
	faultDelay    = "delay"
	faultRepeat   = "repeat"
	faultReplay   = "replay"
	faultGarbage  = "garbage"
	faultTear     = "tear"
	faultSlow     = "slow"
)

// faultKind describes what a kind of fault acts on and which fields of Fault it needs.
type faultKind struct {
	onLink        bool // it affects links between nodes; otherwise it acts on processes
	needsDuration bool // Duration must be above 0
	needsAmount   bool // Amount must be above 0
	streamsOnly   bool // it affects streams but no datagrams
	endsProcess   bool // it ends a process of the node
	staysDown     bool // the node is down until the fault ends; if Duration is 0, for the rest of the run
}

var faultKinds = map[string]faultKind{
	faultStop:     {needsDuration: true},                // SIGSTOP; SIGCONT when the fault ends
	faultKill:     {endsProcess: true, staysDown: true}, // SIGKILL; started again when the fault ends
	faultWipe:     {endsProcess: true, staysDown: true}, // like kill, with the directory reset to its initial files
	faultRollback: {endsProcess: true, staysDown: true}, // like kill, with the directory as before the first fault
	faultRestart:  {endsProcess: true},                  // SIGTERM; started again when the fault ends
	faultUpgrade:  {endsProcess: true},                  // starts a second process, to which the first one hands over
	faultGarbage:  {},                                   // sends the node datagrams of random bytes

	faultCut:    {onLink: true, needsDuration: true},                    // drops all datagrams and breaks all streams
	faultLoss:   {onLink: true, needsDuration: true, needsAmount: true}, // Amount: share of the datagrams that is dropped
	faultDelay:  {onLink: true, needsDuration: true, needsAmount: true}, // Amount: seconds, also of jitter, which reorders datagrams
	faultRepeat: {onLink: true, needsDuration: true, needsAmount: true}, // Amount: share of the datagrams that is delivered twice
	faultReplay: {onLink: true, needsDuration: true, needsAmount: true}, // Amount: number of earlier datagrams sent again per second

	faultTear: {onLink: true, needsDuration: true, needsAmount: true, streamsOnly: true}, // Amount: bytes until a stream breaks
	faultSlow: {onLink: true, needsDuration: true, needsAmount: true, streamsOnly: true}, // Amount: bytes per second of a stream
}

// ReadFile reads and validates a script file. Unknown keys are errors; an error names the file and the line.
func ReadFile(path string) (*Script, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Read(path, text)
}

// Read reads and validates a script and sets the defaults of missing keys. The path is used only in errors.
func Read(path string, text []byte) (*Script, error) {
	s := &Script{Duration: 20, SettleTimeout: 20, Nodes: 5, ProbePeriod: 0.25, Hosts: 4, FlowRate: 10, ChangeRate: 0.5,
		InForceTimeout: 6}
	if err := strict.Decode(path, text, s); err != nil {
		return nil, err
	}
	if s.DetectionTimeout == 0 {
		s.DetectionTimeout = s.SettleTimeout
	}
	if place, err := s.check(); err != nil {
		return nil, place.Wrap(path, text, err)
	}
	return s, nil
}

// keyRange is a key with its value, the allowed range and the unit that errors give for the range.
type keyRange struct {
	key      string
	value    float64
	min, max float64
	unit     string
}

// check returns the first error in the script, with the place of the key that it concerns.
func (s *Script) check() (strict.Place, error) {
	top := func(key string) strict.Place { return strict.Place{Key: key} }
	for _, r := range []keyRange{
		{"lasts", s.Duration, 1, 3600, " s"},
		{"settle", s.SettleTimeout, 1, 600, " s"},
		{"nodes", float64(s.Nodes), 3, 30, ""},
		{"zones", float64(s.Zones), 0, 10, ""},
		{"period", s.ProbePeriod, 0.05, 10, " s"},
		{"hosts", float64(s.Hosts), 1, 50, ""},
		{"flows", s.FlowRate, 0, 500, " per second"},
		{"drawn_faults", float64(s.GeneratedFaults), 0, 200, ""},
		{"liveness", s.DetectionTimeout, 1, 600, " s"},
		{"control", float64(s.ControlServers), 0, float64(len(serverRegions)), ""},
		{"applies", s.ChangeRate, 0, 20, " per second"},
		{"in_force", s.InForceTimeout, 1, 60, " s"},
		{"drawn_control_faults", float64(s.GeneratedControlFaults), 0, 200, ""},
	} {
		if !(r.value >= r.min && r.value <= r.max) {
			return top(r.key), fmt.Errorf("%s: must be between %g and %g%s, got %g", r.key, r.min, r.max, r.unit, r.value)
		}
	}
	for _, kind := range s.GeneratedKinds {
		if _, known := faultKinds[kind]; !known {
			return top("drawn_kinds"), fmt.Errorf("drawn_kinds: unknown kind of fault %q", kind)
		}
	}
	for i, f := range s.Faults {
		if key, err := s.checkFault(f); err != nil {
			return strict.Place{Table: "fault", Index: i, Key: key}, err
		}
	}
	if s.ControlServers > 0 && s.ControlServers%2 == 0 || s.ControlServers == 1 {
		return top("control"), fmt.Errorf("control: the number of control servers must be 0, 3 or 5, got %d", s.ControlServers)
	}
	for i, f := range s.ControlFaults {
		if key, err := s.checkControlFault(f); err != nil {
			return strict.Place{Table: "control_fault", Index: i, Key: key}, err
		}
	}
	return strict.Place{}, nil
}

// checkFault returns the first error in a fault, with the key that it concerns.
func (s *Script) checkFault(f Fault) (key string, err error) {
	kind, known := faultKinds[f.Kind]
	switch {
	case !known:
		return "kind", fmt.Errorf("kind: unknown kind of fault %q", f.Kind)
	case !(f.At >= 0 && f.At <= s.Duration):
		return "at", fmt.Errorf("at: must be between 0 and %g s (lasts), got %g", s.Duration, f.At)
	case !(f.Duration >= 0) || kind.needsDuration && f.Duration == 0 || f.At+f.Duration > s.Duration:
		return "for", fmt.Errorf("for: must not be negative, must be above 0 for stop and for faults of links, "+
			"and the fault must end within %g s (lasts), got %g", s.Duration, f.Duration)
	case kind.needsAmount && !(f.Amount > 0) || f.Amount < 0 || (f.Kind == faultLoss || f.Kind == faultRepeat) && f.Amount > 1:
		return "by", fmt.Errorf("by: must not be negative, must be above 0 for faults of links except cut, "+
			"and at most 1 for loss and repeat, got %g for %s", f.Amount, f.Kind)
	case len(f.Nodes) == 0:
		return "nodes", errors.New("nodes: at least one affected node is required")
	case !kind.onLink && (len(f.To) > 0 || f.BothWays):
		return "to", fmt.Errorf("to: to and both are for faults of links; kind %q acts on processes", f.Kind)
	}
	for _, n := range slices.Concat(f.Nodes, f.To) {
		if n < 0 || n >= s.Nodes {
			return "nodes", fmt.Errorf("nodes: node index must be between 0 and %d, got %d", s.Nodes-1, n)
		}
	}
	return "", nil
}
