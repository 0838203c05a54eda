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

// A limit that stays where the first common failure set it would let attempts go on at the rate under which the shared store
// fails. Each common failure lowers it by limitDecrease, those of attempts that fail together only once, and never below one
// attempt. A flow beyond the limit gets no attempt.
func TestEachCommonFailureLowersConcurrencyLimit(t *testing.T) {
	b := newTestBalancer(9, nil)
	b.establish(0, 30)
	for id := 100; id < 140; id++ {
		b.arrive(id, Arrival{ClientKey: uint64(id)})
	}
	inFlight := b.attemptsInFlight
	limits := []float64{}
	for id := 100; id < 140; id++ {
		before := b.concurrency.limit
		b.AttemptEnded(b.now, id, 0, Failed, true)
		if b.concurrency.limit != before {
			limits = append(limits, b.concurrency.limit)
			b.AttemptEnded(b.now, id+1, 0, Failed, true) // fails together with the one before
			id++
			if b.concurrency.limit != limits[len(limits)-1] {
				t.Fatal("two attempts that failed together lowered the limit twice")
			}
		}
		b.now += 1.01 * limitDecreasePause
	}
	if len(limits) < 5 || limits[0] > limitDecrease*float64(inFlight+1) {
		t.Fatalf("limits %.3g after %d attempts, want at least 5, the first at most %.3g", limits, inFlight, limitDecrease*float64(inFlight+1))
	}
	for i, limit := range limits[1:] {
		if want := max(1, limitDecrease*limits[i]); limit > want*1.0001 {
			t.Errorf("limit %.3g after %.3g, want at most %.3g", limit, limits[i], want)
		}
	}
	for id := 200; b.attemptsInFlight < int(b.concurrency.limit); id++ {
		if decision, _ := b.arrive(id, Arrival{ClientKey: uint64(id)}); decision.Action != Connect {
			t.Fatalf("%d attempts in flight, limit %.3g: %+v, want an attempt", b.attemptsInFlight, b.concurrency.limit, decision)
		}
	}
	if decision, _ := b.arrive(300, Arrival{ClientKey: 300}); decision.Action == Connect {
		t.Errorf("an attempt beyond the limit %.3g, with %d in flight", b.concurrency.limit, b.attemptsInFlight)
	}
}
