package rig

import (
	"cmp"
	"fmt"
	"slices"
)

// Violation is a violation of one of the rules at a time, in seconds from the start of the rig.
type Violation struct {
	Rule string  `json:"rule"`
	At   float64 `json:"at"`
	Text string  `json:"text"`
}

// String returns the violation as one line of a report.
func (v Violation) String() string { return fmt.Sprintf("%.2f s: %s: %s", v.At, v.Rule, v.Text) }

// The rules for nodes, as reports name them.
const (
	RuleNoFalseDeath     = "no blameless member is held for dead"
	RuleOneAnswer        = "each flow gets one final answer"
	RuleAgreement        = "all running nodes agree on the members within the settle time after the last fault"
	RuleDeathDetected    = "all nodes detect a death within the liveness time"
	RuleNoUnexpectedExit = "no process of a node ends without a fault that ends it"
	RuleBudget           = "all nodes together stay within a cold host's budget"
)

// Check returns the violations of the rules in a run, sorted by time. It reads the events of the result and the script's
// time limits. disagreement describes the last disagreement between the nodes when Run gave up waiting for agreement; it
// is empty if all nodes agreed.
func Check(s *Script, r *Result, disagreement string) (out []Violation) {
	out = append(out, checkDeaths(s, r.Events)...)
	out = append(out, checkAnswers(r.Events)...)
	out = append(out, checkExits(r.Events)...)
	out = append(out, checkKnownDeaths(s, r.Events)...)
	out = append(out, checkBudgets(r.Events)...)
	out = append(out, checkControl(s, r.Events)...)
	if disagreement != "" {
		out = append(out, Violation{RuleAgreement, lastEventTime(r.Events), disagreement})
	}
	slices.SortStableFunc(out, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return out
}
