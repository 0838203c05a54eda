package placement

import (
	"math"
	"testing"
)

// sendToNewServer lets flows arrive within one window whose primary is the sixth of six servers, and returns how
// many were sent there.
func (b *testBalancer) sendToNewServer(flows int, midFlow bool) int {
	sent := 0
	for id := 100; id < 100+flows; id++ {
		if b.connectsTo(5, id, Arrival{ClientKey: clientKeyFor(5, 6), MidFlow: midFlow}) {
			sent++
		}
	}
	return sent
}

func TestSlowStartBoundsOneNode(t *testing.T) {
	const seeds = 20 // one window's budget is rounded by one draw: none may be over, and the mean not under
	for _, c := range []struct {
		name       string
		age        float64 // seconds since the server started
		least      float64 // in the mean
		most       int
		midFlow    bool
		othersFull bool
	}{
		{"just started", 0, 1, 3, false, false},
		{"half of the slow start", 5, 1, 12, false, false},
		{"just started, all arrive mid-flow", 0, 1, 4, true, false},
		{"after the slow start", 10, 8, 40, false, false},
		{"just started, the others full", 0, 0.25, 4, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			sum := 0
			for seed := range uint64(seeds) {
				b := newTestBalancer(5, func(s *Settings) {
					s.Seed = seed
					s.NodeNumber = int(seed)
				})
				b.now += float64(seed / 2) // both nodes have their part of each window
				b.establish(0, 50)
				b.restartServer(5, b.now-c.age)
				if c.othersFull {
					b.rejectAt(5)
				}
				sent := b.sendToNewServer(40, c.midFlow)
				if sent > c.most {
					t.Fatalf("seed %d: %d attempts, at most %d", seed, sent, c.most)
				}
				sum += sent
			}
			if float64(sum) < c.least*seeds*3/4 {
				t.Fatalf("%d attempts over %d seeds, want about %g each", sum, seeds, c.least)
			}
		})
	}
}

// rejectAt marks the servers at the first places as having rejected an attempt just now.
func (b *testBalancer) rejectAt(servers int) {
	for place := range servers {
		b.serverAt(place).rejectedAt = b.now
	}
}

// All nodes together keep to one budget, however many they are.
func TestSlowStartBoundsAllNodes(t *testing.T) {
	for _, nodes := range []int{1, 3, 30, 160, 1000} {
		for _, midFlow := range []bool{false, true} {
			sent := 0
			budget := 0.0
			for seed := range max(nodes, 30) { // several fleets of few nodes, so that chance evens out
				b := newTestBalancer(5, func(s *Settings) {
					s.Nodes = nodes
					s.Seed = uint64(seed)
					s.NodeNumber = seed
				})
				b.establish(0, max(1, 60/nodes))
				b.restartServer(5, b.now)
				sent += b.sendToNewServer(10, midFlow)
				budget += b.slowStartPart(nodes)
			}
			if float64(sent) > 1.5*budget+3 {
				t.Errorf("%d nodes, mid-flow %v: %d attempts in one window, budget %.1f", nodes, midFlow, sent, budget)
			}
		}
	}
}

// slowStartPart returns this node's part of the budget of a server that has just started, among five others.
func (b *testBalancer) slowStartPart(nodes int) float64 {
	connections := 0.0 // of one of the others
	for i := range b.servers {
		connections += float64(b.servers[i].inFlight) / 5
	}
	perWindow := b.SlowStartShare * connections * b.OverloadMultiple / 2 * b.OverloadWindow / b.SlowStartTime
	return max(b.SlowStartShare, 1/float64(nodes), perWindow)
}

// The attempts of all nodes in a window add up to their parts, and one more for each size of part that there is. They
// are never over the budget by more than chance allows, twice its root and two, also in a window that begins
// anywhere. The last case shows that draws of each node's own, whose sum strays by the root of the number of nodes,
// would be found.
func TestSlowStartDrawsAddUp(t *testing.T) {
	for _, c := range []struct {
		name      string
		fleet     windowFleet
		wantStray bool // more than one over the parts, as if each node drew by itself
	}{
		{"one node", windowFleet{nodes: 1}, false},
		{"5 nodes", windowFleet{nodes: 5}, false},
		{"20 nodes", windowFleet{nodes: 20}, false},
		{"30 nodes", windowFleet{nodes: 30}, false},
		{"300 nodes", windowFleet{nodes: 300}, false},
		{"30 nodes, some restart", windowFleet{nodes: 30, restarts: true}, false},
		{"300 nodes, some restart", windowFleet{nodes: 300, restarts: true}, false},
		{"30 nodes that draw by themselves", windowFleet{nodes: 30, randomNumbers: true}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			worst, least, stray, last := 0.0, math.Inf(1), 0.0, 0.0
			for window := range 300 {
				parts, sent := c.fleet.attempts(window)
				budget := 2 * parts
				stray = max(stray, sent-parts)
				worst = max(worst, (sent+last-budget)/(2*math.Sqrt(budget)+2))
				least = min(least, sent-parts)
				last = sent
			}
			strayed := worst > 1 || stray > 2
			tooFew := !c.fleet.restarts && !c.wantStray && least < -3
			if strayed != c.wantStray || tooFew {
				t.Errorf("%.1f to %.1f beside the parts, %.2f of what chance allows", least, stray, worst)
			}
		})
	}
}

// windowFleet is a fleet of which each node sends what it may to one server in slow start.
type windowFleet struct {
	nodes         int
	restarts      bool // a tenth of the nodes start within each window
	randomNumbers bool // node numbers are not consecutive, so that the nodes' draws are independent
}

