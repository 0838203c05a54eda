package placement

import (
	"slices"
	"testing"
)

// gossip lets another node report the load of the server at a place.
func gossip(place int, load float64) func(*testBalancer) {
	return func(b *testBalancer) { b.GossipReceived(b.now, b.serverIndex(place), load) }
}

// A server whose load was reported to be high, to this node or another, takes new flows after all that are not.
func TestServerWithHighLoadComesLast(t *testing.T) {
	key := clientKeyFor(1, 4)
	group := groupKeyFor(4, 1, 3)
	for _, c := range []struct {
		name    string
		steps   []func(*testBalancer)
		arrival Arrival
		want    int // place
	}{
		{"high: next by id", []func(*testBalancer){gossip(1, 0.9)}, Arrival{ClientKey: key}, 2},
		{"not high", []func(*testBalancer){gossip(1, 0.7)}, Arrival{ClientKey: key}, 1},
		{"high, and low again", []func(*testBalancer){gossip(1, 0.9), gossip(1, 0.5)}, Arrival{ClientKey: key}, 1},
		{"reported long ago", []func(*testBalancer){gossip(1, 0.9), func(b *testBalancer) {
			b.now += reportValidity
		}}, Arrival{ClientKey: key}, 1},
		{"a group's home: its second", []func(*testBalancer){gossip(1, 0.9), func(b *testBalancer) {
			b.overload.level = 1
			b.overload.uncertainty = 0.5
		}}, Arrival{ClientKey: 5, GroupKey: group}, 3},
		{"all high: the least loaded", []func(*testBalancer){gossip(0, 0.9), gossip(1, 1.2), gossip(2, 0.8), gossip(3, 0.85)},
			Arrival{ClientKey: key}, 2},
		{"mid-flow does not heed it", []func(*testBalancer){gossip(1, 0.9)}, Arrival{ClientKey: key, MidFlow: true}, 1},
		{"found by this node's own health check", []func(*testBalancer){func(b *testBalancer) {
			b.HealthChecked(b.now, b.serverIndex(1), Served, loadOnly(0.9))
		}}, Arrival{ClientKey: key}, 2},
		{"a health check that failed reports nothing", []func(*testBalancer){func(b *testBalancer) {
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
				t.Errorf("sent to %d, want %d", place, c.want)
			}
		})
	}
}

// Gossip goes to every node and each pays for it, so only what the others do not expect is passed on.
func TestGossipIsWhatOtherNodesDoNotExpect(t *testing.T) {
	for _, c := range []struct {
		name     string
		gossip   bool
		received float64   // from another node before, 0 for nothing
		loads    []float64 // that this node's health checks bring
		interval float64   // of the health checks in seconds
		want     []float64
	}{
		{"low", true, 0, []float64{0.2, 0.7}, 1, nil},
		{"high, once", true, 0, []float64{0.9, 0.95, 0.9}, 1, []float64{0.9}},
		{"high for long", true, 0, []float64{0.9, 0.9, 0.9, 0.9}, 4, []float64{0.9, 0.9}},
		{"high, and low again", true, 0, []float64{0.9, 0.5, 0.5}, 1, []float64{0.9, 0.5}},
		{"hardly below high", true, 0, []float64{0.9, 0.7}, 1, []float64{0.9}},
		{"received already", true, 0.8, []float64{0.9}, 1, nil},
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
				t.Errorf("sent %v, want %v", sent, c.want)
			}
		})
	}
}

// Nodes that start together do not ask all servers for a load report in one moment.
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
	// A hundred nodes ask each server twice a second. In 5 s a fifth of them do so for 100 of the 1,000 pairs.
	if requested < 50 || requested > 160 {
		t.Errorf("%d of 1,000 requested in the first 5 s, want about 100", requested)
	}
}
