// Package rig starts several processes of the built program, each with addresses and a directory of its own,
// and breaks what lies between them and what they run on, by a script or by a seed. What it sees is a
// history; checkers judge that. All addresses lie in 127.0.0.0/8.
package rig

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"

	"gorseledge/internal/strict"
)

// Script is a fleet of processes, what clients want of it and what befalls it. Times are seconds.
type Script struct {
	Name     string   `toml:"name"`
	Lasts    float64  `toml:"lasts"`  // after all have met
	Settle   float64  `toml:"settle"` // after the last fault is over, for all to agree
	Nodes    int      `toml:"nodes"`  // 3 to 30
	Zones    int      `toml:"zones"`
	Period   float64  `toml:"period"` // of the members' probes
	Hosts    int      `toml:"hosts"`
	Flows    float64  `toml:"flows"` // new clients a second
	Faults   []Fault  `toml:"fault"`
	Drawn    int      `toml:"drawn_faults"` // further faults, drawn from the seed
	Kinds    []string `toml:"drawn_kinds"`  // of these; all that befall datagrams and processes where it is missing
	Liveness float64  `toml:"liveness"`     // within which a death is known everywhere; settle where it is missing
}

// Fault is one thing that befalls the fleet.
type Fault struct {
	At    float64 `toml:"at" json:"at"`
	Kind  string  `toml:"kind" json:"kind"`
	Nodes []int   `toml:"nodes" json:"nodes,omitempty"` // whom it befalls; for a way, from where
	To    []int   `toml:"to" json:"to,omitempty"`       // for a way, to where; all others where it is missing
	Both  bool    `toml:"both" json:"both,omitempty"`   // a way in both directions
	For   float64 `toml:"for" json:"for"`
	By    float64 `toml:"by" json:"by,omitempty"`
}

func (f Fault) String() string {
	text := fmt.Sprintf("%s %v", f.Kind, f.Nodes)
	if kinds[f.Kind].way {
		arrow := "to"
		if f.Both {
			arrow = "both ways"
		}
		if text += " " + arrow; len(f.To) > 0 {
			text += fmt.Sprintf(" %v", f.To)
		} else {
			text += " all"
		}
	}
	if f.By > 0 {
		text += fmt.Sprintf(" by %g", f.By)
	}
	if f.For > 0 {
		text += fmt.Sprintf(" for %g s", f.For)
	}
	return text
}

// kinds of faults, and what each one needs.
var kinds = map[string]struct{ way, lasts, by, stream, ends, stays bool }{
	"stop":     {lasts: true},                      // SIGSTOP, and SIGCONT after it
	"kill":     {ends: true, stays: true},          // SIGKILL; started again after for, never where that is 0
	"wipe":     {ends: true, stays: true},          // the same, with the directory emptied
	"rollback": {ends: true, stays: true},          // the same, with the directory as it was before the first fault
	"restart":  {ends: true},                       // SIGTERM, and started again after for
	"upgrade":  {ends: true},                       // a further process beside it, to which it hands over
	"cut":      {way: true, lasts: true},           // nothing passes from nodes to to
	"loss":     {way: true, lasts: true, by: true}, // that part of the datagrams is lost
	"delay":    {way: true, lasts: true, by: true}, // by seconds, and as much jitter: they overtake one another
	"repeat":   {way: true, lasts: true, by: true}, // that part comes twice
	"replay":   {way: true, lasts: true, by: true}, // so many a second of those that passed long ago come again
	"garbage":  {},                                 // datagrams that mean nothing

	"tear": {way: true, lasts: true, by: true, stream: true}, // streams break off after so many bytes
	"slow": {way: true, lasts: true, by: true, stream: true}, // streams carry so many bytes a second
}

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
	s := &Script{Lasts: 20, Settle: 20, Nodes: 5, Period: 0.25, Hosts: 4, Flows: 10}
	if err := strict.Decode(path, text, s); err != nil {
		return nil, err
	}
	if s.Liveness == 0 {
		s.Liveness = s.Settle
	}
	if where, err := s.check(); err != nil {
		return nil, where.Wrong(path, text, err)
	}
	return s, nil
}