// attempts returns the sum of all nodes' parts of the budget in a window, and what they sent.
func (w windowFleet) attempts(window int) (parts, sent float64) {
	const windowSeconds = 2.0
	for node := range w.nodes {
		number := node
		if w.randomNumbers {
			number = int(hash64(uint64(node+1000*window))) & math.MaxInt32
		}
		b := New(Settings{Nodes: w.nodes, NodeNumber: number, SlowStartShare: 0.4, SlowStartTime: 8,
			OverloadMultiple: 4, OverloadWindow: windowSeconds})
		now := 1000 + windowSeconds*(float64(window)+0.5)
		if w.restarts && (node+window)%10 == 0 {
			b.StartedAt = now - windowSeconds/4
		}
		s := b.server(0)
		s.StartedAt = 999
		s.idHash = 7
		mean := 10.0 / float64(w.nodes) * (0.2 + 1.6*float64(node%2)) // some nodes see nine times what others do
		perWindow := b.SlowStartShare * mean * b.OverloadMultiple / 2 * windowSeconds / b.SlowStartTime
		parts += max(1/float64(w.nodes), perWindow)
		for range 20 {
			if b.withinSlowStartBudget(now, s, b.SlowStartShare, mean, 0) {
				s.slowStart.attempts++
				sent++
			}
		}
	}
	return parts, sent
}

// One of many nodes sees a flow now and then, and its part of the budget is far below one connection. All nodes
// together give a server in slow start its even share by its weight, and no more than the overload multiple of it
// where every other server rejects flows.
func TestSlowStartShareOfManyNodes(t *testing.T) {
	const windows = 100 // one strays by a twentieth, as the draws decide which nodes have a part at several servers
	for _, c := range []struct {
		name        string
		nodes       int
		othersFull  bool
		least, most float64 // of the even share
	}{
		{"one node", 1, false, 0.05, 1.5},
		{"three nodes", 3, false, 0.05, 1.5},
		{"80 nodes", 80, false, 0.6, 1.5},
		{"1000 nodes", 1000, false, 0.6, 1.5},
		{"80 nodes, the others full: the multiple of the share", 80, true, 0.4, 0.7},
		{"1000 nodes, the others full: the multiple of the share", 1000, true, 0.4, 0.7},
	} {
		t.Run(c.name, func(t *testing.T) {
			flows := max(2*c.nodes, 200) // at all nodes in each window
			sent := 0
			for seed := range windows * c.nodes {
				sent += sentToStartedServers(seed, c.nodes, flows/c.nodes, c.othersFull)
			}
			even := 0.6 * float64(flows)
			if !c.othersFull {
				even = even * startedServers / startedAmong
			}
			share := float64(sent) / (windows * even)
			if share < c.least || share > c.most {
				t.Errorf("%.2f of the even share, want %.1f to %.1f", share, c.least, c.most)
			}
		})
	}
}

const (
	startedServers = 4 // that have a weight of 0.6
	startedAmong   = 12
)

// sentToStartedServers returns how many flows one node sends in one window to the servers in slow start.
func sentToStartedServers(seed, nodes, flows int, othersFull bool) int {
	b := newTestBalancer(startedAmong, func(s *Settings) {
		s.Nodes = nodes
		s.Seed = uint64(seed)
		s.NodeNumber = seed % nodes
	})
	b.now += b.OverloadWindow * float64(seed/nodes)
	var list []Endpoint
	for place := range startedAmong {
		item := b.endpoint(place, Ready)
		if place < startedServers {
			item.StartedAt = b.now - 5
			list = append(list, item)
		} else if othersFull {
			b.serverAt(place).rejectedAt = b.now
		}
	}
	b.UpdateEndpoints(b.now, ListChanges, list)
	sent := 0
	for id := range flows {
		decision, place := b.arrive(id, Arrival{ClientKey: hash64(uint64(seed*1000 + id))})
		if decision.Action == Connect && place < startedServers {
			sent++
		}
	}
	return sent
}

// The budget is reckoned by the quotas where there are any: what is in flight sinks during an overload, just when
// servers in slow start are needed. A list that got shorter does not make its servers larger.
func TestSlowStartBudgetFollowsQuotas(t *testing.T) {
	const place = 2
	for _, c := range []struct {
		name        string
		quotas      []float64
		removed     int
		least, most int // in eight windows
	}{
		{"no quotas: what is in flight", nil, 0, 0, 8},
		{"quotas", []float64{100, 60}, 0, 9, 24},
		{"half of the list removed", []float64{100, 60}, 4, 9, 24},
	} {
		t.Run(c.name, func(t *testing.T) {
			sent := 0
			for seed := range uint64(20) {
				b := newTestBalancer(8, func(s *Settings) {
					s.Seed = seed
					s.Quotas = c.quotas
					s.OverloadMultiple = 4
				})
				for i := range c.removed {
					b.changeState(7-i, Removed)
				}
				b.restartServer(place, b.now-4)
				b.overloadAllBut(place, 8)
				for id := range 40 { // within one window
					if b.connectsTo(place, id, Arrival{ClientKey: uint64(id + 1)}) {
						sent++
					}
				}
			}
			// 160 over 8 servers and 2 nodes are 10; with a weight of a half, twice of that spread over the slow start comes
			// to 2.1 in a window of 2 s.
			if sent < 20*c.least/8 || sent > 20*c.most/8 {
				t.Errorf("%d sent in 20 windows", sent)
			}
		})
	}
}

// overloadAllBut marks all servers but the one at a place as overloaded for a long time.
func (b *testBalancer) overloadAllBut(place, servers int) {
	for other := range servers {
		if other != place {
			b.serverAt(other).threshold.overloadedAt = b.now + 99
		}
	}
}
