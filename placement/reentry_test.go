package placement

import "testing"

// newEnabledBalancer returns one of three nodes whose server at place 2 was disabled for three seconds, lost its
// connections and was enabled again.
func newEnabledBalancer(seed uint64, servers int) *testBalancer {
	b := newTestBalancer(servers, func(s *Settings) {
		s.Seed = seed
		s.Nodes = 3
	})
	b.establish(0, 4*servers)
	disable(b)
	for id := range b.flows {
		if b.flows[id].inFlight && b.flows[id].server == b.serverIndex(2) {
			b.AttemptEnded(b.now, id, 0, Canceled, true)
		}
	}
	b.now += 3
	enable(b)
	return b
}

// A server that was enabled again is in slow start until a list names its start time, and one flow enters it soon.
func TestEnabledServerIsSoonEnteredByOneFlow(t *testing.T) {
	const servers, seeds = 8, 60
	used, usedTwice, complete := 0, 0, 0
	for seed := range uint64(seeds) {
		b := newEnabledBalancer(seed, servers)
		if weight := b.slowStartWeight(b.now, b.serverAt(2)); weight != b.SlowStartShare {
			t.Fatalf("slow-start weight %v", weight)
		}
		entered := 0
		for i := range 6 { // a flow each 0.8 s, none of them with its primary there
			b.now += 0.8
			if _, place := b.arrive(100+i, Arrival{ClientKey: clientKeyFor(3, servers)}); place == 2 {
				entered++
			}
		}
		if entered > 0 {
			used++
		}
		if entered > 1 {
			usedTwice++
		}
		b.restartServer(2, 990)
		if b.slowStartWeight(b.now, b.serverAt(2)) >= 1 {
			complete++
		}
	}
	if used < 55 {
		t.Errorf("used within 5 s by %d of 60", used)
	}
	if usedTwice > 20 {
		t.Errorf("%d of 60 sent more than one flow to a server in slow start", usedTwice)
	}
	if complete != seeds {
		t.Errorf("the listed start time counts in %d of 60", complete)
	}
}

// All nodes hear at once that a server is enabled again. What they send there in one window stays within its budget.
func TestEnabledServerIsNotOverloadedByAllNodes(t *testing.T) {
	const place, servers = 2, 12
	for _, nodes := range []int{1, 3, 80, 1000} {
		byWindow := map[int]int{}
		for node := range nodes {
			b := newTestBalancer(servers, func(s *Settings) {
				s.Seed = uint64(node)
				s.Nodes = nodes
				s.NodeNumber = node
			})
			b.establish(0, 6) // half a connection for each server
			disable(b)
			b.now += 3
			enable(b)
			enabledAt := b.now
			for i := range 10 {
				b.now += 0.25
				if _, at := b.arrive(100+i, Arrival{ClientKey: clientKeyFor(4, servers)}); at == place {
					byWindow[int((b.now-enabledAt)/b.OverloadWindow)]++
				}
			}
		}
		// Half a connection for each node at a server past its slow start, a weight of a fifth, and three times that.
		limit := max(2, float64(nodes)*0.5*0.2*3)
		for window, attempts := range byWindow {
			if float64(attempts) > limit {
				t.Errorf("%d nodes: %d attempts in window %d, at most %.0f", nodes, attempts, window, limit)
			}
		}
	}
}
