package rig

import (
	"errors"
	"fmt"
	"os"
	"slices"

	"gorseledge/internal/strict"
)

// Script describes one run: the fleet, the load that clients put on it and the faults. Times are seconds.
type Script struct {
	Name             string   `toml:"name"`
	Duration         float64  `toml:"lasts"`  // duration of the run, counted from when all nodes have found each other
	SettleTimeout    float64  `toml:"settle"` // after the last fault is over, for all to agree
	Nodes            int      `toml:"nodes"`  // 3 to 30
	Zones            int      `toml:"zones"`
	ProbePeriod      float64  `toml:"period"` // of the members' probes
	Hosts            int      `toml:"hosts"`
	FlowRate         float64  `toml:"flows"` // new clients a second
	Faults           []Fault  `toml:"fault"`
	GeneratedFaults  int      `toml:"drawn_faults"` // number of further faults, generated from the seed
	GeneratedKinds   []string `toml:"drawn_kinds"`  // kinds of generated faults; where missing, all but those of streams
	DetectionTimeout float64  `toml:"liveness"`     // within which a death is known everywhere; Settle where missing

	ControlServers         int            `toml:"control"`              // control servers that the nodes follow: 0, 3 or 5
	ChangeRate             float64        `toml:"applies"`              // changes of configuration a second; each third is two at once
	InForceTimeout         float64        `toml:"in_force"`             // within which a change is in force at every reachable node
	ControlFaults          []ControlFault `toml:"control_fault"`        // faults of control servers
	GeneratedControlFaults int            `toml:"drawn_control_faults"` // number of further ones, generated from the seed
}

// Fault is one fault that the rig injects. Times are seconds from when all nodes have found each other.
type Fault struct {
	At       float64 `toml:"at" json:"at"`
	Kind     string  `toml:"kind" json:"kind"`             // a key of faultKinds
	Nodes    []int   `toml:"nodes" json:"nodes,omitempty"` // affected nodes; for a fault of links, the senders
	To       []int   `toml:"to" json:"to,omitempty"`       // for a fault of links, the receivers; all others where missing
	BothWays bool    `toml:"both" json:"both,omitempty"`   // the links in both directions
	Duration float64 `toml:"for" json:"for"`               // duration
	Amount   float64 `toml:"by" json:"by,omitempty"`       // amount, in the unit that the kind says
}

// String describes the fault for progress lines, without its time.
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

// Kinds of faults as scripts name them.
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

// faultKind says what a kind of fault acts on and which fields of Fault it needs.
type faultKind struct {
	onLink        bool // it changes links between nodes; otherwise it acts on processes
	needsDuration bool // For is over 0
	needsAmount   bool // By is over 0
	streamsOnly   bool // it changes streams and no datagrams
	endsProcess   bool // a process of the node ends
	staysDown     bool // the node is down until the fault is over, for the whole run where For is 0
}

var faultKinds = map[string]faultKind{
	faultStop:     {needsDuration: true},                // SIGSTOP, then SIGCONT
	faultKill:     {endsProcess: true, staysDown: true}, // SIGKILL, then a start
	faultWipe:     {endsProcess: true, staysDown: true}, // the same, with the directory emptied
	faultRollback: {endsProcess: true, staysDown: true}, // the same, with the directory as before the first fault
	faultRestart:  {endsProcess: true},                  // SIGTERM, then a start
	faultUpgrade:  {endsProcess: true},                  // a second process, to which the first one hands over
	faultGarbage:  {},                                   // datagrams of random bytes

	faultCut:    {onLink: true, needsDuration: true},                    // nothing passes
	faultLoss:   {onLink: true, needsDuration: true, needsAmount: true}, // share of the datagrams that is lost
	faultDelay:  {onLink: true, needsDuration: true, needsAmount: true}, // seconds, and as much jitter: reorders
	faultRepeat: {onLink: true, needsDuration: true, needsAmount: true}, // share of the datagrams that comes twice
	faultReplay: {onLink: true, needsDuration: true, needsAmount: true}, // old datagrams sent again, a second

	faultTear: {onLink: true, needsDuration: true, needsAmount: true, streamsOnly: true}, // bytes until a stream breaks
	faultSlow: {onLink: true, needsDuration: true, needsAmount: true, streamsOnly: true}, // bytes a second of a stream
}

// ReadFile reads a script file. Unknown keys are errors; an error names the file and the line.
func ReadFile(path string) (*Script, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Read(path, text)
}

