package placement

import (
	"math"
	"testing"
)

// A concurrency limit would reject flows for no reason if failures that are caused by dead servers or by a single flow were
// mistaken for a fault that the servers share.
func TestUnsharedFaultSetsNoConcurrencyLimit(t *testing.T) {
	for _, c := range []struct {
		name   string
		inject func(*testBalancer)
	}{
		{"two servers died and attempts lost their connections", func(b *testBalancer) {
			b.loseConnections(1, 2)
			for id := 100; id < 110; id++ {
				b.arrive(id, Arrival{ClientKey: uint64(id)})
				b.AttemptEnded(b.now, id, 0, ConnectionLost, false)
				b.decisions()
			}
		}},
		{"two servers died and an attempt failed", func(b *testBalancer) {
			b.loseConnections(1, 2)
			b.arrive(100, Arrival{ClientKey: 100})
			b.AttemptEnded(b.now, 100, 0, Failed, false)
		}},
		{"one flow fails at every server", func(b *testBalancer) {
			b.arrive(100, Arrival{ClientKey: 100})
			for attempt := range 3 {
				b.AttemptEnded(b.now, 100, attempt, Failed, false)
				b.decisions()
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBalancer(9, nil)
			b.establish(0, 30)
			c.inject(b)
			if !math.IsInf(b.concurrency.limit, 1) {
				t.Errorf("concurrency limit %g, want none", b.concurrency.limit)
			}
		})
	}
}

// loseConnections loses the connections of the first 30 flows that are at one of two places.
func (b *testBalancer) loseConnections(first, second int) {
	for id := range 30 {
		at := b.flows[id].server
		if at == b.serverIndex(first) || at == b.serverIndex(second) {
			b.AttemptEnded(b.now, id, 0, ConnectionLost, true)
		}
	}
}

// If a store that the servers share is slow, attempts fail at all servers. Ejecting many servers would not help, and further
// attempts would increase the load on the store, so few servers are ejected and the attempts in flight are limited. A limit
// that outlasts the fault would reject flows for no reason, so it is lifted once attempts succeed again.
func TestCommonFailuresLimitConcurrencyUntilTheyEnd(t *testing.T) {
	b := newTestBalancer(9, nil)
	b.establish(0, 30)
	for id := 100; id < 220; id++ {
		decision, _ := b.arrive(id, Arrival{ClientKey: uint64(id)})
		if decision.Action == Reject {
			continue
		}
		for attempt := range 3 {
			b.now += 0.03
			b.AttemptEnded(b.now, id, attempt, Failed, false)
			b.decisions()
		}
	}
	if b.ejectedServers() > 3 || math.IsInf(b.concurrency.limit, 1) {
		t.Fatalf("%d servers ejected, concurrency limit %g, want at most 3 and a limit", b.ejectedServers(), b.concurrency.limit)
	}
	for id := 300; id < 420; id++ {
		for _, decision := range b.advance(0.25) {
			if decision.Action == CheckHealth {
				b.HealthChecked(b.now, decision.Server, Served, loadOnly(-1))
			}
		}
		b.establish(id, 1)
	}
	b.advance(60)
	if !math.IsInf(b.concurrency.limit, 1) {
		t.Fatalf("concurrency limit %g after the failures have ended, want none", b.concurrency.limit)
	}
}
