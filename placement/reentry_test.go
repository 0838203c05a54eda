package placement

import "testing"

// newEnabledBalancer returns the balancer of one of three nodes. Its server at place 2 was disabled for three seconds, lost
// its connections and was enabled again.
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

// A server that was enabled again is the primary of few flows and could stay empty for a long time. Each node soon sends it one
// flow, but hardly more, because the server is in slow start until the endpoint list shows its start time.
func TestEnabledServerSoonGetsOneFlow(t *testing.T) {
	const servers, seeds = 8, 60
	used, usedTwice, pastSlowStart := 0, 0, 0
	for seed := range uint64(seeds) {
		b := newEnabledBalancer(seed, servers)
		if weight := b.slowStartWeight(b.now, b.serverAt(2)); weight != b.SlowStartFraction {
			t.Fatalf("slow-start weight %v, want %v", weight, b.SlowStartFraction)
		}
		received := 0
		for i := range 6 { // one flow every 0.8 s; the server is the primary of none
			b.now += 0.8
			if _, place := b.arrive(100+i, Arrival{ClientKey: clientKeyFor(3, servers)}); place == 2 {
				received++
			}
		}
		if received > 0 {
			used++
		}
		if received > 1 {
			usedTwice++
		}
		b.restartServer(2, 990)
		if b.slowStartWeight(b.now, b.serverAt(2)) >= 1 {
			pastSlowStart++
		}
	}
	if used < 55 {
		t.Errorf("%d of 60 nodes sent a flow within 5 s, want at least 55", used)
	}
	if usedTwice > 20 {
		t.Errorf("%d of 60 nodes sent more than one flow to a server in slow start, want at most 20", usedTwice)
	}
	if pastSlowStart != seeds {
		t.Errorf("the listed start time ended the slow start on %d of 60 nodes", pastSlowStart)
	}
}

// All nodes are notified at once that a server is enabled again, and could overload it with their first flows. The flows that
// they send there in one overload window stay within its slow-start budget.
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
			b.establish(0, 6) // half a connection at each server
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
		// Each node has half a connection at a server past its slow start. The limit is that times a weight of a fifth and an
		// overload multiple of three.
		limit := max(2, float64(nodes)*0.5*0.2*3)
		for window, attempts := range byWindow {
			if float64(attempts) > limit {
				t.Errorf("%d nodes: %d attempts in window %d, want at most %.0f", nodes, attempts, window, limit)
			}
		}
	}
}
