package placement

import (
	"math"
	"testing"
)

// sendToNewServer adds flows at one point in time whose primary is the last of six servers, and returns how many of them are
// sent there.
func (b *testBalancer) sendToNewServer(flows int, midFlow bool) int {
	sent := 0
	for id := 100; id < 100+flows; id++ {
		if b.connectsTo(5, id, Arrival{ClientKey: clientKeyFor(5, 6), MidFlow: midFlow}) {
			sent++
		}
	}
	return sent
}

// A server that has just started fails if it gets as many flows as the others, and stays unused if it gets none. The attempts
// that one node sends in one overload window stay within its budget, which grows with the server's age.
func TestSlowStartBoundsOneNode(t *testing.T) {
	// The budget of one window is rounded randomly: no seed may be above the maximum, and the mean not below the minimum.
	const seeds = 20
	for _, c := range []struct {
		name       string
		age        float64 // seconds since the server started
		minMean    float64 // attempts, as the mean over all seeds
		maxSent    int     // attempts with any one seed
		midFlow    bool
		othersFull bool
	}{
		{"just started", 0, 1, 3, false, false},
		{"half of the slow start over", 5, 1, 12, false, false},
		{"just started, all flows mid-flow", 0, 1, 4, true, false},
		{"after the slow start", 10, 8, 40, false, false},
		{"just started, other servers full", 0, 0.25, 4, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			sum := 0
			for seed := range uint64(seeds) {
				b := newTestBalancer(5, func(s *Settings) {
					s.Seed = seed
					s.NodeNumber = int(seed)
				})
				b.now += float64(seed / 2) // seeds 2n and 2n+1 are the two nodes at the same time
				b.establish(0, 50)
				b.restartServer(5, b.now-c.age)
				if c.othersFull {
					b.rejectAt(5)
				}
				sent := b.sendToNewServer(40, c.midFlow)
				if sent > c.maxSent {
					t.Fatalf("seed %d: %d attempts, want at most %d", seed, sent, c.maxSent)
				}
				sum += sent
			}
			if float64(sum) < c.minMean*seeds*3/4 {
				t.Fatalf("%d attempts over %d seeds, want about %g for each", sum, seeds, c.minMean)
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

// A budget for each node would let a large fleet overload a server in slow start. All nodes together stay within one budget,
// for any number of nodes.
func TestSlowStartBoundsAllNodes(t *testing.T) {
	for _, nodes := range []int{1, 3, 30, 160, 1000} {
		for _, midFlow := range []bool{false, true} {
			sent := 0
			budget := 0.0
			for seed := range max(nodes, 30) { // at least 30 balancers, so that random variations even out
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
	perWindow := b.SlowStartFraction * connections * b.OverloadMultiple / 2 * b.OverloadWindow / b.SlowStartTime
	return max(b.SlowStartFraction, 1/float64(nodes), perWindow)
}

// If each node rounded its budget independently, the sum of all nodes would deviate from the budget by about the square root of
// the number of nodes and could overload a server in slow start. The attempts of all nodes in a window add up to the sum of
// their parts of the budget, and at most one more for each different size of part. In any two successive windows, which one
// window of the server may overlap, they exceed the budget by at most twice its square root plus two. The last case shows that
// the test detects independent rounding.
func TestSlowStartBudgetsAddUp(t *testing.T) {
	for _, c := range []struct {
		name       string
		fleet      windowFleet
		wantExcess bool // attempts exceed the bounds, as with independent rounding
	}{
		{"one node", windowFleet{nodes: 1}, false},
		{"5 nodes", windowFleet{nodes: 5}, false},
		{"20 nodes", windowFleet{nodes: 20}, false},
		{"30 nodes", windowFleet{nodes: 30}, false},
		{"300 nodes", windowFleet{nodes: 300}, false},
		{"30 nodes, some restart", windowFleet{nodes: 30, restarts: true}, false},
		{"300 nodes, some restart", windowFleet{nodes: 300, restarts: true}, false},
		{"30 nodes that round independently", windowFleet{nodes: 30, randomNumbers: true}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			worst, lowest, highest, last := 0.0, math.Inf(1), 0.0, 0.0
			for window := range 300 {
				parts, sent := c.fleet.attempts(window)
				budget := 2 * parts
				highest = max(highest, sent-parts)
				worst = max(worst, (sent+last-budget)/(2*math.Sqrt(budget)+2))
				lowest = min(lowest, sent-parts)
				last = sent
			}
			exceeded := worst > 1 || highest > 2
			tooFew := !c.fleet.restarts && !c.wantExcess && lowest < -3
			if exceeded != c.wantExcess || tooFew {
				t.Errorf("attempts less parts from %.1f to %.1f, largest excess %.2f of the allowed one", lowest, highest, worst)
			}
		})
	}
}

// windowFleet is a fleet in which each node sends as many attempts as it may to one server in slow start.
type windowFleet struct {
	nodes         int
	restarts      bool // a tenth of the nodes restart within each window
	randomNumbers bool // node numbers are random, so that the nodes round independently
}

// attempts returns the sum of all nodes' parts of the budget in a window, and the number of attempts that they sent.
func (w windowFleet) attempts(window int) (parts, sent float64) {
	const windowSeconds = 2.0
	for node := range w.nodes {
		number := node
		if w.randomNumbers {
			number = int(hash64(uint64(node+1000*window))) & math.MaxInt32
		}
		b := New(Settings{Nodes: w.nodes, NodeNumber: number, SlowStartFraction: 0.4, SlowStartTime: 8,
			OverloadMultiple: 4, OverloadWindow: windowSeconds})
		now := 1000 + windowSeconds*(float64(window)+0.5)
		if w.restarts && (node+window)%10 == 0 {
			b.StartedAt = now - windowSeconds/4
		}
		s := b.server(0)
		s.StartedAt = 999
		s.idHash = 7
		mean := 10.0 / float64(w.nodes) * (0.2 + 1.6*float64(node%2)) // some nodes have nine times the connections of others
		perWindow := b.SlowStartFraction * mean * b.OverloadMultiple / 2 * windowSeconds / b.SlowStartTime
		parts += max(1/float64(w.nodes), perWindow)
		for range 20 {
			if b.withinSlowStartBudget(now, s, b.SlowStartFraction, mean, 0) {
				s.slowStart.attempts++
				sent++
			}
		}
	}
	return parts, sent
}

// A node of a large fleet gets few flows and its part of the budget is far below one connection, so all nodes together could
// leave a server in slow start unused. They send it an even part of the flows times its weight, and no more than the overload
// multiple of that if all other servers reject flows.
func TestManyNodesUseServerInSlowStart(t *testing.T) {
	// A single window deviates by a twentieth, as rounding decides which nodes may send to several of the servers.
	const windows = 100
	for _, c := range []struct {
		name            string
		nodes           int
		othersFull      bool
		atLeast, atMost float64 // flows as a fraction of the even part
	}{
		{"one node", 1, false, 0.05, 1.5},
		{"three nodes", 3, false, 0.05, 1.5},
		{"80 nodes", 80, false, 0.6, 1.5},
		{"1000 nodes", 1000, false, 0.6, 1.5},
		{"80 nodes, other servers full: the overload multiple", 80, true, 0.4, 0.7},
		{"1000 nodes, other servers full: the overload multiple", 1000, true, 0.4, 0.7},
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
			fraction := float64(sent) / (windows * even)
			if fraction < c.atLeast || fraction > c.atMost {
				t.Errorf("sent %.2f of the even part, want %.1f to %.1f", fraction, c.atLeast, c.atMost)
			}
		})
	}
}

const (
	startedServers = 4  // servers in slow start, with a weight of 0.6
	startedAmong   = 12 // all servers
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

// The connections in flight decrease during an overload, so a budget that depended on them would shrink just when servers in
// slow start are needed. The budget is therefore computed from the quotas, if there are any, and from the longest list so far,
// because a shorter list does not increase the capacity of its servers.
func TestSlowStartBudgetFollowsQuotas(t *testing.T) {
	const place = 2
	for _, c := range []struct {
		name            string
		quotas          []float64
		removed         int
		atLeast, atMost int // attempts in eight windows
	}{
		{"no quotas: connections in flight", nil, 0, 0, 8},
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
			// The quotas allow 160 connections, 10 for each of 8 servers and 2 nodes. At a weight of a half, twice that number
			// spread over the slow-start time is 2.1 in a window of 2 s.
			if sent < 20*c.atLeast/8 || sent > 20*c.atMost/8 {
				t.Errorf("%d sent in 20 windows, want %d to %d", sent, 20*c.atLeast/8, 20*c.atMost/8)
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
