package configfeed

import (
	"fmt"
	"testing"
)

const (
	fleetServers    = 5
	fleetNodes      = 860
	zoneNodes       = 107
	nodeBudget      = 15000 // bytes per second sent and received by a node
	observedSeconds = 8     // seconds of simulated time after a change
)

// newFleet returns a fleet of fleetServers servers and fleetNodes nodes with 200 settings in force.
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
		t.Fatalf("no state in force everywhere after the start; writer not ready: %q", s.writer().core.notReady())
	}
	return s
}

// A fault before or right after a proposal could delay the change beyond its deadline, for example because followers keep
// polling a failed server. The change has to be in force in time at all running nodes.
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
		before func(*simulation) // runs before the change is proposed
		during func(*simulation) // runs once the change is on the writer's disk and before any other server has it
	}{
		{"no fault", func(*simulation) {}, func(*simulation) {}},
		{"2% of the nodes restarting", func(s *simulation) { restart(s, s.nodes[:fleetNodes/50], 3) }, func(*simulation) {}},
		{"107 nodes restarting at once", func(s *simulation) { restart(s, s.nodes[:zoneNodes], 0.01) }, func(*simulation) {}},
		{"107 nodes restarting at once with empty disks", func(s *simulation) {
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
			s.clock.After(latency+0.0015, func() { c.during(s) }) // only the writer's disk has the change
			took := s.lastInForce(observedSeconds)
			if len(s.accepted) != 2 {
				t.Fatal("the change was not accepted")
			}
			t.Logf("last in force after %.2f s", took)
			if took > inForceWithin {
				t.Errorf("last in force after %.2f s, want at most %g s; nodes behind: %.3v", took, inForceWithin,
					s.behind(s.writer().disk.State.Version))
			}
			s.requireNoViolation(t)
		})
	}
}

// A restart of all servers could lose a change that only the writer had saved, or leave the writer not ready for long. All
// servers are killed as soon as a change is on the writer's disk. After their start the next change is proposed until it is
// accepted; both changes have to be in force in time.
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
		t.Errorf("last in force after %.2f s; writer not ready: %q", took, s.writer().core.notReady())
	}
	if revision := s.writer().disk.State.Version.Revision; revision != 3 {
		t.Errorf("revision %d, want 3: the initial state and the changes before and after the restart", revision)
	}
	s.requireNoViolation(t)
}

// A region that was cut off while a change was made could receive the change late, because its servers and nodes have long
// backoffs by then. It must get the change in time after the cut ends, and not before.
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
			t.Logf("last in force %.2f s after the cut ended", took)
			if took > inForceWithin {
				t.Errorf("last in force after %.2f s", took)
			}
			s.requireNoViolation(t)
		})
	}
}

// Polls and updates that are too frequent or too large would exceed the bandwidth budget of a node: without a change, in a
// burst of changes, or while a region is cut off and its followers retry.
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
		t.Logf("%s: %.0f bytes per second and node on average, %.0f at most", name, float64(sum)/seconds/fleetNodes,
			float64(most)/seconds)
		if float64(most)/seconds > nodeBudget {
			t.Errorf("%s: %.0f bytes per second at a node, want at most %d", name, float64(most)/seconds, nodeBudget)
		}
	}
	measure("no changes", 30)
	for i := range 10 { // ten changes in ten seconds
		s.clock.After(float64(i), func() { s.propose(s.newProposal(fmt.Sprint("burst", i)), nil) })
	}
	measure("ten changes in ten seconds", 10)
	s.setRegionCut("west", true)
	measure("a region cut off", 30)
	s.requireNoViolation(t)
}

// Followers of a region whose servers failed switch to other regions. Without the retry of the preferred server they would
// stay there after the servers of their region are back.
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
