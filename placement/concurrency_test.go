package placement

import (
	"math"
	"testing"
)

// Failures that come from dying servers or from a single flow are no fault that the servers share.
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
		{"one flow fails everywhere", func(b *testBalancer) {
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
				t.Errorf("concurrency limit %g", b.concurrency.limit)
			}
		})
	}
}

// loseConnections ends the first 30 flows where they are at one of two places.
func (b *testBalancer) loseConnections(first, second int) {
	for id := range 30 {
		at := b.flows[id].server
		if at == b.serverIndex(first) || at == b.serverIndex(second) {
			b.AttemptEnded(b.now, id, 0, ConnectionLost, true)
		}
	}
}

// A slow store fails attempts everywhere: few servers are ejected and few attempts are sent. When the fault has
// passed, the limit is lifted.
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
		t.Fatalf("%d ejected, concurrency limit %g", b.ejectedServers(), b.concurrency.limit)
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
		t.Fatalf("the concurrency limit stays at %g", b.concurrency.limit)
	}
}
