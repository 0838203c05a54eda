package configfeed

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// fault is a fault, or another event such as a proposal, that is injected into a simulation.
type fault struct {
	after  float64 // seconds after the previous fault
	name   string
	inject func(*simulation)
}

// generateFault returns a random fault. The number makes the IDs of its proposals unique.
func generateFault(t *rapid.T, s *simulation, number int) fault {
	server := s.servers[rapid.IntRange(0, len(s.servers)-1).Draw(t, "server")]
	node := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
	other := s.servers[rapid.IntRange(0, len(s.servers)-1).Draw(t, "other")]
	on := rapid.Bool().Draw(t, "on")
	faults := []fault{
		{name: "propose", inject: func(s *simulation) { s.propose(s.newProposal(fmt.Sprint("p", number)), nil) }},
		{name: "propose two at once", inject: func(s *simulation) {
			s.propose(s.newProposal(fmt.Sprint("p", number, "a")), nil)
			s.propose(s.newProposal(fmt.Sprint("p", number, "b")), nil)
		}},
		{name: "repeat a proposal", inject: func(s *simulation) {
			p := s.newProposal(fmt.Sprint("p", number))
			s.propose(p, nil)
			s.clock.After(0.3, func() { // as a client does that received no answer and reads the newest state
				again := s.newProposal(p.ID)
				again.Entries = append(again.Entries, Entry{Key: "again." + p.ID, Value: "1"})
				s.propose(again, nil)
			})
		}},
		{name: "kill " + server.name, inject: func(*simulation) { server.kill() }},
		{name: "start " + server.name, inject: func(*simulation) { server.startIfDown() }},
		{name: "stop " + server.name, inject: func(*simulation) { server.stop() }},
		{name: "continue " + server.name, inject: func(*simulation) { server.resume() }},
		{name: "back up disk of " + server.name, inject: func(*simulation) { server.backUpDisk() }},
		{name: "restore disk of " + server.name, inject: func(*simulation) { server.killAndRestoreDisk(); server.start() }},
		{name: "wipe disk of " + server.name, inject: func(*simulation) { server.killAndWipeDisk(); server.start() }},
		{name: "fail saves of " + server.name, inject: func(*simulation) { server.failSaves = on }},
		{name: "slow saves of " + server.name, inject: func(*simulation) { server.saveDuration = 0.5 }},
		{name: "cut " + server.name + " " + other.name, inject: func(s *simulation) { s.setLinkCut(server.name, other.name, on) }},
		{name: "cut " + node.name + " " + server.name, inject: func(s *simulation) { s.setLinkCut(node.name, server.name, on) }},
		{name: "cut " + server.name + " " + node.name, inject: func(s *simulation) { s.setLinkCut(server.name, node.name, on) }},
		{name: "cut region " + server.region, inject: func(s *simulation) { s.setRegionCut(server.region, on) }},
		{name: "loss", inject: func(s *simulation) { s.loss = 0.3 }},
		{name: "no loss", inject: func(s *simulation) { s.loss = 0 }},
		{name: "restart " + node.name, inject: func(*simulation) { node.kill(); node.start() }},
		{name: "stop " + node.name, inject: func(*simulation) { node.stop() }},
		{name: "continue " + node.name, inject: func(*simulation) { node.resume() }},
	}
	chosen := faults[rapid.IntRange(0, len(faults)-1).Draw(t, "step")]
	chosen.after = rapid.Float64Range(0, 2).Draw(t, "after")
	return chosen
}

// startIfDown starts a server that is not running.
func (n *simServer) startIfDown() {
	if !n.up {
		n.start()
	}
}

// endFaults ends all faults, and starts or resumes all processes that are down or stopped.
func (s *simulation) endFaults() {
	s.loss = 0
	clear(s.cutLinks)
	for _, server := range s.servers {
		server.failSaves, server.saveDuration = false, 0
		server.startIfDown()
		server.resume()
	}
	for _, node := range s.nodes {
		if !node.up {
			node.start()
		}
		node.resume()
	}
}

// endFaultsAndCheck ends all faults and checks the properties of a healthy fleet: the writer's state is in force everywhere
// in time, if necessary after a new epoch; it holds every accepted proposal exactly once; and another proposal is accepted
// and put in force in time.
func (s *simulation) endFaultsAndCheck() {
	s.endFaults()
	took := s.lastInForce(inForceWithin)
	if reason := s.writer().core.notReady(); reason != "" {
		s.newEpoch()
		took = s.lastInForce(inForceWithin)
	}
	if took > inForceWithin {
		s.recordViolation("not in force everywhere within %g s after the faults; nodes behind: %v", inForceWithin,
			s.behind(s.writer().disk.State.Version))
	}
	s.checkAcceptedProposals()
	before := len(s.accepted)
	s.propose(s.newProposal("final"), func(o Outcome) {
		if o.Kind != Accepted {
			s.recordViolation("a proposal after all faults has the outcome %s: %s", o.Kind, o.Detail)
		}
	})
	took = s.lastInForce(inForceWithin)
	if took > inForceWithin || len(s.accepted) == before {
		s.recordViolation("the final change is not in force everywhere; nodes behind: %v", s.behind(s.writer().disk.State.Version))
	}
}

// checkAcceptedProposals checks that the writer's state holds every accepted proposal, and that each was applied once.
func (s *simulation) checkAcceptedProposals() {
	for _, p := range s.accepted {
		if !s.writer().stores(p) {
			s.recordViolation("proposal %s was accepted as %s and is lost", p.id, p.version)
		}
	}
	applied := map[string]int{}
	for _, r := range s.writer().disk.History {
		applied[r.Proposal]++
		if r.Proposal != "" && applied[r.Proposal] > 1 {
			s.recordViolation("proposal %s was applied more than once", r.Proposal)
		}
	}
}

// runWithRandomFaults injects random faults into a simulation and runs the final checks.
func runWithRandomFaults(t *rapid.T, r rules) *simulation {
	s := newSimulation(rapid.Uint64().Draw(t, "seed"), r)
	s.startAll(5, 9)
	s.runFor(1)
	s.propose(s.newProposal("first"), nil)
	s.runFor(1)
	for number := range rapid.IntRange(1, 40).Draw(t, "steps") {
		next := generateFault(t, s, number)
		s.runFor(next.after)
		t.Logf("%.2f s: %s", s.clock.Now-simStart, next.name)
		next.inject(s)
	}
	s.endFaultsAndCheck()
	return s
}

// Combinations of faults could make a node go back to an older version or install entries that the writer never saved, lose
// an accepted proposal although the disks that hold it survive, or prevent the newest state from being in force everywhere
// after the faults.
func TestSafetyAndConvergenceUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if s := runWithRandomFaults(t, rules{}); len(s.violations) > 0 {
			t.Fatalf("%d violations, first: %s", len(s.violations), s.violations[0])
		}
	})
}
