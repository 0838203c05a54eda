package placement

import (
	"slices"
	"testing"
)

// gossip returns a step in which another node reports the load of the server at a place.
func gossip(place int, load float64) func(*testBalancer) {
	return func(b *testBalancer) { b.GossipReceived(b.now, b.serverIndex(place), load) }
}

// New flows at a server that is already highly loaded delay the messages of its connections. A server whose load was reported
// to be high, to this node or to another, gets new flows only after all others.
func TestServerWithHighLoadComesLast(t *testing.T) {
	key := clientKeyFor(1, 4)
	group := groupKeyFor(4, 1, 3)
	for _, c := range []struct {
		name    string
		steps   []func(*testBalancer)
		arrival Arrival
		want    int // place
	}{
		{"high load: next server by id", []func(*testBalancer){gossip(1, 0.9)}, Arrival{ClientKey: key}, 2},
		{"load not high", []func(*testBalancer){gossip(1, 0.7)}, Arrival{ClientKey: key}, 1},
		{"high, and low again", []func(*testBalancer){gossip(1, 0.9), gossip(1, 0.5)}, Arrival{ClientKey: key}, 1},
		{"high load reported too long ago", []func(*testBalancer){gossip(1, 0.9), func(b *testBalancer) {
			b.now += reportValidity
		}}, Arrival{ClientKey: key}, 1},
		{"high load at a group's home: its second home", []func(*testBalancer){gossip(1, 0.9), func(b *testBalancer) {
			b.overload.level = 1
			b.overload.uncertainty = 0.5
		}}, Arrival{ClientKey: 5, GroupKey: group}, 3},
		{"high load at all servers: the least loaded",
			[]func(*testBalancer){gossip(0, 0.9), gossip(1, 1.2), gossip(2, 0.8), gossip(3, 0.85)}, Arrival{ClientKey: key}, 2},
		{"mid-flow connections ignore it", []func(*testBalancer){gossip(1, 0.9)}, Arrival{ClientKey: key, MidFlow: true}, 1},
		{"high load in this node's own health check", []func(*testBalancer){func(b *testBalancer) {
			b.HealthChecked(b.now, b.serverIndex(1), Served, loadOnly(0.9))
		}}, Arrival{ClientKey: key}, 2},
		{"the report of a failed health check is ignored", []func(*testBalancer){func(b *testBalancer) {
			b.HealthChecked(b.now, b.serverIndex(1), Failed, loadOnly(0.9))
		}}, Arrival{ClientKey: key}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBalancer(4, func(s *Settings) {
				s.LoadReports = true
				s.LoadGossip = true
			})
			for _, step := range c.steps {
				step(b)
			}
			if _, place := b.arrive(0, c.arrival); place != c.want {
				t.Errorf("sent to place %d, want %d", place, c.want)
			}
		})
	}
}

// Gossip goes to every node and costs each of them work, so in a large fleet needless messages add up. A node passes on only
// loads that the others do not expect: high ones, again before they expire, and the end of a high load.
func TestGossipOnlyOfUnexpectedLoads(t *testing.T) {
	for _, c := range []struct {
		name     string
		gossip   bool
		received float64   // load received from another node before; 0 for none
		loads    []float64 // loads reported by this node's health checks
		interval float64   // time between the health checks in seconds
		want     []float64 // loads that this node gossips
	}{
		{"low", true, 0, []float64{0.2, 0.7}, 1, nil},
		{"high, once", true, 0, []float64{0.9, 0.95, 0.9}, 1, []float64{0.9}},
		{"high for a long time", true, 0, []float64{0.9, 0.9, 0.9, 0.9}, 4, []float64{0.9, 0.9}},
		{"high, and low again", true, 0, []float64{0.9, 0.5, 0.5}, 1, []float64{0.9, 0.5}},
		{"slightly below high", true, 0, []float64{0.9, 0.7}, 1, []float64{0.9}},
		{"already received", true, 0.8, []float64{0.9}, 1, nil},
		{"received, and low again", true, 0.8, []float64{0.3}, 1, []float64{0.3}},
		{"not allowed", false, 0, []float64{0.9, 0.5}, 1, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBalancer(4, func(s *Settings) {
				s.LoadReports = true
				s.LoadGossip = c.gossip
			})
			index := b.serverIndex(1)
			if c.received > 0 {
				b.GossipReceived(b.now, index, c.received)
			}
			var sent []float64
			for _, load := range c.loads {
				b.now += c.interval - housekeepingInterval
				b.HealthChecked(b.now, index, Served, loadOnly(load))
				for _, decision := range b.advance(housekeepingInterval) {
					if decision.Action == GossipLoad && decision.Server == index {
						sent = append(sent, decision.Load)
					}
				}
			}
			if !slices.Equal(sent, c.want) {
				t.Errorf("gossiped %v, want %v", sent, c.want)
			}
		})
	}
}

// Nodes that start at the same time would request load reports from all servers at once. The first requests are spread.
func TestFirstLoadReportsAreSpread(t *testing.T) {
	requested := 0
	for seed := range uint64(20) {
		b := newTestBalancer(50, func(s *Settings) {
			s.LoadReports = true
			s.Nodes = 100
			s.Seed = hash64(seed)
		})
		b.advance(5)
		for i := range b.servers {
			if b.servers[i].check.inFlight {
				requested++
			}
		}
	}
	// A hundred nodes together check each server twice a second, so in 5 s the 20 nodes of the test request 100 reports from
	// the 1,000 pairs of a node and a server.
	if requested < 50 || requested > 160 {
		t.Errorf("%d of 1,000 requested in the first 5 s, want about 100", requested)
	}
}
