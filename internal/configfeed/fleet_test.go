package configfeed

import (
	"fmt"
	"testing"
)

const (
	fleetServers    = 5
	fleetNodes      = 860
	zoneNodes       = 107
	nodeBudget      = 15000 // bytes a second
	observedSeconds = 8     // seconds that are looked at after a change
)

// newFleet returns a fleet of full size with 200 settings in force.
func newFleet(t testing.TB, seed uint64) *simulation {
	s := newSimulation(seed, rules{})
	s.startAll(fleetServers, fleetNodes)
	s.runFor(1)
	p := s.newProposal("first")
	for i := range 200 {
		p.Entries = append(p.Entries, Entry{Key: fmt.Sprintf("setting.%03d", i), Value: `"a value of usual length"`})
	}
	s.propose(p, nil)
	took := s.lastInForce(inForceWithin)
	if took > inForceWithin || len(s.accepted) == 0 {
		t.Fatalf("no state in force at the start: %v", s.writer().core.notReady())
	}
	return s
}

// A change that is proposed in the midst of a fault is in force in time at all nodes that can be reached.
func TestFleetHasChangeInForceInTime(t *testing.T) {
	restart := func(s *simulation, nodes []*simNode, within float64) {
		for _, n := range nodes {
			s.clock.After(s.random.Float64()*within, func() {
				n.kill()
				s.clock.After(1+s.random.Float64(), n.start)
			})
		}
	}
	cases := []struct {
		name   string
		before func(*simulation) // ahead of the change
		during func(*simulation) // right after it was proposed
	}{
		{"at rest", func(*simulation) {}, func(*simulation) {}},
		{"2% restarting", func(s *simulation) { restart(s, s.nodes[:fleetNodes/50], 3) }, func(*simulation) {}},
		{"107 restarting at once", func(s *simulation) { restart(s, s.nodes[:zoneNodes], 0.01) }, func(*simulation) {}},
		{"107 restarting at once with empty disks", func(s *simulation) {
			restart(s, s.nodes[:zoneNodes], 0.01)
			for _, n := range s.nodes[:zoneNodes] {
				s.clock.After(0.02, func() { n.state = State{} })
			}
		}, func(*simulation) {}},
		{"server killed", func(*simulation) {}, func(s *simulation) { s.servers[1].kill() }},
		{"server stopped", func(*simulation) {}, func(s *simulation) { s.servers[3].stop() }},
		{"only server of a region stopped", func(*simulation) {}, func(s *simulation) { s.servers[4].stop() }},
		{"server cut off from the others", func(*simulation) {}, func(s *simulation) {
			for _, other := range s.servers {
				s.setLinkCut("c1", other.name, true)
				s.setLinkCut(other.name, "c1", true)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newFleet(t, 1)
			c.before(s)
			s.runFor(0.5)
			s.propose(s.newProposal("change"), nil)
			s.clock.After(latency+0.0015, func() { c.during(s) }) // the writer's disk has it, nobody else
			took := s.lastInForce(observedSeconds)
			if len(s.accepted) != 2 {
				t.Fatal("the change was not accepted")
			}
			t.Logf("last in force after %.2f s", took)
			if took > inForceWithin {
				t.Errorf("last in force after %.2f s, want %g at most; behind: %.3v", took, inForceWithin,
					s.behind(s.writer().disk.State.Version))
			}
			s.requireNoViolation(t)
		})
	}
}

// All servers are killed as soon as a change is on the writer's disk. The next change is proposed from their start on
// until it is accepted.
func TestFleetHasChangeInForceAfterAllServersRestarted(t *testing.T) {
	s := newFleet(t, 2)
	s.propose(s.newProposal("before"), nil)
	s.runFor(latency + 0.0015)
	for _, server := range s.servers {
		server.kill()
	}
	s.runFor(5)
	for _, server := range s.servers {
		server.start()
	}
	var retry func(Outcome)
	retry = func(o Outcome) {
		if o.Kind != Accepted {
			s.clock.After(0.1, func() { s.propose(s.newProposal("after"), retry) })
		}
	}
	s.propose(s.newProposal("after"), retry)
	took := s.lastInForce(observedSeconds)
	t.Logf("last in force %.2f s after the servers' start", took)
	if took > inForceWithin {
		t.Errorf("last in force after %.2f s; not ready: %q", took, s.writer().core.notReady())
	}
	if revision := s.writer().disk.State.Version.Revision; revision != 3 {
		t.Errorf("revision %d, want 3 with the changes before and after", revision)
	}
	s.requireNoViolation(t)
}

func TestRegionHasChangeInForceInTimeAfterItsReturn(t *testing.T) {
	for _, region := range []string{"south", "west"} {
		t.Run(region, func(t *testing.T) {
			s := newFleet(t, 3)
			s.setRegionCut(region, true)
			s.runFor(20)
			s.propose(s.newProposal("change"), nil)
			s.runFor(40)
			for _, n := range s.nodes {
				if behind := n.state.Version != s.writer().disk.State.Version; behind != (n.region == region) {
					t.Fatalf("%s of %s at %s while %s is cut off", n.name, n.region, n.state.Version, region)
				}
			}
			s.setRegionCut(region, false)
			took := s.lastInForce(observedSeconds)
			t.Logf("last in force %.2f s after the return", took)
			if took > inForceWithin {
				t.Errorf("last in force after %.2f s", took)
			}
			s.requireNoViolation(t)
		})
	}
}

func TestFleetStaysWithinItsBandwidthBudget(t *testing.T) {
	s := newFleet(t, 4)
	measure := func(name string, seconds float64) {
		for _, n := range s.nodes {
			n.bytes = 0
		}
		s.runFor(seconds)
		most := 0
		sum := 0
		for _, n := range s.nodes {
			most = max(most, n.bytes)
			sum += n.bytes
		}
		t.Logf("%s: %.0f bytes a second and node, most %.0f", name, float64(sum)/seconds/fleetNodes,
			float64(most)/seconds)
		if float64(most)/seconds > nodeBudget {
			t.Errorf("%s: %.0f bytes a second at a node, want %d at most", name, float64(most)/seconds, nodeBudget)
		}
	}
	measure("at rest", 30)
	for i := range 10 { // ten changes in ten seconds
		s.clock.After(float64(i), func() { s.propose(s.newProposal(fmt.Sprint("burst", i)), nil) })
	}
	measure("ten changes in ten seconds", 10)
	s.setRegionCut("west", true)
	measure("a region cut off", 30)
	s.requireNoViolation(t)
}

// The followers of a region that was without its servers for a while return to them.
func TestFollowersReturnToTheirRegion(t *testing.T) {
	s := newFleet(t, 5)
	s.servers[1].kill()
	s.servers[4].kill()
	s.runFor(20)
	s.servers[1].start()
	s.servers[4].start()
	s.runFor(60)
	served := map[string]int{}
	for _, n := range s.nodes {
		served[n.core.View().Server]++
		server := s.serverNamed(n.core.View().Server)
		if server.region != n.region {
			t.Errorf("%s of %s still follows %s of %s", n.name, n.region, server.name, server.region)
		}
	}
	t.Logf("nodes by server: %v", served)
}
