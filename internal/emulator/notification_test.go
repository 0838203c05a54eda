package emulator

import (
	"testing"

	"gorseledge/internal/node"
)

// For each way in which a node counts as notified without a delivery, or takes one too late, the checker finds a node that
// is wrong in just that way, and no violation of a correct one.
func TestCheckerFindsNodeThatMissesDrain(t *testing.T) {
	const (
		polled   = "[rules]\nask_within = 5\n"
		seldom   = "[rules]\nask_within = 30\n"
		pushed   = "[rules]\npushed = true\n"
		slowDial = "[rules]\ndial_timeout = 2\n"
		silent   = "[[fault]]\nat = 9\nkind = \"roster_silent\"\nby = 1\n"
		reset    = "[[fault]]\nat = 9\nkind = \"roster_reset\"\nby = 1\n"
		down     = "[[fault]]\nat = 8\nkind = \"roster_down\"\nfor = 4\n"
		move     = "[[fault]]\nat = 9\nkind = \"roster_move\"\nfor = 1\n"
		late     = "[[fault]]\nat = 5\nkind = \"dial_late\"\nfor = 20\nby = 0.9\n"
		upgrades = "[[fault]]\nat = 13\nkind = \"upgrade\"\nnode = 0\n" + "[[fault]]\nat = 13\nkind = \"upgrade\"\nnode = 1\n"
	)
	ignoreSilence := func(c Core) Core { return &ignoringSilence{c} }
	neverPoll := func(c Core) Core { return &neverPolling{c} }
	pollLate := func(c Core) Core { return &pollingLate{Core: c} }
	ignoreRelocation := func(c Core) Core { return &ignoringRelocation{c} }
	dialBeforeLists := func(c Core) Core { return &dialingBeforeLists{Core: c, dials: map[node.ConnID]bool{}} }
	for _, c := range []struct {
		name, rules, faults string
		wrap                func(Core) Core
	}{
		{"silence is not noticed, polled", polled, silent, ignoreSilence},
		{"silence is not noticed, pushed", pushed, silent, ignoreSilence},
		{"reset and not polled again, polled", polled, reset, neverPoll},
		{"reset and not polled again, pushed", pushed, reset, neverPoll},
		{"down, and not polled again, pushed", pushed, down, neverPoll},
		{"reset, and the next call late", seldom, reset, pollLate},
		{"down, and the next call late", seldom, down, pollLate},
		{"relocated, and the old one polled", polled, move, ignoreRelocation},
		{"relocated, and the old one polled, pushed", pushed, move, ignoreRelocation},
		{"lists wait behind other inputs", polled, "", func(c Core) Core { return &delayingLists{Core: c} }},
		{"a dial from before", slowDial, late, dialBeforeLists},
		{"a successor that knows of no drain", polled, upgrades, func(c Core) Core { return &restoringAllServing{c} }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := parseScenario(t, calmScenario+c.rules+twoDrains+c.faults)
			found := 0
			for seed := range uint64(4) {
				for _, v := range Run(s, seed, Options{WrapCore: c.wrap}).Violations {
					if v.Rule == RuleNothingToDraining {
						found++
					}
				}
				for _, v := range Run(s, seed, Options{}).Violations {
					t.Errorf("%s, seed %d: the correct node broke %v", c.name, seed, v)
				}
			}
			if found == 0 {
				t.Errorf("%s: no violation found", c.name)
			}
		})
	}
}
