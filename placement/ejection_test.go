package placement

import (
	"math"
	"testing"
)

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
			t.Fatal("sent to an ejected server")
		}
		b.AttemptEnded(b.now, decision.Flow, 0, ConnectFailed, false)
		b.decisions()
	}
	b.advance(firstEjectionTime - housekeepingInterval)
	if !b.serverAt(place).outlier.ejected {
		t.Fatal("not ejected")
	}
	checks := 0
	for steps := 0; checks < 2 && steps < 50; steps++ {
		for _, decision := range b.advance(0.5) {
			if decision.Action != CheckHealth {
				continue
			}
			if !b.serverAt(place).outlier.ejected {
				t.Fatal("returned too early")
			}
			checks++
			b.HealthChecked(b.now, decision.Server, Served, loadOnly(-1))
		}
	}
	if b.serverAt(place).outlier.ejected {
		t.Fatal("still ejected after two passed checks")
	}
	if _, at := b.arrive(200, arrival); at != place {
		t.Fatal("not used after its return")
	}
}

// On a list that is late, half of the servers may be gone. Failed connections say so of each alone, and a node of
// few flows learns it from one. Errors may be a fault that the servers share.
func TestManyServersAreEjectedOnlyIfUnreachable(t *testing.T) {
	const servers = 9
	for _, c := range []struct {
		name      string
		dead      int
		outcome   Outcome
		least     int     // ejected servers
		mostShare float64 // of all servers
	}{
		{"one unreachable", 1, ConnectFailed, 1, 1},
		{"five unreachable", 5, ConnectFailed, 5, 1},
		{"all unreachable: a third stays, as the fault may be this node's", 9, ConnectFailed, 6, 0.7},
		{"five answer with errors: what they share may be at fault", 5, Failed, 1, 0.4},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBalancer(servers, nil)
			for place := range c.dead {
				decision, at := b.arrive(place, Arrival{ClientKey: clientKeyFor(place, servers), Timeout: 3})
				if at != place {
					continue // ejected or full: nothing to learn
				}
				b.AttemptEnded(b.now, decision.Flow, 0, c.outcome, true)
				b.decisions()
			}
			ejected := b.ejectedServers()
			if ejected < c.least || float64(ejected) > c.mostShare*servers {
				t.Errorf("%d of %d ejected, want %d at the least", ejected, servers, c.least)
			}
		})
	}
}

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
