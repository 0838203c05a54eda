package rig

import (
	"slices"
	"strings"
	"testing"
)

// during returns the events of a run with a fault that begins at 1 s and, where over is not 0, ends at that time.
func during(f *Fault, over float64, more ...Event) []Event {
	all := append([]Event{{At: 1, Kind: "fault", Fault: f}}, more...)
	if over > 0 {
		all = append(all, Event{At: over, Kind: "over", Fault: f})
	}
	return append(all, Event{At: 30, Kind: "agree"})
}

// declaredByAllBut returns the events by which the nodes declare n1 dead, without n1 and one other node.
func declaredByAllBut(but int) (out []Event) {
	for n := range 5 {
		if n != 1 && n != but {
			out = append(out, Event{At: 5, Kind: "member", Node: n, Member: "n1", State: "dead"})
		}
	}
	return out
}

func TestCheckersReportViolationsAndExcuses(t *testing.T) {
	s := &Script{Nodes: 5, ProbePeriod: 0.25, DetectionTimeout: 10, SettleTimeout: 10}
	stop := &Fault{At: 1, Kind: "stop", Nodes: []int{1}, Duration: 5}
	short := &Fault{At: 1, Kind: "stop", Nodes: []int{1}, Duration: 0.5}
	kill := &Fault{At: 1, Kind: "kill", Nodes: []int{1}}
	oneWay := &Fault{At: 1, Kind: "cut", Nodes: []int{0}, To: []int{1}, Duration: 5}
	loss := &Fault{At: 1, Kind: "loss", Nodes: []int{0, 1, 2, 3, 4}, Duration: 5, Amount: 0.2}
	heavy := &Fault{At: 1, Kind: "loss", Nodes: []int{0, 1, 2, 3, 4}, Duration: 5, Amount: 0.4}
	dead := Event{At: 7, Kind: "member", Node: 2, Member: "n1", State: "dead"}
	for _, c := range []struct {
		name         string
		events       []Event
		disagreement string
		rule         string // that is violated; none where empty
	}{
		{"death without a fault", []Event{dead}, "", RuleNoFalseDeath},
		{"death after a long stop", during(stop, 6, dead), "", ""},
		{"death after a short stop", during(short, 1.5, dead), "", RuleNoFalseDeath},
		{"death in a cut that leaves a path", during(oneWay, 6, dead), "", RuleNoFalseDeath},
		{"death at a loss of 0.2", during(loss, 6, dead), "", RuleNoFalseDeath},
		{"death at a loss of 0.4", during(heavy, 6, dead), "", ""},
		{"death of a node that was not stopped", during(stop, 6, Event{At: 7, Kind: "member", Node: 1, Member: "n3", State: "dead"}), "",
			RuleNoFalseDeath},
		{"death known by all", during(kill, 0, declaredByAllBut(-1)...), "", ""},
		{"death not known by one node", during(kill, 0, declaredByAllBut(3)...), "", RuleDeathDetected},
		{"flow without an answer", []Event{{At: 3, Kind: "flow", Node: 2, Answer: "silent"}}, "", RuleOneAnswer},
		{"flow with two answers", []Event{{At: 3, Kind: "flow", Node: 2, Answer: "up", AnswerCount: 2, Ending: "client"}}, "", RuleOneAnswer},
		{"flow broken without a fault", []Event{{At: 3, Kind: "flow", Node: 2, Answer: "up", AnswerCount: 1, Ending: "cut"}}, "", RuleOneAnswer},
		{"flow moved", []Event{{At: 3, Kind: "flow", Node: 2, Answer: "up", AnswerCount: 1, Ending: "move"}}, "", ""},
		{"flow broken by a kill", during(kill, 0, append(declaredByAllBut(-1), Event{At: 3, StartedAt: 0.5, Kind: "flow", Node: 1, Answer: "cut"})...),
			"", ""},
		{"process ended without a fault", []Event{{At: 3, Kind: "exit", Node: 2, Note: "exit status 2"}}, "", RuleNoUnexpectedExit},
		{"process ended by a kill", during(kill, 0, append(declaredByAllBut(-1), Event{At: 3, Kind: "exit", Node: 1})...), "", ""},
		{"half of the budget", []Event{{At: 3, Kind: "budget", BudgetShare: 0.5}}, "", ""},
		{"more than the budget", []Event{{At: 3, Kind: "budget", BudgetShare: 1.2}}, "", RuleBudget},
		{"no agreement", nil, "n1 holds n2 for dead", RuleAgreement},
	} {
		t.Run(c.name, func(t *testing.T) {
			var rules []string
			slices.SortFunc(c.events, func(a, b Event) int { return int(100 * (a.At - b.At)) })
			for _, b := range Check(s, &Result{Events: c.events}, c.disagreement) {
				rules = append(rules, b.Rule)
			}
			if got := strings.Join(slices.Compact(rules), ", "); got != c.rule {
				t.Errorf("violated %q, want %q", got, c.rule)
			}
		})
	}
}

func TestDeathsReportsDetectionTimes(t *testing.T) {
	s := &Script{Nodes: 4, ProbePeriod: 0.25, Duration: 20}
	killed := &Fault{At: 1, Kind: "kill", Nodes: []int{1}}
	events := []Event{{At: 1, Kind: "fault", Fault: killed}, {At: 1, Kind: "over", Fault: killed}} // for good
	for n, at := range map[int]float64{0: 4, 2: 5, 3: 7} {
		events = append(events, Event{At: at, Kind: "member", Node: n, Member: "n1", State: "dead"})
	}
	slices.SortFunc(events, func(a, b Event) int { return int(a.At - b.At) })
	if got := Deaths(s, events); !slices.Equal(got, []Death{{1, 3, 6, 3}}) {
		t.Errorf("%v", got)
	}
	killed.Duration = 1
	if got := Deaths(s, append(events, Event{At: 2, Kind: "over", Fault: killed})); len(got) != 0 {
		t.Errorf("after a second: %v", got)
	}
}
