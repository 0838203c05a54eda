package placement

import "testing"

// A draining server may stop without notice, and all its clients would then lose their connections at once. They therefore
// migrate, at the usual rate of migrations, after drainGrace, in which the server may disconnect them itself.
func TestConnectionsMigrateFromDrainingServer(t *testing.T) {
	for _, c := range []struct {
		name     string
		state    EndpointState
		migrated bool
	}{
		{"ready", Ready, false},
		{"draining", Draining, true},
		{"removed: its connections are left alone", Removed, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBalancer(3, nil)
			b.establish(0, 9)
			connections := b.serverAt(0).inFlight
			b.changeState(0, c.state)
			if countActions(b.advance(drainGrace), Migrate) > 0 {
				t.Error("connections migrated within the drain grace")
			}
			first := countActions(b.advance(housekeepingInterval), Migrate)
			before := map[int]bool{}
			for id := range b.flows {
				before[id] = b.flows[id].migrated
			}
			for _, decision := range b.advance(5) {
				if decision.Action == Migrate && before[decision.Flow] {
					t.Error("a connection migrated twice")
				}
			}
			want := 0
			if c.migrated {
				want = connections
			}
			migrated := b.migratedFrom(t, 0)
			if migrated != want || connections < 3 || first > 1+connections/10 {
				t.Errorf("%d of %d connections migrated, %d in the first interval", migrated, connections, first)
			}
		})
	}
}

// migratedFrom returns how many flows were migrated from the server at a place, and fails the test if any were migrated from
// another server.
func (b *testBalancer) migratedFrom(t *testing.T, place int) int {
	t.Helper()
	migrated := 0
	for id := range b.flows {
		f := &b.flows[id]
		if !f.migrated {
			continue
		}
		if f.server != b.serverIndex(place) {
			t.Error("a connection migrated from another server")
			continue
		}
		migrated++
	}
	return migrated
}

// disable disables the server at place 2, as an operator would, and enable enables it again.
func disable(b *testBalancer) { b.SetDisabled(b.now, b.serverIndex(2), true) }

func enable(b *testBalancer) { b.SetDisabled(b.now, b.serverIndex(2), false) }

// listed returns a step that lists the server at place 2 in a state and with a start time.
func listed(state EndpointState, startedAt float64) func(*testBalancer) {
	return func(b *testBalancer) { b.listStarted(2, state, startedAt) }
}

func eject(b *testBalancer) { b.serverAt(2).outlier.ejected = true }

func listAll(b *testBalancer) { b.UpdateEndpoints(b.now, ListFull, b.readyEndpoints(5)) }

func passThreeChecks(b *testBalancer) {
	for range 3 {
		b.HealthChecked(b.now, b.serverIndex(2), Served, loadOnly(-1))
	}
}

// An endpoint list, a restart or a passed health check must not put a server back into use that an operator has disabled. The
// operator's, the list's and outlier detection's state of a server are independent, and it gets flows only if all three
// allow it.
func TestDisabledServerGetsNoNewFlow(t *testing.T) {
	const place, servers = 2, 5
	key := clientKeyFor(place, servers)
	for _, c := range []struct {
		name  string
		steps []func(*testBalancer)
		used  bool
	}{
		{"disabled", []func(*testBalancer){disable}, false},
		{"disabled, enabled", []func(*testBalancer){disable, enable}, true},
		{"disabled twice, enabled once", []func(*testBalancer){disable, disable, enable}, true},
		{"enabled without having been disabled", []func(*testBalancer){enable}, true},
		{"disabled, a complete list", []func(*testBalancer){disable, listAll}, false},
		{"disabled, restarted", []func(*testBalancer){disable, listed(Ready, testStart+1)}, false},
		{"disabled, draining, ready", []func(*testBalancer){disable, listed(Draining, 0), listAll}, false},
		{"disabled, removed, listed again",
			[]func(*testBalancer){disable, listed(Removed, 0), listed(Ready, testStart)}, false},
		{"enabled while draining", []func(*testBalancer){disable, listed(Draining, 0), enable}, false},
		{"disabled when ejected, health checks passed", []func(*testBalancer){eject, disable, passThreeChecks}, false},
		{"ejected, disabled, enabled: enabling ends the ejection", []func(*testBalancer){eject, disable, enable}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBalancer(servers, nil)
			for _, step := range c.steps {
				step(b)
			}
			b.now += 11 // after the slow start
			listedBefore := len(b.base)
			_, unavailable := b.Unavailable(b.now)
			_, at := b.arrive(1, Arrival{ClientKey: key})
			if (at == place) != c.used || listedBefore != servers || (unavailable == 0) != c.used {
				t.Errorf("sent to place %d of %d, %d unavailable", at, listedBefore, unavailable)
			}
			if _, at := b.arrive(2, Arrival{ClientKey: key, MidFlow: true}); (at == place) != c.used {
				t.Errorf("a mid-flow connection was sent to place %d", at)
			}
		})
	}
}

// A disabled server that keeps its connections or is still checked would prevent an operator from taking it down. Its
// connections start to migrate at once, it gets no health checks, and flows are rejected if it was the last server.
func TestDisabledServerIsDrained(t *testing.T) {
	b := newTestBalancer(1, nil)
	b.establish(0, 20)
	for id := range 20 {
		b.ReportLoad(id, 0.02)
	}
	b.SetDisabled(b.now, b.serverIndex(0), true)
	migrated := 0
	for _, decision := range b.advance(6) {
		switch decision.Action {
		case Migrate:
			migrated++
			b.AttemptEnded(b.now, decision.Flow, 0, Canceled, true)
		case CheckHealth:
			t.Fatal("health check of a disabled server")
		}
	}
	if migrated != 20 {
		t.Errorf("%d of 20 connections migrated", migrated)
	}
	if decision, _ := b.arrive(50, Arrival{ClientKey: 5}); decision.Action != Reject || decision.Seconds <= 0 {
		t.Errorf("the last server is disabled: got %v, want a Reject with a Retry-After", decision)
	}
}
