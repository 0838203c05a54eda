package configfeed

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// step is one thing that befalls a simulation.
type step struct {
	after float64 // seconds since the last one
	name  string
	do    func(*simulation)
}

// drawStep draws a step for so many servers and nodes.
func drawStep(t *rapid.T, s *simulation, number int) step {
	server := s.servers[rapid.IntRange(0, len(s.servers)-1).Draw(t, "server")]
	node := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
	other := s.servers[rapid.IntRange(0, len(s.servers)-1).Draw(t, "other")]
	on := rapid.Bool().Draw(t, "on")
	steps := []step{
		{name: "propose", do: func(s *simulation) { s.propose(s.edit(fmt.Sprint("p", number)), nil) }},
		{name: "propose two at once", do: func(s *simulation) {
			s.propose(s.edit(fmt.Sprint("p", number, "a")), nil)
			s.propose(s.edit(fmt.Sprint("p", number, "b")), nil)
		}},
		{name: "repeat a proposal", do: func(s *simulation) {
			p := s.edit(fmt.Sprint("p", number))
			s.propose(p, nil)
			s.clock.After(0.3, func() { // as a caller that heard nothing and looks what is in force now
				again := s.edit(p.ID)
				again.Entries = append(again.Entries, Entry{Key: "again." + p.ID, Value: "1"})
				s.propose(again, nil)
			})
		}},
		{name: "kill " + server.name, do: func(*simulation) { server.kill() }},
		{name: "start " + server.name, do: func(*simulation) { server.startAgain() }},
		{name: "stop " + server.name, do: func(*simulation) { server.stop() }},
		{name: "continue " + server.name, do: func(*simulation) { server.resume() }},
		{name: "copy disk of " + server.name, do: func(*simulation) { server.keepCopy() }},
		{name: "put back disk of " + server.name, do: func(*simulation) { server.putBack(); server.start() }},
		{name: "wipe " + server.name, do: func(*simulation) { server.wipe(); server.start() }},
		{name: "fail saves of " + server.name, do: func(*simulation) { server.failSave = on }},
		{name: "slow saves of " + server.name, do: func(*simulation) { server.saveTime = 0.5 }},
		{name: "cut " + server.name + " " + other.name, do: func(s *simulation) { s.cut(server.name, other.name, on) }},
		{name: "cut " + node.name + " " + server.name, do: func(s *simulation) { s.cut(node.name, server.name, on) }},
		{name: "cut " + server.name + " " + node.name, do: func(s *simulation) { s.cut(server.name, node.name, on) }},
		{name: "cut region " + server.region, do: func(s *simulation) { s.cutRegion(server.region, on) }},
		{name: "loss", do: func(s *simulation) { s.loss = 0.3 }},
		{name: "no loss", do: func(s *simulation) { s.loss = 0 }},
		{name: "restart " + node.name, do: func(*simulation) { node.kill(); node.start() }},
		{name: "stop " + node.name, do: func(*simulation) { node.stop() }},
		{name: "continue " + node.name, do: func(*simulation) { node.resume() }},
	}
	chosen := steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]
	chosen.after = rapid.Float64Range(0, 2).Draw(t, "after")
	return chosen
}

// startAgain starts a server that does not run.
func (n *simServer) startAgain() {
	if !n.up {
		n.start()
	}
}

// endFaults mends everything.
func (s *simulation) endFaults() {
	s.loss = 0
	clear(s.cuts)
	for _, server := range s.servers {
		server.failSave, server.saveTime = false, 0
		server.startAgain()
		server.resume()
	}
	for _, node := range s.nodes {
		if !node.up {
			node.start()
		}
		node.resume()
	}
}

// judge ends all faults and checks what has to hold then: the writer's state is in force everywhere in time, where need
// be after an operator drew a new epoch; it holds every proposal that was accepted, once; and a new change goes through.
func (s *simulation) judge() {
	s.endFaults()
	took := s.lastInForce(inForceWithin)
	if reason := s.writer().core.notReady(); reason != "" {
		s.newEpoch()
		took = s.lastInForce(inForceWithin)
	}
	if took > inForceWithin {
		s.broken("not in force within %g s after the faults: %v", inForceWithin, s.behind(s.writer().disk.State.Version))
	}
	s.checkPromises()
	before := len(s.yes)
	s.propose(s.edit("final"), func(o Outcome) {
		if o.Kind != Accepted {
			s.broken("after all faults a proposal is answered %s: %s", o.Kind, o.Detail)
		}
	})
	if took := s.lastInForce(inForceWithin); took > inForceWithin || len(s.yes) == before {
		s.broken("the last change is not in force: %v", s.behind(s.writer().disk.State.Version))
	}
}

// checkPromises checks that the writer's state holds what was accepted, and each proposal once.
func (s *simulation) checkPromises() {
	for _, p := range s.yes {
		if !s.writer().keeps(p) {
			s.broken("%s was accepted as %s and is lost", p.id, p.version)
		}
	}
	applied := map[string]int{}
	for _, r := range s.writer().disk.History {
		if applied[r.Proposal]++; r.Proposal != "" && applied[r.Proposal] > 1 {
			s.broken("%s was applied more than once", r.Proposal)
		}
	}
}

// play draws faults and judges what comes of them.
func play(t *rapid.T, r rules) *simulation {
	s := newSimulation(rapid.Uint64().Draw(t, "seed"), r)
	s.raise(5, 9)
	s.runFor(1)
	s.propose(s.edit("first"), nil)
	s.runFor(1)
	for number := range rapid.IntRange(1, 40).Draw(t, "steps") {
		next := drawStep(t, s, number)
		s.runFor(next.after)
		t.Logf("%.2f s: %s", s.clock.Now-simStart, next.name)
		next.do(s)
	}
	s.judge()
	return s
}

// TestSafetyAndConvergenceUnderDrawnFaults checks that no node goes back or holds half a change, that nothing accepted
// is lost while the writer's disk lives, and that all is in force in time after the faults.
func TestSafetyAndConvergenceUnderDrawnFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if s := play(t, rules{}); len(s.breaks) > 0 {
			t.Fatalf("%d broken, first: %s", len(s.breaks), s.breaks[0])
		}
	})
}
