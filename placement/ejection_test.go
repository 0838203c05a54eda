package placement

import (
	"math"
	"testing"
)

// An ejected server that returned too early would fail more flows, and one that never returned would be lost as capacity. It
// gets no flow until it has passed two health checks.
func TestEjectedServerReturnsAfterTwoPassedChecks(t *testing.T) {
	const place, servers = 4, 9
	b := newTestBalancer(servers, nil)
	b.establish(0, 20)
	arrival := Arrival{ClientKey: clientKeyFor(place, servers)}
	for i := range 6 {
		decision, at := b.arrive(100+i, arrival)
		if at != place {
			continue
		}
		if i > 0 {
			t.Fatal("a flow was sent to an ejected server")
		}
		b.AttemptEnded(b.now, decision.Flow, 0, ConnectFailed, false)
		b.decisions()
	}
	b.advance(firstEjectionTime - housekeepingInterval)
	if !b.serverAt(place).outlier.ejected {
		t.Fatal("the server was used again before its first health check")
	}
	checks := 0
	for steps := 0; checks < 2 && steps < 50; steps++ {
		for _, decision := range b.advance(0.5) {
			if decision.Action != CheckHealth {
				continue
			}
			if !b.serverAt(place).outlier.ejected {
				t.Fatal("the server was used again before two passed checks")
			}
			checks++
			b.HealthChecked(b.now, decision.Server, Served, loadOnly(-1))
		}
	}
	if b.serverAt(place).outlier.ejected {
		t.Fatal("still ejected after two passed checks")
	}
	if _, at := b.arrive(200, arrival); at != place {
		t.Fatal("the server gets no flow after its ejection has ended")
	}
}

// If the endpoint list is outdated, half of the servers on it may be gone, and a node with few flows must recognize each of
// them by one failure to connect. Failed attempts at many servers, on the other hand, may be due to a fault that the servers
// share; ejecting them all would leave too few servers.
func TestManyServersAreEjectedOnlyIfUnreachable(t *testing.T) {
	const servers = 9
	for _, c := range []struct {
		name        string
		dead        int
		outcome     Outcome
		atLeast     int     // ejected servers
		maxFraction float64 // ejected servers as a fraction of all
	}{
		{"one unreachable", 1, ConnectFailed, 1, 1},
		{"five unreachable", 5, ConnectFailed, 5, 1},
		{"all unreachable: a third stays in use, as the fault may be this node's", 9, ConnectFailed, 6, 0.7},
		{"five answer with errors: a shared fault is likely", 5, Failed, 1, 0.4},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBalancer(servers, nil)
			for place := range c.dead {
				decision, at := b.arrive(place, Arrival{ClientKey: clientKeyFor(place, servers), Timeout: 3})
				if at != place {
					continue // not sent to the server, which is ejected or full
				}
				b.AttemptEnded(b.now, decision.Flow, 0, c.outcome, true)
				b.decisions()
			}
			ejected := b.ejectedServers()
			if ejected < c.atLeast || float64(ejected) > c.maxFraction*servers {
				t.Errorf("%d of %d ejected, want at least %d and at most %.1f", ejected, servers, c.atLeast, c.maxFraction*servers)
			}
		})
	}
}

// The failures of one faulty server must not limit attempts at all others: it is ejected, and there is no concurrency limit.
func TestOneFaultyServerIsEjectedWithoutConcurrencyLimit(t *testing.T) {
	const place, servers = 4, 9
	b := newTestBalancer(servers, nil)
	b.establish(0, 10)
	for id := 100; id < 106; id++ {
		_, at := b.arrive(id, Arrival{ClientKey: clientKeyFor(place, servers)})
		if at == place {
			b.AttemptEnded(b.now, id, 0, Failed, false)
			b.decisions()
		}
	}
	if !b.serverAt(place).outlier.ejected || !math.IsInf(b.concurrency.limit, 1) {
		t.Fatalf("ejected: %v, concurrency limit %g", b.serverAt(place).outlier.ejected, b.concurrency.limit)
	}
}

// A single passed health check may be chance. An ejected server returns only after two that follow one another: a failed check
// between them starts the count again.
func TestOnePassedCheckDoesNotEndEjection(t *testing.T) {
	const place, servers = 4, 9
	b := newTestBalancer(servers, nil)
	b.establish(0, 20)
	for id := 100; id < 106 && !b.serverAt(place).outlier.ejected; id++ {
		if b.connectsTo(place, id, Arrival{ClientKey: clientKeyFor(place, servers)}) {
			b.AttemptEnded(b.now, id, 0, ConnectFailed, false)
			b.decisions()
		}
	}
	for i, check := range []struct {
		outcome Outcome
		ejected bool // after the check
	}{{Served, true}, {ConnectFailed, true}, {Served, true}, {Served, false}} {
		b.HealthChecked(b.now, b.serverIndex(place), check.outcome, loadOnly(-1))
		if got := b.serverAt(place).outlier.ejected; got != check.ejected {
			t.Fatalf("after check %d: ejected %v, want %v", i, got, check.ejected)
		}
		used := b.connectsTo(place, 200+i, Arrival{ClientKey: clientKeyFor(place, servers)})
		if used == check.ejected {
			t.Fatalf("after check %d: a flow was sent to the server: %v, want %v", i, used, !check.ejected)
		}
	}
}
