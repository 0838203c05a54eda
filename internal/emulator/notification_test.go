package emulator

import (
	"slices"
	"testing"

	"gorseledge/internal/node"
)

// ignoringSilence hears a watch that says nothing.
type ignoringSilence struct{ Core }

func (p *ignoringSilence) Apply(now float64, in node.Input) []node.Effect {
	out := append([]node.Effect(nil), p.Core.Apply(now, node.WatchAlive{})...)
	return append(out, p.Core.Apply(now, in)...)
}

// neverPolling never asks again once a watch has ended.
type neverPolling struct{ Core }

func (s *neverPolling) Apply(now float64, in node.Input) []node.Effect {
	switch in.(type) {
	case node.WatchFailed:
		in = node.WatchAlive{}
	case node.TimerFired:
		return (&ignoringSilence{s.Core}).Apply(now, in)
	}
	return s.Core.Apply(now, in)
}

// ignoringRelocation stays with the discovery that it knows.
type ignoringRelocation struct{ Core }

func (s *ignoringRelocation) Apply(now float64, in node.Input) []node.Effect {
	if _, moved := in.(node.DiscoveryMoved); moved {
		in = node.WatchAlive{}
	}
	return (&neverPolling{s.Core}).Apply(now, in)
}

// delayingLists takes each list only after all that came to it within a second.
type delayingLists struct {
	Core
	lists []node.ListReceived
	since []float64
}

func (b *delayingLists) Apply(now float64, in node.Input) (out []node.Effect) {
	for len(b.lists) > 0 && now > b.since[0]+1 {
		out = append(out, b.Core.Apply(now, b.lists[0])...)
		b.lists, b.since = b.lists[1:], b.since[1:]
	}
	if l, ok := in.(node.ListReceived); ok && !l.List.Complete {
		b.lists, b.since = append(b.lists, l), append(b.since, now)
		in = node.WatchAlive{}
	}
	return append(out, b.Core.Apply(now, in)...)
}

// dialingBeforeLists takes no list while it dials.
type dialingBeforeLists struct {
	Core
	dials map[node.Conn]bool
	lists []node.ListReceived
}

func (h *dialingBeforeLists) Apply(now float64, in node.Input) (out []node.Effect) {
	switch in := in.(type) {
	case node.Dialed:
		delete(h.dials, in.Conn)
	case node.ListReceived:
		if len(h.dials) > 0 {
			h.lists = append(h.lists, in)
			return nil
		}
	}
	out = append(out, h.Core.Apply(now, in)...)
	for ; len(h.dials) == 0 && len(h.lists) > 0; h.lists = h.lists[1:] {
		out = append(out, h.Core.Apply(now, h.lists[0])...)
	}
	for _, e := range out {
		if d, ok := e.(node.Dial); ok {
			h.dials[d.Conn] = true
		}
	}
	return out
}

// restoringAllServing takes over with every host serving.
type restoringAllServing struct{ Core }

func (f *restoringAllServing) Apply(now float64, in node.Input) []node.Effect {
	if i, ok := in.(node.HandoverReceived); ok {
		for k := range i.State.Hosts {
			i.State.Hosts[k].Status = "SERVING"
		}
		i.State.Index++ // as if it were newer than what it has
	}
	return f.Core.Apply(now, in)
}

// pollingLate asks again twelve seconds after its watch has ended.
type pollingLate struct {
	Core
	until float64
}

func (l *pollingLate) Apply(now float64, in node.Input) []node.Effect {
	if _, ended := in.(node.WatchFailed); ended {
		l.until = now + 12
	}
	if l.until > 0 && now >= l.until { // what it would have asked then
		l.until = 0
		return append([]node.Effect{node.Watch{}}, l.Core.Apply(now, in)...)
	}
	out := l.Core.Apply(now, in)
	if l.until == 0 {
		return out
	}
	return slices.DeleteFunc(slices.Clone(out), func(e node.Effect) bool {
		_, asks := e.(node.Watch)
		return asks
	})
}