// check gives the first thing that no fleet can be played with.
func (s *Script) check() (strict.Place, error) {
	top := func(key string) strict.Place { return strict.Place{Key: key} }
	for _, c := range []struct {
		key         string
		x           float64
		least, most float64
	}{{"lasts", s.Lasts, 1, 3600}, {"settle", s.Settle, 1, 600}, {"nodes", float64(s.Nodes), 3, 30},
		{"zones", float64(s.Zones), 0, 10}, {"period", s.Period, 0.05, 10}, {"hosts", float64(s.Hosts), 1, 50},
		{"flows", s.Flows, 0, 500}, {"drawn_faults", float64(s.Drawn), 0, 200}, {"liveness", s.Liveness, 1, 600}} {
		if !(c.x >= c.least && c.x <= c.most) {
			return top(c.key), fmt.Errorf("%s: %g is not between %g and %g", c.key, c.x, c.least, c.most)
		}
	}
	for _, kind := range s.Kinds {
		if _, known := kinds[kind]; !known {
			return top("drawn_kinds"), fmt.Errorf("drawn_kinds: no fault is called %q", kind)
		}
	}
	for i, f := range s.Faults {
		at := func(key string) strict.Place { return strict.Place{Table: "fault", Nth: i, Key: key} }
		k, known := kinds[f.Kind]
		switch {
		case !known:
			return at("kind"), fmt.Errorf("kind: no fault is called %q", f.Kind)
		case !(f.At >= 0 && f.At <= s.Lasts):
			return at("at"), fmt.Errorf("at: %g is not between 0 and %g", f.At, s.Lasts)
		case !(f.For >= 0) || k.lasts && f.For == 0 || f.At+f.For > s.Lasts:
			return at("for"), fmt.Errorf("for: %g is no time for it, or it outlasts the script", f.For)
		case k.by && !(f.By > 0) || f.By < 0 || (f.Kind == "loss" || f.Kind == "repeat") && f.By > 1:
			return at("by"), fmt.Errorf("by: %g is no figure for it", f.By)
		case len(f.Nodes) == 0:
			return at("nodes"), errors.New("nodes: whom does it befall?")
		case !k.way && (len(f.To) > 0 || f.Both):
			return at("to"), errors.New("to: it befalls processes, not ways")
		}
		for _, n := range slices.Concat(f.Nodes, f.To) {
			if n < 0 || n >= s.Nodes {
				return at("nodes"), fmt.Errorf("nodes: there is no node %d", n)
			}
		}
	}
	return strict.Place{}, nil
}

// Draw gives the script's faults and those that the seed adds, in order. Of drawn ones, no more than a third
// of the processes are down or stopped at once, so that those who are left have a path.
func (s *Script) Draw(seed uint64) []Fault {
	faults := slices.Clone(s.Faults)
	r := rand.New(rand.NewPCG(seed, 0x7269670a))
	names := s.Kinds
	if len(names) == 0 {
		for kind, k := range kinds {
			if !k.stream { // members speak by datagrams alone
				names = append(names, kind)
			}
		}
		slices.Sort(names)
	}
	round := func(x float64) float64 { return math.Round(x*100) / 100 }
	for try := 0; len(faults) < len(s.Faults)+s.Drawn && try < 50*s.Drawn; try++ {
		f := Fault{Kind: names[r.IntN(len(names))], Nodes: []int{r.IntN(s.Nodes)}}
		k := kinds[f.Kind]
		f.For = round(min(s.Period*(1+20*r.Float64()*r.Float64()), s.Lasts/2))
		if f.Kind == "kill" && r.IntN(3) == 0 {
			f.For = round(s.Lasts / 2)
		}
		f.At = round(r.Float64() * (s.Lasts - f.For))
		if k.way {
			if f.Both = r.IntN(2) == 0; r.IntN(2) == 0 {
				f.To = []int{(f.Nodes[0] + 1 + r.IntN(s.Nodes-1)) % s.Nodes}
			}
		}
		switch f.Kind {
		case "loss":
			f.By = round(0.05 + 0.35*r.Float64())
		case "delay":
			f.By = round(s.Period * r.Float64())
		case "repeat":
			f.By = round(0.1 + 0.4*r.Float64())
		case "replay":
			f.By = round(5 + 45*r.Float64())
		case "tear":
			f.By = round(4000 * r.Float64() * r.Float64())
		case "slow":
			f.By = round(500 + 20000*r.Float64())
		}
		down := 1
		for _, g := range faults {
			both := f.At < g.At+g.For+1 && g.At < f.At+f.For+1
			if both && !kinds[g.Kind].way {
				down++
				if slices.Contains(g.Nodes, f.Nodes[0]) {
					down = s.Nodes
				}
			}
			if both && f.Kind == "cut" && g.Kind == "cut" { // one at a time: two may leave no path
				down = s.Nodes
			}
		}
		if down <= s.Nodes/3 {
			faults = append(faults, f)
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}
