package emulator

import (
	"testing"

	"gorseledge/internal/node"
)

// Guards against faults in notification that the checker misses because it only considers lists that the node received: a node
// that misses a drain, or applies it late, then seems correct. For each way to do so, the checker has to report the faulty node
// and no violation by a correct one.
func TestCheckerReportsNodeThatMissesDrain(t *testing.T) {
	const (
		polled       = "[rules]\nask_within = 5\n"
		rarelyPolled = "[rules]\nask_within = 30\n"
		pushed       = "[rules]\npushed = true\n"
		slowDial     = "[rules]\ndial_timeout = 2\n"
		silent       = "[[fault]]\nat = 9\nkind = \"roster_silent\"\nby = 1\n"
		reset        = "[[fault]]\nat = 9\nkind = \"roster_reset\"\nby = 1\n"
		down         = "[[fault]]\nat = 8\nkind = \"roster_down\"\nfor = 4\n"
		move         = "[[fault]]\nat = 9\nkind = \"roster_move\"\nfor = 1\n"
		late         = "[[fault]]\nat = 5\nkind = \"dial_late\"\nfor = 20\nby = 0.9\n"
		upgrades     = "[[fault]]\nat = 13\nkind = \"upgrade\"\nnode = 0\n" + "[[fault]]\nat = 13\nkind = \"upgrade\"\nnode = 1\n"
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
		{"silent watch ignored, polled", polled, silent, ignoreSilence},
		{"silent watch ignored, pushed", pushed, silent, ignoreSilence},
		{"reset, never polls again, polled", polled, reset, neverPoll},
		{"reset, never polls again, pushed", pushed, reset, neverPoll},
		{"down, never polls again, pushed", pushed, down, neverPoll},
		{"reset, polls again too late", rarelyPolled, reset, pollLate},
		{"down, polls again too late", rarelyPolled, down, pollLate},
		{"redirection ignored, polled", polled, move, ignoreRelocation},
		{"redirection ignored, pushed", pushed, move, ignoreRelocation},
		{"lists applied a second late", polled, "", func(c Core) Core { return &delayingLists{Core: c} }},
		{"lists applied after dials in progress", slowDial, late, dialBeforeLists},
		{"successor restores all hosts as serving", polled, upgrades, func(c Core) Core { return &restoringAllServing{c} }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := parseScenario(t, faultlessScenario+c.rules+twoDrains+c.faults)
			found := 0
			for seed := range uint64(4) {
				for _, v := range Run(s, seed, Options{WrapCore: c.wrap}).Violations {
					if v.Rule == RuleNoFlowToWithdrawnHost {
						found++
					}
				}
				for _, v := range Run(s, seed, Options{}).Violations {
					t.Errorf("%s, seed %d: violation by the correct node: %v", c.name, seed, v)
				}
			}
			if found == 0 {
				t.Errorf("%s: got no violation of %q by the faulty node, want at least one", c.name, RuleNoFlowToWithdrawnHost)
			}
		})
	}
}