// Read reads a script from text and sets the defaults of missing keys. The path is used in errors only.
func Read(path string, text []byte) (*Script, error) {
	s := &Script{Duration: 20, SettleTimeout: 20, Nodes: 5, ProbePeriod: 0.25, Hosts: 4, FlowRate: 10, ChangeRate: 0.5, InForceTimeout: 6}
	if err := strict.Decode(path, text, s); err != nil {
		return nil, err
	}
	if s.DetectionTimeout == 0 {
		s.DetectionTimeout = s.SettleTimeout
	}
	if where, err := s.check(); err != nil {
		return nil, where.Wrap(path, text, err)
	}
	return s, nil
}

// keyRange is the range that a key's value must be in.
type keyRange struct {
	key         string
	value       float64
	least, most float64
}

// check returns the first error in the script, and the place of the key that it concerns.
func (s *Script) check() (strict.Place, error) {
	top := func(key string) strict.Place { return strict.Place{Key: key} }
	for _, r := range []keyRange{
		{"lasts", s.Duration, 1, 3600},
		{"settle", s.SettleTimeout, 1, 600},
		{"nodes", float64(s.Nodes), 3, 30},
		{"zones", float64(s.Zones), 0, 10},
		{"period", s.ProbePeriod, 0.05, 10},
		{"hosts", float64(s.Hosts), 1, 50},
		{"flows", s.FlowRate, 0, 500},
		{"drawn_faults", float64(s.GeneratedFaults), 0, 200},
		{"liveness", s.DetectionTimeout, 1, 600},
		{"control", float64(s.ControlServers), 0, float64(len(serverRegions))},
		{"applies", s.ChangeRate, 0, 20},
		{"in_force", s.InForceTimeout, 1, 60},
		{"drawn_control_faults", float64(s.GeneratedControlFaults), 0, 200},
	} {
		if !(r.value >= r.least && r.value <= r.most) {
			return top(r.key), fmt.Errorf("%s: %g is not between %g and %g", r.key, r.value, r.least, r.most)
		}
	}
	for _, kind := range s.GeneratedKinds {
		if _, known := faultKinds[kind]; !known {
			return top("drawn_kinds"), fmt.Errorf("drawn_kinds: no fault is called %q", kind)
		}
	}
	for i, f := range s.Faults {
		if key, err := s.checkFault(f); err != nil {
			return strict.Place{Table: "fault", Index: i, Key: key}, err
		}
	}
	if s.ControlServers > 0 && s.ControlServers%2 == 0 || s.ControlServers == 1 {
		return top("control"), fmt.Errorf("control: %d servers, and 0, 3 or 5 are possible", s.ControlServers)
	}
	for i, f := range s.ControlFaults {
		if key, err := s.checkControlFault(f); err != nil {
			return strict.Place{Table: "control_fault", Index: i, Key: key}, err
		}
	}
	return strict.Place{}, nil
}

// checkFault returns the first error in a fault, and the key that it concerns.
func (s *Script) checkFault(f Fault) (key string, err error) {
	kind, known := faultKinds[f.Kind]
	switch {
	case !known:
		return "kind", fmt.Errorf("kind: no fault is called %q", f.Kind)
	case !(f.At >= 0 && f.At <= s.Duration):
		return "at", fmt.Errorf("at: %g is not between 0 and %g", f.At, s.Duration)
	case !(f.Duration >= 0) || kind.needsDuration && f.Duration == 0 || f.At+f.Duration > s.Duration:
		return "for", fmt.Errorf("for: %g is not a valid duration, or the fault outlasts the script", f.Duration)
	case kind.needsAmount && !(f.Amount > 0) || f.Amount < 0 || (f.Kind == faultLoss || f.Kind == faultRepeat) && f.Amount > 1:
		return "by", fmt.Errorf("by: %g is not a valid amount", f.Amount)
	case len(f.Nodes) == 0:
		return "nodes", errors.New("nodes: no affected node is named")
	case !kind.onLink && (len(f.To) > 0 || f.BothWays):
		return "to", errors.New("to: the fault acts on processes, not on links")
	}
	for _, n := range slices.Concat(f.Nodes, f.To) {
		if n < 0 || n >= s.Nodes {
			return "nodes", fmt.Errorf("nodes: there is no node %d", n)
		}
	}
	return "", nil
}
