package scale

import (
	"testing"

	"gorseledge/internal/fleet/view"
)

// restViolations returns, by rule, the number of violations that costs at rest cause.
func restViolations(hollow, real costs) map[string]int {
	s, err := Read("script", []byte("sizes = [100]\n"))
	if err != nil {
		panic(err)
	}
	r := &run{script: s, result: &Result{Size: 100}}
	r.checkRest(hollow, real)
	out := map[string]int{}
	for _, v := range r.result.Violations {
		out[v.Rule]++
	}
	return out
}

// Guards against a bound at rest that is not checked, or a check that fires for another cost: a value slightly beyond one
// bound has to violate that rule alone.
func TestBoundsAtRest(t *testing.T) {
	traffic := func(messages, bytes float64) map[string]rate {
		return map[string]rate{"ping": {messages, bytes, messages, bytes}}
	}
	good := costs{nodes: 84, cpu: 0.012, slope: 63e6, traffic: traffic(2, 7000)}
	for _, c := range []struct {
		name       string
		change     func(hollow, real *costs)
		rule       string
		violations int
	}{
		{"within all bounds", func(_, _ *costs) {}, "", 0},
		{"messages", func(h, _ *costs) { h.traffic = traffic(2.3, 7000) }, RuleHollowMatchesReal, 2},
		{"bytes", func(_, k *costs) { k.traffic = traffic(2, 8000) }, RuleHollowMatchesReal, 2},
		{"nothing measured", func(h, k *costs) { h.traffic, k.traffic = traffic(0, 0), traffic(0, 0) }, RuleHollowMatchesReal, 4},
		{"cpu", func(h, _ *costs) { h.cpu = 0.0131 }, RuleCPU, 1},
		{"memory", func(h, _ *costs) { h.slope = 65e6 }, RuleMemory, 1},
		{"bandwidth", func(h, k *costs) { h.traffic, k.traffic = traffic(2, 7600), traffic(2, 7600) }, RuleBandwidth, 1},
	} {
		hollow, real := good, good
		c.change(&hollow, &real)
		got := restViolations(hollow, real)
		if got[c.rule] != c.violations || len(got) > 1 || len(got) == 1 && c.violations == 0 {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// Guards against costs that include what was spent before the phase, or that divide by more time than the nodes ran.
func TestCostsOfAPhase(t *testing.T) {
	ping := func(n int) []view.Traffic {
		return []view.Traffic{{Kind: "ping", SentMessages: n, SentBytes: 90 * n, ReceivedMessages: n, ReceivedBytes: 90 * n}}
	}
	before := sample{hollowSeconds: 100, hollowNodes: 30, hollowTraffic: ping(1000),
		hollow: []hollowSample{{usage{1, 1e7}, 10}, {usage{2, 2e7}, 20}, {usage{2, 3e7}, 30}},
		real:   map[int]realSample{7: {usage{1, 1e7}, ping(10)}, 8: {usage{1, 1e7}, ping(10)}}}
	after := sample{at: before.at.Add(10e9), hollowSeconds: 700, hollowNodes: 60, hollowTraffic: ping(1600),
		hollow: []hollowSample{{usage{1.1, 1e7}, 10}, {usage{2.2, 2e7}, 20}, {usage{2.3, 3e7}, 30}},
		real:   map[int]realSample{7: {usage{1.5, 1.2e7}, ping(30)}, 9: {usage{5, 5e7}, ping(900)}}}
	h := hollowCosts(before, after)
	if got := h.traffic["ping"]; got != (rate{1, 90, 1, 90}) || !near(h.cpu, 0.001) || !near(h.slope, 1e6) || !near(h.memory, 1e6) {
		t.Errorf("hollow: %+v", h)
	}
	r := realCosts(before, after) // only process 7 ran throughout
	if got := r.traffic["ping"]; r.nodes != 1 || got.sentMessages != 2 || !near(r.cpu, 0.05) || r.memory != 1.2e7 {
		t.Errorf("real: %+v", r)
	}
}

// Guards against swapped directions of control traffic, which is derived from what the followers count, and against costs of
// a control server that was started during the phase.
func TestCostsOfControlServers(t *testing.T) {
	before := sample{servers: map[int]usage{1: {1, 1e7}, 2: {1, 1e7}, 3: {1, 1e7}}}
	after := sample{at: before.at.Add(10e9), servers: map[int]usage{1: {1.1, 2e7}, 2: {1.3, 4e7}, 9: {50, 9e7}}}
	hollow := costs{nodes: 90, traffic: map[string]rate{controlKind: {1, 100, 1, 200}, "ping": {9, 9, 9, 9}}}
	real := costs{nodes: 10, traffic: map[string]rate{controlKind: {1, 100, 1, 200}}}
	c := serverCosts(before, after, hollow, real)
	if t1 := c.traffic[controlKind]; c.nodes != 2 || !near(c.cpu, 0.02) || c.memory != 3e7 || !near(t1.sentBytes, 10000) ||
		!near(t1.receivedBytes, 5000) || len(c.traffic) != 1 {
		t.Errorf("%+v", c)
	}
	if c := serverCosts(sample{}, sample{}, hollow, real); c.nodes != 0 || len(c.traffic) != 0 {
		t.Errorf("without servers: %+v", c)
	}
}

func near(a, b float64) bool { return a > b*0.999 && a < b*1.001 }

// Guards against a view that lacks a member or sees a dead one as live without a disagreement being counted.
func TestDisagreementIsCounted(t *testing.T) {
	v := view.View{Self: "a", Members: []view.Member{{Name: "a", State: "alive"}, {Name: "b", State: "suspect"},
		{Name: "c", State: "dead"}}}
	for _, c := range []struct {
		running []string
		wrong   int
	}{{[]string{"a", "b"}, 0}, {[]string{"a", "b", "c"}, 1}, {[]string{"a"}, 1}, {[]string{"a", "b", "d"}, 1}} {
		running := map[string]bool{}
		for _, name := range c.running {
			running[name] = true
		}
		if wrong, first := disagreement(v, running); wrong != c.wrong || (first != "") != (wrong > 0) {
			t.Errorf("running %v: %d disagreements, %q", c.running, wrong, first)
		}
	}
}
