package configfeed

import (
	"strings"
	"testing"
)

// TestCheckersFireOnWrongCores plays, for each rule of safety, what it guards against: the right core passes, and the
// core without the rule is found out.
func TestCheckersFireOnWrongCores(t *testing.T) {
	cases := []struct {
		name  string
		wrong rules
		play  func(*simulation)
		finds string
	}{
		{"a follower takes an older version", rules{acceptOlder: true}, restoreOldServerDisk, "goes back"},
		{"digests are not looked at", rules{skipDigest: true}, followTwoHistories, "never were accepted"},
		{"accepted before it is saved", rules{answerUnsaved: true}, killWriterBeforeSave, "is lost"},
		{"the writer does not wait for a majority", rules{skipMajority: true}, restoreOldWriterDisk, "is lost"},
		{"a repeated proposal is applied again", rules{forgetProposals: true}, repeatProposal, "more than once"},
		{"a follower does not look for another server", rules{neverSwitchServer: true}, stopOneServer, "not in force"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runScenario(rules{}, c.play).requireNoViolation(t)
			breaks := runScenario(c.wrong, c.play).violations
			if !strings.Contains(strings.Join(breaks, "\n"), c.finds) {
				t.Errorf("the wrong core is not found out by %q: %q", c.finds, breaks)
			}
		})
	}
}

// runScenario plays a scene with a core and judges it.
func runScenario(r rules, scene func(*simulation)) *simulation {
	s := newSimulation(1, r)
	s.startAll(5, 9)
	s.runFor(1)
	s.propose(s.newProposal("first"), nil)
	s.runFor(1)
	scene(s)
	s.endFaultsAndCheck()
	return s
}

// restoreOldServerDisk puts a server's disk back to an older state while it reaches no other one.
func restoreOldServerDisk(s *simulation) {
	s.servers[1].backUpDisk()
	s.propose(s.newProposal("second"), nil)
	s.runFor(1)
	s.servers[1].killAndRestoreDisk()
	for _, other := range s.servers {
		s.setLinkCut("c1", other.name, true)
	}
	s.servers[1].start()
	s.runFor(60)
}

// followTwoHistories has a node see a revision of a line that is given up afterwards, and come back to a fleet in which the
// other line went on.
func followTwoHistories(s *simulation) {
	for _, server := range s.servers {
		server.backUpDisk()
	}
	s.propose(s.newProposal("given up"), nil)
	s.runFor(1)
	s.nodes[0].stop()
	for _, server := range s.servers {
		server.killAndRestoreDisk()
	}
	for _, node := range s.nodes[1:] {
		node.kill()
		node.state = s.servers[0].disk.State
	}
	for _, server := range s.servers {
		server.start()
	}
	for _, node := range s.nodes[1:] {
		node.start()
	}
	s.runFor(2)
	s.propose(s.newProposal("second"), nil)
	s.runFor(1)
	s.propose(s.newProposal("third"), nil)
	s.runFor(1)
}

// killWriterBeforeSave kills the writer between a proposal and its save.
func killWriterBeforeSave(s *simulation) {
	s.writer().saveDuration = 0.5
	s.propose(s.newProposal("second"), nil)
	s.runFor(0.1)
	s.writer().kill()
}

// restoreOldWriterDisk puts the writer's disk back and proposes at once.
func restoreOldWriterDisk(s *simulation) {
	s.writer().backUpDisk()
	s.propose(s.newProposal("second"), nil)
	s.runFor(1)
	s.writer().killAndRestoreDisk()
	s.writer().start()
	s.propose(s.newProposal("third"), nil)
	s.runFor(1)
}

// repeatProposal repeats a proposal with the version of now, as a caller does that did not hear the answer.
func repeatProposal(s *simulation) {
	s.propose(s.newProposal("second"), nil)
	s.runFor(1)
	again := s.newProposal("second")
	again.Entries = append(again.Entries, Entry{Key: "other", Value: "1"})
	s.propose(again, nil)
	s.runFor(1)
}

// stopOneServer has nodes unable to reach a server that goes on; the change has to reach them by another one.
func stopOneServer(s *simulation) {
	s.servers[4].stop()
	s.propose(s.newProposal("second"), nil)
	if s.lastInForce(inForceWithin) > inForceWithin {
		s.violated("not in force with a server stopped: %v", s.behind(s.writer().disk.State.Version))
	}
}
