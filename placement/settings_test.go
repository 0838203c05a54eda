package placement

import (
	"math"
	"testing"
)

// liveSettingCase is a change of one live setting and a decision that depends on the setting.
type liveSettingCase struct {
	name   string
	change func(*LiveSettings)
	decide func(*testBalancer) any
}

var liveSettingCases = []liveSettingCase{
	{"max attempts", func(s *LiveSettings) { s.MaxAttempts = 1 }, actionAfterFailedConnect},
	{"max Retry-After", func(s *LiveSettings) { s.MaxRetryAfter = 200 }, longRetryAfter},
	{"poll interval", func(s *LiveSettings) { s.PollInterval = 0.5 }, backoffAfterFourFailures},
	{"slow-start fraction", func(s *LiveSettings) { s.SlowStartFraction = 1 }, connectionsInSlowStart},
	{"slow-start time", func(s *LiveSettings) { s.SlowStartTime = 0.01 }, connectionsInSlowStart},
	{"overload multiple", func(s *LiveSettings) { s.OverloadMultiple = 12 }, connectionsInSlowStart},
	{"overload window", func(s *LiveSettings) { s.OverloadWindow = 40 }, connectionsInSlowStart},
	{"setup objective", func(s *LiveSettings) { s.Objectives[0].Setup = 2.5 }, firstTimeout},
	{"message objective", func(s *LiveSettings) { s.Objectives[0].Message = 9 }, samePlaceAfterDelay},
	{"quota", func(s *LiveSettings) { s.Quotas[0] = 0 }, actionOverQuota},
}

func actionAfterFailedConnect(b *testBalancer) any {
	b.arrive(0, Arrival{ClientKey: 5})
	b.AttemptEnded(b.now, 0, 0, ConnectFailed, false)
	return b.decisions()[0].Action
}

func longRetryAfter(b *testBalancer) any {
	for place := range 4 {
		b.SetDisabled(b.now, b.serverIndex(place), true)
	}
	decision, _ := b.arrive(0, Arrival{ClientKey: 5})
	return decision.Seconds > 50
}

func backoffAfterFourFailures(b *testBalancer) any {
	for range 4 {
		b.UpdateEndpoints(b.now, ListFailed, nil)
	}
	return b.polling.backoff
}

// connectionsInSlowStart returns how many of 200 flows within a second go to a server that has just started.
func connectionsInSlowStart(b *testBalancer) any {
	b.restartServer(3, b.now)
	b.establish(0, 100)
	for range 4 {
		b.advance(housekeepingInterval)
	}
	b.establish(100, 100)
	return b.serverAt(3).inFlight
}

func firstTimeout(b *testBalancer) any {
	decision, _ := b.arrive(0, Arrival{ClientKey: 5})
	return decision.Seconds
}

func samePlaceAfterDelay(b *testBalancer) any {
	_, first := b.arrive(0, Arrival{ClientKey: 5})
	b.Established(0, 0)
	b.ReportDelay(b.now, 0, 0.15)
	_, second := b.arrive(1, Arrival{ClientKey: 5})
	return first == second
}

// actionOverQuota returns the decision for a flow when the servers have capacity below their load thresholds, but none in
// the part of them that tenants over their quota may use.
func actionOverQuota(b *testBalancer) any {
	b.establish(0, 4)
	for place := range 4 {
		s := b.serverAt(place)
		s.threshold.load = (s.assignedLoad + 0.02) / 0.9
	}
	decision, _ := b.arrive(9, Arrival{ClientKey: 5})
	return decision.Action
}

// A live setting that is stored but not used would leave an operator's change without effect. Each setting changes the next
// decision that depends on it.
func TestLiveSettingAffectsNextDecision(t *testing.T) {
	for _, c := range liveSettingCases {
		t.Run(c.name, func(t *testing.T) {
			withQuota := func(s *Settings) { s.Quotas = []float64{1000} }
			unchanged := newTestBalancer(4, withQuota)
			changed := newTestBalancer(4, withQuota)
			live := changed.Settings.Live()
			c.change(&live)
			changed.ApplySettings(live)
			before := c.decide(unchanged)
			if after := c.decide(changed); before == after {
				t.Errorf("%v with and without the change", before)
			}
		})
	}
}

// A change of settings that leaves traces in the balancer could not be undone. After the first settings are applied again, the
// decisions are as if nothing had been changed.
func TestRestoredSettingsDecideAsBefore(t *testing.T) {
	withoutChange := newBalancerWithQuotas().decideEighty()
	b := newBalancerWithQuotas()
	b.changeAndRestoreSettings(t)
	withChange := b.decideEighty()
	if len(withoutChange) != len(withChange) {
		t.Fatalf("%d decisions without a change of settings, %d with it", len(withoutChange), len(withChange))
	}
	for i := range withoutChange {
		if withoutChange[i] != withChange[i] {
			t.Fatalf("decision %d: %+v without a change of settings, %+v with it", i, withoutChange[i], withChange[i])
		}
	}
}

