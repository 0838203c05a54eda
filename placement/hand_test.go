package placement

import "testing"

// What an operator, the list and the module say of a server are three states; it takes flows if all three allow
// it.
func TestByHand(t *testing.T) {
	key := keyFor(2, 5)
	const n = 5
	since := func(g *fixture, at float64, st EndpointState) {
		it := g.endpoint(2, st)
		it.StartedAt = at
		g.UpdateEndpoints(g.now, ListChanges, []Endpoint{it})
	}
	hand := func(out bool) func(*fixture) { return func(g *fixture) { g.SetDisabled(g.now, g.serverIndex(2), out) } }
	whole := func(g *fixture) {
		var all []Endpoint
		for i := range n {
			all = append(all, g.endpoint(i, Ready))
		}
		g.UpdateEndpoints(g.now, ListFull, all)
	}
	cases := []struct {
		name  string
		steps []func(*fixture)
		takes bool
	}{
		{"out", []func(*fixture){hand(true)}, false},
		{"out, and back", []func(*fixture){hand(true), hand(false)}, true},
		{"out twice, one call back undoes both", []func(*fixture){hand(true), hand(true), hand(false)}, true},
		{"back without having been out", []func(*fixture){hand(false)}, true},
		{"out, a whole list", []func(*fixture){hand(true), whole}, false},
		{"out, a new start", []func(*fixture){hand(true), func(g *fixture) { since(g, g.now+1, Ready) }}, false},
		{"out, drains, serves again", []func(*fixture){hand(true), func(g *fixture) { since(g, 0, Draining) }, whole}, false},
		{"out, gone, listed anew", []func(*fixture){hand(true), func(g *fixture) { since(g, 0, Removed) },
			func(g *fixture) { since(g, g.now, Ready) }}, false},
		{"back, but it drains", []func(*fixture){hand(true), func(g *fixture) { since(g, 0, Draining) }, hand(false)}, false},
		{"out when it was set aside, and probes are answered", []func(*fixture){
			func(g *fixture) { g.servers[g.serverIndex(2)].outlier.ejected = true }, hand(true), func(g *fixture) {
				for range 3 {
					g.HealthChecked(g.now, g.serverIndex(2), Served, LoadReport{Load: -1})
				}
			}}, false},
		{"set aside, out and back: its operators vouch for it", []func(*fixture){
			func(g *fixture) { g.servers[g.serverIndex(2)].outlier.ejected = true }, hand(true), hand(false)}, true},
	}
	for _, c := range cases {
		g := newFixture(n, nil)
		for _, step := range c.steps {
			step(g)
		}
		g.now += 11 // warm again
		before := len(g.base)
		_, avoided := g.Unavailable(g.now)
		if _, at := g.arrive(1, Arrival{ClientKey: key}); (at == 2) != c.takes || before != n || (avoided == 0) != c.takes {
			t.Errorf("%s: sent to %d of %d, %d avoided", c.name, at, before, avoided)
		}
		if _, at := g.arrive(2, Arrival{ClientKey: key, MidFlow: true}); (at == 2) != c.takes {
			t.Errorf("%s: a mid-flow connection went to %d", c.name, at)
		}
	}
}

// Its clients are moved at once, at the pace of a drain; nothing probes it; the last one out leaves an answer with
// a retry time.
func TestOutMovesAndAnswers(t *testing.T) {
	g := newFixture(1, nil)
	g.establish(0, 20)
	for id := range 20 {
		g.ReportLoad(id, 0.02)
	}
	g.SetDisabled(g.now, g.serverIndex(0), true)
	moved, first := 0, 0
	for i, d := range g.advance(6) {
		switch d.Action {
		case Migrate:
			if moved++; i == 0 {
				first++
			}
			g.AttemptEnded(g.now, d.Flow, 0, Canceled, true)
		case CheckHealth:
			t.Fatal("it is probed")
		}
	}
	if moved != 20 {
		t.Errorf("%d of 20 moved", moved)
	}
	if d, _ := g.arrive(50, Arrival{ClientKey: 5}); d.Action != Reject || d.Seconds <= 0 {
		t.Errorf("the last server out: %v", d)
	}
}

// A server put back counts as cold until a list tells of its start, and is entered soon by one flow, whoever's.
func TestPutBack(t *testing.T) {
	const n = 8
	used, soon, warm := 0, 0, 0
	for seed := range uint64(60) {
		g := newFixture(n, func(r *Settings) { r.Seed, r.Nodes = seed, 3 })
		g.establish(0, 4*n)
		g.SetDisabled(g.now, g.serverIndex(2), true)
		for id := range g.flows {
			if g.flows[id].inFlight && g.flows[id].server == g.serverIndex(2) {
				g.AttemptEnded(g.now, id, 0, Canceled, true)
			}
		}
		g.now += 3
		g.SetDisabled(g.now, g.serverIndex(2), false)
		if w := g.slowStartWeight(g.now, &g.servers[g.serverIndex(2)]); w != g.SlowStartShare {
			t.Fatalf("warmth %v", w)
		}
		at := 0
		for i := range 6 { // a flow in 0.8 s, none of them with its primary there
			g.now += 0.8
			if _, to := g.arrive(100+i, Arrival{ClientKey: keyFor(3, n)}); to == 2 {
				at++
			}
		}
		if at > 0 {
			used++
		}
		if at > 1 {
			soon++
		}
		it := g.endpoint(2, Ready) // the list tells its start at last: that counts, not the call
		it.StartedAt = 990
		g.UpdateEndpoints(g.now, ListChanges, []Endpoint{it})
		if g.slowStartWeight(g.now, &g.servers[g.serverIndex(2)]) >= 1 {
			warm++
		}
	}
	if used < 55 {
		t.Errorf("used within 5 s by %d of 60", used)
	}
	if soon > 20 {
		t.Errorf("%d of 60 sent more than one flow to a cold server", soon)
	}
	if warm != 60 {
		t.Errorf("warm by the list's word in %d of 60", warm)
	}
}

// All nodes hear of a call back at once: what they send to the cold server in one window stays within the rule.
func TestPutBackOfAllNodes(t *testing.T) {
	for _, nodes := range []int{1, 3, 80, 1000} {
		sent, windows := 0, map[int]int{}
		for node := range nodes {
			g := newFixture(12, func(r *Settings) { r.Seed, r.Nodes, r.NodeNumber = uint64(node), nodes, node })
			g.establish(0, 6) // half a connection a server
			g.SetDisabled(g.now, g.serverIndex(2), true)
			g.now += 3
			g.SetDisabled(g.now, g.serverIndex(2), false)
			from := g.now
			for i := range 10 {
				g.now += 0.25
				if _, at := g.arrive(100+i, Arrival{ClientKey: keyFor(4, 12)}); at == 2 {
					sent++
					windows[int((g.now-from)/g.OverloadWindow)]++
				}
			}
		}
		// A warm server holds half a connection a node; a cold one bears a fifth of it, and the rule three times that.
		for w, count := range windows {
			if limit := max(2, float64(nodes)*0.5*0.2*3); float64(count) > limit {
				t.Errorf("%d nodes: %d connects in window %d, at most %.0f", nodes, count, w, limit)
			}
		}
	}
}
