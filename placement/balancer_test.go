package placement

import (
	"math"
	"strconv"
	"testing"
)

// unusualInputCase gives a balancer settings or inputs that a host is not expected to send.
type unusualInputCase struct {
	name    string
	change  func(*Settings)
	servers int
	inject  func(*testBalancer)
}

var unusualInputCases = []unusualInputCase{
	{"no server", nil, 0, nil},
	{"a thousand servers", nil, 1000, nil},
	{"no nodes, tenants, service types or attempts", func(s *Settings) { *s = Settings{} }, 20, nil},
	{"unknown tenant and service type", func(s *Settings) { s.Quotas = []float64{1} }, 20, nil},
	{"quota close to zero", func(s *Settings) { s.Quotas = []float64{1e-12} }, 20, nil},
	{"unknown indices", nil, 20, useUnknownIndices},
	{"a load that is NaN", nil, 20, func(b *testBalancer) { b.ReportLoad(905, math.NaN()) }},
	{"a server listed twice with a new start time", nil, 20, func(b *testBalancer) {
		restarted := b.endpoint(3, Ready)
		restarted.StartedAt = b.now
		b.UpdateEndpoints(b.now, ListChanges, []Endpoint{restarted, restarted})
	}},
	{"an empty list, then a complete one", nil, 20, func(b *testBalancer) {
		b.UpdateEndpoints(b.now, ListFull, nil)
		b.advance(1)
		b.UpdateEndpoints(b.now, ListFull, []Endpoint{b.endpoint(1, Ready)})
	}},
}

func useUnknownIndices(b *testBalancer) {
	for _, id := range []int{-1, 0, 9999} {
		b.Established(id, 0)
		b.AttemptEnded(b.now, id, 0, ConnectionLost, true)
		b.ClientLeft(id)
		b.ReportLoad(id, 1)
		b.ReportDelay(b.now, id, 9)
		b.HealthChecked(b.now, id, Served, loadOnly(1))
	}
}

// A balancer that panics, or loses a flow, on invalid settings or inputs would take down a node or leave its clients without
// an answer. Every flow still gets a decision, and the state stays free of NaN.
func TestUnusualInputStillAnswersEveryFlow(t *testing.T) {
	for _, c := range unusualInputCases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBalancer(c.servers, c.change)
			b.restoreFlows(0, 10)
			if c.inject != nil {
				c.inject(b)
			}
			for id := range 50 {
				decision, _ := b.arrive(id, Arrival{Type: 7 * id, Tenant: id, ClientKey: uint64(id % 3),
					GroupKey: uint64(id % 2), Returning: id%5 == 0})
				if decision.Action == Connect {
					b.Established(id, 0)
					b.Established(id, 0) // counts once
				} else if decision.Action != Reject && decision.Action != Abort {
					t.Fatalf("no decision for flow %d", id)
				}
				b.advance(housekeepingInterval)
			}
			if c.servers > 0 && math.IsNaN(b.serverAt(0).assignedLoad) {
				t.Fatal("the assigned load of a server is NaN")
			}
		})
	}
}

// Nodes spread their polls, retries and choices by random numbers. Numbers that are not uniform, or similar for similar
// seeds, would make the nodes act together.
func TestRandomIsUniformAndDiffersBySeed(t *testing.T) {
	const samples = 20000
	first := newTestBalancer(0, nil)
	second := newTestBalancer(0, func(s *Settings) { s.Seed = 8 })
	var bins [10]int
	near := 0
	for range samples {
		x, y := first.random(), second.random()
		bins[int(x*10)]++
		if math.Abs(x-y) < 0.1 {
			near++
		}
	}
	for i, count := range bins {
		if count < 1850 || count > 2150 {
			t.Errorf("bin %d of 10 has %d of %d samples, want about 2000", i, count, samples)
		}
	}
	if near < 3500 || near > 4100 {
		t.Errorf("two seeds differ by less than 0.1 in %d of %d samples, want about 3800", near, samples)
	}
}

// The cost per server of a flow and of a wake must not grow with the number of servers.
func BenchmarkFlowByServers(b *testing.B) {
	for _, servers := range []int{10, 100, 1000} {
		b.Run(strconv.Itoa(servers), func(b *testing.B) {
			balancer := newTestBalancer(servers, nil)
			balancer.establish(0, 4*servers)
			for i := range balancer.servers { // so that each wake searches for connections to migrate
				balancer.servers[i].threshold.load = balancer.servers[i].assignedLoad / 2
			}
			b.ReportAllocs()
			flow := 4 * servers
			for key := flow; b.Loop(); key++ {
				balancer.now += housekeepingInterval
				balancer.Woken(balancer.now)
				arrival := Arrival{ClientKey: uint64(key + 1), GroupKey: uint64(key%servers + 1)}
				decision, _ := balancer.arrive(flow, arrival)
				if decision.Action == Connect {
					balancer.AttemptEnded(balancer.now, flow, 0, ConnectionLost, true)
				}
				balancer.Release(flow)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*servers), "ns/op/server")
		})
	}
}
