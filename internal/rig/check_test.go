package rig

import (
	"slices"
	"strings"
	"testing"
)

// runWithFault returns the events of a run with a fault that begins at 1 s and, if end is not 0, ends at that time.
func runWithFault(f *Fault, end float64, more ...Event) []Event {
	all := append([]Event{{At: 1, Kind: "fault", Fault: f}}, more...)
	if end > 0 {
		all = append(all, Event{At: end, Kind: "over", Fault: f})
	}
	return append(all, Event{At: 30, Kind: "agree"})
}

// declaredByAllExcept returns the events of all nodes, except n1 and one other, that declare n1 dead at 5 s.
func declaredByAllExcept(except int) (out []Event) {
	for n := range 5 {
		if n != 1 && n != except {
			out = append(out, Event{At: 5, Kind: "member", Node: n, Member: "n1", State: "dead"})
		}
	}
	return out
}

// A checker that misses a violation lets a fault of the program pass, and one that reports an allowed effect of a fault makes
// runs fail at random. Each case must violate exactly the stated rule, or none.
func TestCheckersReportViolationsAndExemptions(t *testing.T) {
	s := &Script{Nodes: 5, ProbePeriod: 0.25, DetectionTimeout: 10, SettleTimeout: 10}
	longStop := &Fault{At: 1, Kind: "stop", Nodes: []int{1}, Duration: 5}
	shortStop := &Fault{At: 1, Kind: "stop", Nodes: []int{1}, Duration: 0.5}
	kill := &Fault{At: 1, Kind: "kill", Nodes: []int{1}}
	oneWayCut := &Fault{At: 1, Kind: "cut", Nodes: []int{0}, To: []int{1}, Duration: 5}
	loss := &Fault{At: 1, Kind: "loss", Nodes: []int{0, 1, 2, 3, 4}, Duration: 5, Amount: 0.2}
	heavyLoss := &Fault{At: 1, Kind: "loss", Nodes: []int{0, 1, 2, 3, 4}, Duration: 5, Amount: 0.4}
	dead := Event{At: 7, Kind: "member", Node: 2, Member: "n1", State: "dead"}
	for _, c := range []struct {
		name         string
		events       []Event
		disagreement string
		rule         string // rule that is violated; empty for none
	}{
		{"death declared without a fault", []Event{dead}, "", RuleNoFalseDeath},
		{"death declared after a long stop", runWithFault(longStop, 6, dead), "", ""},
		{"death declared after a short stop", runWithFault(shortStop, 1.5, dead), "", RuleNoFalseDeath},
		{"death declared during a cut that leaves a path", runWithFault(oneWayCut, 6, dead), "", RuleNoFalseDeath},
		{"death declared at a loss of 0.2", runWithFault(loss, 6, dead), "", RuleNoFalseDeath},
		{"death declared at a loss of 0.4", runWithFault(heavyLoss, 6, dead), "", ""},
		{"death declared by a stopped node", runWithFault(longStop, 6,
			Event{At: 7, Kind: "member", Node: 1, Member: "n3", State: "dead"}), "", RuleNoFalseDeath},
		{"death declared by all nodes", runWithFault(kill, 0, declaredByAllExcept(-1)...), "", ""},
		{"death not declared by one node", runWithFault(kill, 0, declaredByAllExcept(3)...), "", RuleDeathDetected},
		{"flow without an answer", []Event{{At: 3, Kind: "flow", Node: 2, Answer: "silent"}}, "", RuleOneAnswer},
		{"flow with two answers", []Event{{At: 3, Kind: "flow", Node: 2, Answer: "up", AnswerCount: 2, Ending: "client"}}, "",
			RuleOneAnswer},
		{"flow cut off without a fault", []Event{{At: 3, Kind: "flow", Node: 2, Answer: "up", AnswerCount: 1, Ending: "cut"}},
			"", RuleOneAnswer},
		{"flow moved to another node", []Event{{At: 3, Kind: "flow", Node: 2, Answer: "up", AnswerCount: 1, Ending: "move"}}, "", ""},
		{"flow cut off by a kill", runWithFault(kill, 0, append(declaredByAllExcept(-1),
			Event{At: 3, StartedAt: 0.5, Kind: "flow", Node: 1, Answer: "cut"})...), "", ""},
		{"process ended without a fault", []Event{{At: 3, Kind: "exit", Node: 2, Note: "exit status 2"}}, "", RuleNoUnexpectedExit},
		{"process ended by a kill", runWithFault(kill, 0, append(declaredByAllExcept(-1),
			Event{At: 3, Kind: "exit", Node: 1})...), "", ""},
		{"half of the budget granted", []Event{{At: 3, Kind: "budget", BudgetShare: 0.5}}, "", ""},
		{"more than the budget granted", []Event{{At: 3, Kind: "budget", BudgetShare: 1.2}}, "", RuleBudget},
		{"nodes disagree at the end", nil, "n1 lists n2 as dead", RuleAgreement},
	} {
		t.Run(c.name, func(t *testing.T) {
			var rules []string
			slices.SortFunc(c.events, func(a, b Event) int { return int(100 * (a.At - b.At)) })
			for _, v := range Check(s, &Result{Events: c.events}, c.disagreement) {
				rules = append(rules, v.Rule)
			}
			if got := strings.Join(slices.Compact(rules), ", "); got != c.rule {
				t.Errorf("violated %q, want %q", got, c.rule)
			}
		})
	}
}

// The summary of runs would show wrong detection times if Deaths counted from the wrong event, or if it included processes
// that were not down for long enough to be detected.
func TestDeathsReportsDetectionTimes(t *testing.T) {
	s := &Script{Nodes: 4, ProbePeriod: 0.25, Duration: 20}
	killed := &Fault{At: 1, Kind: "kill", Nodes: []int{1}}
	events := []Event{{At: 1, Kind: "fault", Fault: killed}, {At: 1, Kind: "over", Fault: killed}} // the process stays down
	for n, at := range map[int]float64{0: 4, 2: 5, 3: 7} {
		events = append(events, Event{At: at, Kind: "member", Node: n, Member: "n1", State: "dead"})
	}
	slices.SortFunc(events, func(a, b Event) int { return int(a.At - b.At) })
	if got := Deaths(s, events); !slices.Equal(got, []Death{{1, 3, 6, 3}}) {
		t.Errorf("process down for the rest of the run: got %v, want %v", got, []Death{{1, 3, 6, 3}})
	}
	killed.Duration = 1
	if got := Deaths(s, append(events, Event{At: 2, Kind: "over", Fault: killed})); len(got) != 0 {
		t.Errorf("process down for one second: got %v, want no death", got)
	}
}
