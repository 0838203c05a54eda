package placement

import "testing"

// A draining server may stop without notice to its clients. They migrate at the pace of other migrations, after the
// time in which the server may send them away itself.
func TestConnectionsMigrateFromDrainingServer(t *testing.T) {
	for _, c := range []struct {
		name     string
		state    EndpointState
		migrated bool
	}{
		{"ready", Ready, false},
		{"draining", Draining, true},
		{"removed: its connections end by themselves", Removed, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBalancer(3, nil)
			b.establish(0, 9)
			connections := b.serverAt(0).inFlight
			b.changeState(0, c.state)
			if countActions(b.advance(drainGrace), Migrate) > 0 {
				t.Error("migrated before the server could send its clients away")
			}
			first := countActions(b.advance(housekeepingInterval), Migrate)
			before := map[int]bool{}
			for id := range b.flows {
				before[id] = b.flows[id].migrated
			}
			for _, decision := range b.advance(5) {
				if decision.Action == Migrate && before[decision.Flow] {
					t.Error("migrated twice")
				}
			}
			want := 0
			if c.migrated {
				want = connections
			}
			migrated := b.migratedFrom(t, 0)
			if migrated != want || connections < 3 || first > 1+connections/10 {
				t.Errorf("%d of %d migrated, %d in the first interval", migrated, connections, first)
			}
		})
	}
}

// migratedFrom returns how many flows were migrated, which have to be at one place.
func (b *testBalancer) migratedFrom(t *testing.T, place int) int {
	t.Helper()
	migrated := 0
	for id := range b.flows {
		f := &b.flows[id]
		if !f.migrated {
			continue
		}
		if f.server != b.serverIndex(place) {
			t.Error("migrated from another server")
			continue
		}
		migrated++
	}
	return migrated
}

// disable and enable let an operator disable the server at place 2 and enable it again.
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

// What an operator, the endpoint list and outlier detection say of a server are three states. The server takes flows
// only if all three allow it.
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
		{"disabled, removed, listed anew",
			[]func(*testBalancer){disable, listed(Removed, 0), listed(Ready, testStart)}, false},
		{"enabled while draining", []func(*testBalancer){disable, listed(Draining, 0), enable}, false},
		{"disabled when ejected, health checks passed", []func(*testBalancer){eject, disable, passThreeChecks}, false},
		{"ejected, disabled, enabled: its operators vouch for it", []func(*testBalancer){eject, disable, enable}, true},
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
				t.Errorf("sent to %d of %d, %d unavailable", at, listedBefore, unavailable)
			}
			if _, at := b.arrive(2, Arrival{ClientKey: key, MidFlow: true}); (at == place) != c.used {
				t.Errorf("a mid-flow connection went to %d", at)
			}
		})
	}
}

// The connections of a disabled server migrate at once, nothing checks it, and flows are rejected if it was the last.
func TestDisabledServerIsRelieved(t *testing.T) {
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
			t.Fatal("a disabled server is checked")
		}
	}
	if migrated != 20 {
		t.Errorf("%d of 20 migrated", migrated)
	}
	if decision, _ := b.arrive(50, Arrival{ClientKey: 5}); decision.Action != Reject || decision.Seconds <= 0 {
		t.Errorf("the last server is disabled: %v", decision)
	}
}
