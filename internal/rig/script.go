// Package rig starts several processes of the built program, each with addresses and a directory of its own, and
// breaks what lies between them and what they run on, by a script or by a seed. What it sees is a history; checkers
// judge that. All addresses lie in 127.0.0.0/8.
package rig

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
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
	Kinds    []string `toml:"drawn_kinds"`  // of these; all where it is missing
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

// kinds of faults, and what each one needs.
var kinds = map[string]struct{ node, way, lasts, by bool }{
	"stop":    {node: true, lasts: true},          // SIGSTOP, and SIGCONT after it
	"kill":    {node: true},                       // SIGKILL; started again after for, never where that is 0
	"wipe":    {node: true},                       // the same, with the directory emptied
	"restart": {node: true},                       // SIGTERM, and started again after for
	"upgrade": {node: true},                       // a further process beside it, to which it hands over
	"cut":     {way: true, lasts: true},           // nothing passes from nodes to to
	"loss":    {way: true, lasts: true, by: true}, // that part of the datagrams is lost
	"delay":   {way: true, lasts: true, by: true}, // by seconds, and as much jitter: they overtake one another
	"repeat":  {way: true, lasts: true, by: true}, // that part comes twice
	"garbage": {node: true},                       // datagrams that mean nothing, and old ones played again
}

// mistake is one in a script, with the key it stands at.
type mistake struct{ key, text string }

func (m mistake) Error() string { return m.key + ": " + m.text }

// ReadFile reads a script, strictly; an error names the file and the line.
func ReadFile(path string) (*Script, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Read(text)
	if err != nil {
		return nil, fmt.Errorf("%s:%d: %w", path, line(text, err), err)
	}
	return s, nil
}

// line finds where a mistake stands.
func line(text []byte, err error) int {
	var strict *toml.StrictMissingError
	var decode *toml.DecodeError
	var m mistake
	switch {
	case errors.As(err, &strict) && len(strict.Errors) > 0:
		at, _ := strict.Errors[0].Position()
		return at
	case errors.As(err, &decode):
		at, _ := decode.Position()
		return at
	case errors.As(err, &m):
		key, nth, seen := m.key, 0, 0
		if fault, rest, found := strings.Cut(key, "."); found {
			fmt.Sscanf(fault, "fault %d", &nth)
			key = rest
		}
		head := 1
		for i, row := range strings.Split(string(text), "\n") {
			row = strings.TrimSpace(row)
			if strings.HasPrefix(row, "[[fault]]") {
				if seen++; seen == nth {
					head = i + 1
				}
			}
			if name, _, found := strings.Cut(row, "="); found && seen == nth && strings.TrimSpace(name) == key {
				return i + 1
			}
		}
		return head
	}
	return 1
}

// Read reads a script's text.
func Read(text []byte) (*Script, error) {
	s := &Script{Lasts: 20, Settle: 20, Nodes: 5, Period: 0.25, Hosts: 4, Flows: 10}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(s); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) && len(strict.Errors) > 0 {
			return nil, unknown{strict, strings.Join(strict.Errors[0].Key(), ".")}
		}
		return nil, err
	}
	if s.Liveness == 0 {
		s.Liveness = s.Settle
	}
	for _, c := range []struct {
		key         string
		x           float64
		least, most float64
	}{{"lasts", s.Lasts, 1, 3600}, {"settle", s.Settle, 1, 600}, {"nodes", float64(s.Nodes), 3, 30},
		{"zones", float64(s.Zones), 0, 10}, {"period", s.Period, 0.05, 10}, {"hosts", float64(s.Hosts), 1, 50},
		{"flows", s.Flows, 0, 500}, {"drawn_faults", float64(s.Drawn), 0, 200}, {"liveness", s.Liveness, 1, 600}} {
		if !(c.x >= c.least && c.x <= c.most) {
			return nil, mistake{c.key, fmt.Sprintf("%g is not between %g and %g", c.x, c.least, c.most)}
		}
	}
	for _, kind := range s.Kinds {
		if _, known := kinds[kind]; !known {
			return nil, mistake{"drawn_kinds", fmt.Sprintf("no fault is called %q", kind)}
		}
	}
	for i, f := range s.Faults {
		at := func(key string) string { return fmt.Sprintf("fault %d.%s", i+1, key) }
		k, known := kinds[f.Kind]
		switch {
		case !known:
			return nil, mistake{at("kind"), fmt.Sprintf("no fault is called %q", f.Kind)}
		case !(f.At >= 0 && f.At <= s.Lasts):
			return nil, mistake{at("at"), fmt.Sprintf("%g is not between 0 and %g", f.At, s.Lasts)}
		case !(f.For >= 0) || k.lasts && f.For == 0 || f.At+f.For > s.Lasts:
			return nil, mistake{at("for"), fmt.Sprintf("%g is no time for it, or it outlasts the script", f.For)}
		case k.by && !(f.By > 0) || f.By < 0 || (f.Kind == "loss" || f.Kind == "repeat") && f.By > 1:
			return nil, mistake{at("by"), fmt.Sprintf("%g is no figure for it", f.By)}
		case len(f.Nodes) == 0:
			return nil, mistake{at("nodes"), "whom does it befall?"}
		case !k.way && (len(f.To) > 0 || f.Both):
			return nil, mistake{at("to"), "it befalls processes, not ways"}
		}
		for _, n := range slices.Concat(f.Nodes, f.To) {
			if n < 0 || n >= s.Nodes {
				return nil, mistake{at("nodes"), fmt.Sprintf("there is no node %d", n)}
			}
		}
	}
	return s, nil
}

type unknown struct {
	*toml.StrictMissingError
	key string
}

func (u unknown) Error() string { return u.key + ": unknown key" }
func (u unknown) Unwrap() error { return u.StrictMissingError }

// Draw gives the script's faults and those that the seed adds, in order. Of drawn ones, no more than a third of the
// processes are down or stopped at once, so that those who are left have a path.
func (s *Script) Draw(seed uint64) []Fault {
	faults := slices.Clone(s.Faults)
	r := rand.New(rand.NewPCG(seed, 0x7269670a))
	names := s.Kinds
	if len(names) == 0 {
		for kind := range kinds {
			names = append(names, kind)
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
	slices.SortStableFunc(faults, func(a, b Fault) int {
		switch {
		case a.At < b.At:
			return -1
		case a.At > b.At:
			return 1
		}
		return 0
	})
	return faults
}