const twoDrains = `
[[fault]]
at = 10
kind = "drain"
host = 1
for = 15
[[fault]]
at = 10
kind = "drain"
host = 2
for = 15
`

// Each way in which a node counts as told without having heard, or hears too late what it was told: the checker fires
// on a node that is wrong in just that way, and on no sound one.
func TestCountsAsTold(t *testing.T) {
	const silent, reset = "[[fault]]\nat = 9\nkind = \"roster_silent\"\nby = 1\n", "[[fault]]\nat = 9\nkind = \"roster_reset\"\nby = 1\n"
	const down, move = "[[fault]]\nat = 8\nkind = \"roster_down\"\nfor = 4\n", "[[fault]]\nat = 9\nkind = \"roster_move\"\nfor = 1\n"
	const late = "[[fault]]\nat = 5\nkind = \"dial_late\"\nfor = 20\nby = 0.9\n"
	const rules, pushed = "[rules]\nask_within = 5\n", "[rules]\npushed = true\n"
	for _, c := range []struct {
		name, rules, faults string
		wrap                func(Core) Core
	}{
		{"silence is not noticed, asked", rules, silent, func(c Core) Core { return &ignoringSilence{c} }},
		{"silence is not noticed, pushed", pushed, silent, func(c Core) Core { return &ignoringSilence{c} }},
		{"reset and not asked again, asked", rules, reset, func(c Core) Core { return &neverPolling{c} }},
		{"reset and not asked again, pushed", pushed, reset, func(c Core) Core { return &neverPolling{c} }},
		{"down, and not asked again, pushed", pushed, down, func(c Core) Core { return &neverPolling{c} }},
		{"reset, and the next call late", "[rules]\nask_within = 30\n", reset, func(c Core) Core { return &pollingLate{Core: c} }},
		{"down, and the next call late", "[rules]\nask_within = 30\n", down, func(c Core) Core { return &pollingLate{Core: c} }},
		{"moved, and the old one asked", rules, move, func(c Core) Core { return &ignoringRelocation{c} }},
		{"moved, and the old one asked, pushed", pushed, move, func(c Core) Core { return &ignoringRelocation{c} }},
		{"lists wait behind other inputs", rules, "", func(c Core) Core { return &delayingLists{Core: c} }},
		{"a dial from before", "[rules]\ndial_timeout = 2\n", late, func(c Core) Core {
			return &dialingBeforeLists{Core: c, dials: map[node.Conn]bool{}}
		}},
		{"a successor that knows of no drain", rules, "[[fault]]\nat = 13\nkind = \"upgrade\"\nnode = 0\n" +
			"[[fault]]\nat = 13\nkind = \"upgrade\"\nnode = 1\n", func(c Core) Core { return &restoringAllServing{c} }},
	} {
		s := parseScenario(t, calmScenario+c.rules+twoDrains+c.faults)
		fired := 0
		for seed := range uint64(4) {
			for _, b := range Run(s, seed, Options{WrapCore: c.wrap}).Violations {
				if b.Rule == RuleNothingToDraining {
					fired++
				}
			}
			for _, b := range Run(s, seed, Options{}).Violations {
				t.Errorf("%s, seed %d: the sound node broke %v", c.name, seed, b)
			}
		}
		if fired == 0 {
			t.Errorf("%s: did not fire", c.name)
		}
	}
}

// A handful of seeds with drawn fleets and drawn faults: no rule is broken.
func TestDrawnFleets(t *testing.T) {
	s := parseScenario(t, "drawn_fleet = true\ndrawn_faults = 8\n"+calmScenario)
	s.Duration = 20
	for seed := range uint64(8) {
		for _, b := range Run(s, seed, Options{Permute: seed%2 == 1}).Violations {
			t.Errorf("seed %d: %v", seed, b)
		}
	}
}
