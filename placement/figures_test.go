package placement

import (
	"math"
	"testing"
)

// Each figure that may be replaced changes the next decision, or what it hangs on.
func TestReplacedFiguresDecideNext(t *testing.T) {
	cold := func(g *fixture) { // of four servers one starts now
		it := g.endpoint(3, Ready)
		it.StartedAt = g.now
		g.UpdateEndpoints(g.now, ListChanges, []Endpoint{it})
	}
	onCold := func(g *fixture) (n int) { // of 200 flows within a second
		cold(g)
		g.establish(0, 100)
		for range 4 {
			g.advance(housekeepingInterval)
		}
		g.establish(100, 100)
		return g.servers[g.serverIndex(3)].inFlight
	}
	for _, c := range []struct {
		name   string
		change func(*LiveSettings)
		decide func(g *fixture) any
	}{
		{"max connects", func(f *LiveSettings) { f.MaxAttempts = 1 }, func(g *fixture) any {
			g.arrive(0, Arrival{ClientKey: 5})
			g.AttemptEnded(g.now, 0, 0, ConnectFailed, false)
			return g.decisions()[0].Action
		}},
		{"retry advice", func(f *LiveSettings) { f.MaxRetryAfter = 200 }, func(g *fixture) any {
			for i := range 4 {
				g.SetDisabled(g.now, g.serverIndex(i), true)
			}
			d, _ := g.arrive(0, Arrival{ClientKey: 5})
			return d.Seconds > 50
		}},
		{"time to ask within", func(f *LiveSettings) { f.PollInterval = 0.5 }, func(g *fixture) any {
			for range 4 {
				g.UpdateEndpoints(g.now, ListFailed, nil)
			}
			return g.polling.backoff
		}},
		{"a cold server's first share", func(f *LiveSettings) { f.SlowStartShare = 1 }, func(g *fixture) any { return onCold(g) }},
		{"for how long a server is cold", func(f *LiveSettings) { f.SlowStartTime = 0.01 }, func(g *fixture) any {
			return onCold(g)
		}},
		{"at which multiple a cold server falls over", func(f *LiveSettings) { f.OverloadMultiple = 12 }, func(g *fixture) any { return onCold(g) }},
		{"for how long", func(f *LiveSettings) { f.OverloadWindow = 40 }, func(g *fixture) any { return onCold(g) }},
		{"the target of a setup", func(f *LiveSettings) { f.Objectives[0].Setup = 2.5 }, func(g *fixture) any {
			d, _ := g.arrive(0, Arrival{ClientKey: 5})
			return d.Seconds
		}},
		{"the target of a message", func(f *LiveSettings) { f.Objectives[0].Message = 9 }, func(g *fixture) any {
			_, on := g.arrive(0, Arrival{ClientKey: 5})
			g.Established(0, 0)
			g.ReportDelay(g.now, 0, 0.15)
			_, next := g.arrive(1, Arrival{ClientKey: 5})
			return on == next
		}},
		{"a share", func(f *LiveSettings) { f.Quotas[0] = 0 }, func(g *fixture) any {
			g.establish(0, 4)
			for i := range 4 { // room within the ceiling, and none within what is left to who is over its share
				s := &g.servers[g.serverIndex(i)]
				s.threshold.load = (s.assignedLoad + 0.02) / 0.9
			}
			d, _ := g.arrive(9, Arrival{ClientKey: 5})
			return d.Action
		}},
	} {
		rigOf := func() *fixture { return newFixture(4, func(r *Settings) { r.Quotas = []float64{1000} }) }
		as, by := rigOf(), rigOf()
		f := by.Settings.Live()
		c.change(&f)
		by.ApplySettings(f)
		if a, b := c.decide(as), c.decide(by); a == b {
			t.Errorf("%s: %v under both", c.name, a)
		}
	}
}

// The figures of the start, put back, decide as if nothing had been replaced.
func TestFiguresOfTheStartPutBack(t *testing.T) {
	play := func(replace bool) (out []Decision) {
		g := newFixture(5, func(r *Settings) { r.Quotas = []float64{20, 30} })
		if replace {
			start := g.Settings.Live()
			other := g.Settings.Live()
			other.MaxAttempts, other.SlowStartTime, other.Quotas[1], other.Objectives[0].Message = 1, 99, 0, 0
			g.ApplySettings(other)
			if g.MaxAttempts != 1 || !math.IsInf(g.messageObjective, 1) || g.Quotas[1] != 0 || start.Quotas[1] != 30 {
				t.Fatalf("%+v", g.Settings)
			}
			g.ApplySettings(start)
		}
		for id := range 80 {
			d, _ := g.arrive(id, Arrival{ClientKey: uint64(id + 1), Tenant: id % 3})
			if out = append(out, d); id%3 > 0 {
				g.Established(id, 0)
			}
			out = append(out, g.advance(housekeepingInterval)...)
		}
		return out
	}
	a, b := play(false), play(true)
	if len(a) != len(b) {
		t.Fatalf("%d decisions and %d", len(a), len(b))
	}
	for i := range a {
		if a[i] != b[i] {
			t.Fatalf("decision %d: %+v and %+v", i, a[i], b[i])
		}
	}
}

// A flow that waits for its answer keeps its deadline through any change of figures.
func TestReplacedFiguresKeepDeadlines(t *testing.T) {
	g := newFixture(4, nil)
	g.arrive(0, Arrival{ClientKey: 5, Timeout: 2})
	due := g.flows[0].deadline
	f := g.Settings.Live()
	f.MaxAttempts, f.MaxRetryAfter, f.PollInterval, f.Objectives[0].Setup, f.OverloadWindow, f.SlowStartTime = 1, 0, 1, 9, 9, 99
	if g.ApplySettings(f); g.flows[0].deadline != due {
		t.Errorf("due at %g, was %g", g.flows[0].deadline, due)
	}
}

// A server's weight draws groups' homes to it.
func TestWeighedServerDrawsHomes(t *testing.T) {
	g := newFixture(4, nil)
	homes := func() (n int) {
		for group := uint64(1); group <= 100; group++ {
			if g.homes(group, 1)[0] == 2 {
				n++
			}
		}
		return n
	}
	before := homes()
	g.SetSize(g.serverIndex(2), 50)
	if after := homes(); before > 50 || after < 90 {
		t.Errorf("%d of 100 homes before, %d after", before, after)
	}
}
