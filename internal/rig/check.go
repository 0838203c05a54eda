package rig

import (
	"cmp"
	"fmt"
	"slices"
)

// Violation is a violation of one of the rules of a run. At is in seconds from the start of the rig.
type Violation struct {
	Rule string  `json:"rule"`
	At   float64 `json:"at"`
	Text string  `json:"text"`
}

// String returns the violation as one line of a report.
func (v Violation) String() string { return fmt.Sprintf("%.2f s: %s: %s", v.At, v.Rule, v.Text) }

// The rules of a run, as they stand in reports.
const (
	RuleNoFalseDeath     = "no blameless member is held for dead"
	RuleOneAnswer        = "each flow gets one final answer"
	RuleAgreement        = "all agree within the stated time after the last fault"
	RuleDeathDetected    = "a death is known everywhere within the stated time"
	RuleNoUnexpectedExit = "no process ends by itself"
	RuleBudget           = "all nodes together stay within a cold host's budget"
)

// Check returns the violations in a run, by their times. It reads the events of the result and the times that the script
// states; disagreement is what Run found when it waited for agreement, empty where all nodes agreed.
func Check(s *Script, r *Result, disagreement string) (out []Violation) {
	out = append(out, checkDeaths(s, r.Events)...)
	out = append(out, checkAnswers(r.Events)...)
	out = append(out, checkExits(r.Events)...)
	out = append(out, checkKnownDeaths(s, r.Events)...)
	out = append(out, checkBudgets(r.Events)...)
	out = append(out, checkControl(s, r.Events)...)
	if disagreement != "" {
		out = append(out, Violation{RuleAgreement, endOf(r.Events), disagreement})
	}
	slices.SortStableFunc(out, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return out
}