func newBalancerWithQuotas() *testBalancer {
	return newTestBalancer(5, func(s *Settings) { s.Quotas = []float64{20, 30} })
}

func (b *testBalancer) changeAndRestoreSettings(t *testing.T) {
	t.Helper()
	start := b.Settings.Live()
	other := b.Settings.Live()
	other.MaxAttempts = 1
	other.SlowStartTime = 99
	other.Quotas[1] = 0
	other.Objectives[0].Message = 0
	b.ApplySettings(other)
	if b.MaxAttempts != 1 || !math.IsInf(b.messageObjective, 1) || b.Quotas[1] != 0 || start.Quotas[1] != 30 {
		t.Fatalf("the settings were not applied: %+v", b.Settings)
	}
	b.ApplySettings(start)
}

// decideEighty returns the decisions for 80 flows of three tenants, two thirds of which are established.
func (b *testBalancer) decideEighty() []Decision {
	var decisions []Decision
	for id := range 80 {
		decision, _ := b.arrive(id, Arrival{ClientKey: uint64(id + 1), Tenant: id % 3})
		decisions = append(decisions, decision)
		if id%3 > 0 {
			b.Established(id, 0)
		}
		decisions = append(decisions, b.advance(housekeepingInterval)...)
	}
	return decisions
}

// A waiting flow whose deadline moved could be answered after its client has given up. Live settings leave deadlines as they
// are.
func TestLiveSettingsKeepDeadlinesOfWaitingFlows(t *testing.T) {
	b := newTestBalancer(4, nil)
	b.arrive(0, Arrival{ClientKey: 5, Timeout: 2})
	deadline := b.flows[0].deadline
	live := b.Settings.Live()
	live.MaxAttempts = 1
	live.MaxRetryAfter = 0
	live.PollInterval = 1
	live.Objectives[0].Setup = 9
	live.OverloadWindow = 9
	live.SlowStartTime = 99
	b.ApplySettings(live)
	if b.flows[0].deadline != deadline {
		t.Errorf("deadline %g, want %g as before", b.flows[0].deadline, deadline)
	}
}

// Servers of unequal size would be unevenly loaded if each were the home of as many groups. A server's part of them grows with
// its size.
func TestLargeServerIsHomeOfMoreGroups(t *testing.T) {
	const place = 2
	b := newTestBalancer(4, nil)
	before := b.groupsAtHome(place)
	b.SetSize(b.serverIndex(place), 50)
	if after := b.groupsAtHome(place); before > 50 || after < 90 {
		t.Errorf("home of %d of 100 groups before the change of size, of %d after", before, after)
	}
}

// groupsAtHome returns how many of 100 groups have their first home at a place.
func (b *testBalancer) groupsAtHome(place int) int {
	groups := 0
	for group := uint64(1); group <= 100; group++ {
		if b.homes(group, 1)[0] == place {
			groups++
		}
	}
	return groups
}

// Until a list has had a server, a quota divided by its length is infinite, and one of 0 is not a number, which would stay in
// every load that is computed from it. Both count as no quota until then, and as their part of a server afterwards.
func TestQuotaIsFiniteWithoutServers(t *testing.T) {
	for _, c := range []struct {
		name   string
		quotas []float64
		want   float64 // connections for each of four servers and two nodes
	}{
		{"quota", []float64{40}, 5},
		{"quota of 0", []float64{0}, 0},
		{"quota and quota of 0", []float64{0, 40}, 5},
		{"no quotas", nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBalancer(0, func(s *Settings) { s.Quotas = c.quotas })
			b.SetNodes(4)
			b.SetNodes(2)
			b.ApplySettings(b.Settings.Live())
			b.advance(1)
			if b.quotaPerServer != 0 || math.IsNaN(b.overload.level) {
				t.Fatalf("without servers: quota %g for a server, overload level %g; want 0 and a number", b.quotaPerServer, b.overload.level)
			}
			b.UpdateEndpoints(b.now, ListFull, b.readyEndpoints(4))
			b.advance(1)
			if b.quotaPerServer != c.want || math.IsNaN(b.overload.level) {
				t.Errorf("with four servers: quota %g for a server, overload level %g; want %g and a number", b.quotaPerServer,
					b.overload.level, c.want)
			}
			if decision, _ := b.arrive(0, Arrival{ClientKey: 1}); decision.Action != Connect {
				t.Errorf("a first flow: %+v, want an attempt", decision)
			}
		})
	}
}
