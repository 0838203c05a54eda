package scale

import (
	"strings"
	"testing"
)

// Guards against an event that passes although the fleet never converged: all views agree, but members were not seen to
// return, or a real node shows no view.
func TestMissingConvergenceIsAViolation(t *testing.T) {
	for _, c := range []struct {
		name    string
		returns int64 // expected, of which none is seen
		real    int   // real nodes, none of which shows a view
		want    string
	}{
		{"returns not seen", 3, 0, "3 returns not seen"},
		{"real nodes without a view", 0, 2, "2 real nodes without a view"},
		{"converged", 0, 0, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &run{
				script:          &Script{Real: c.real},
				plan:            &Plan{},
				reals:           &realNodes{watch: newWatch()},
				hollows:         &hollowHosts{},
				result:          &Result{},
				expectedReturns: c.returns,
			}
			if err := r.ensureConvergence(t.Context(), "kill", Action{Kind: CutRegion}, nil); err != nil {
				t.Fatal(err)
			}
			violations := r.result.Violations
			if c.want == "" && len(violations) > 0 {
				t.Errorf("violations %v, want none", violations)
			}
			if c.want != "" && (len(violations) != 1 || !strings.Contains(violations[0].Text, c.want)) {
				t.Errorf("violations %v, want one with %q", violations, c.want)
			}
		})
	}
}
