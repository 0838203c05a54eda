package configfeed

import (
	"strings"
	"testing"
)

// Each safety rule has a scenario that needs it: a fleet with all rules passes, and a mutant without the rule violates
// what the simulation checks.
func TestScenariosDetectMutants(t *testing.T) {
	cases := []struct {
		name      string
		mutant    rules
		scenario  func(*simulation)
		violation string
	}{
		{"follower accepts an older version", rules{acceptOlder: true}, restoreOldServerDisk, "goes back"},
		{"digests are not compared", rules{skipDigest: true}, followTwoHistories, "never were accepted"},
		{"proposal is accepted before it is saved", rules{answerUnsaved: true}, killWriterBeforeSave, "is lost"},
		{"writer does not wait for a majority", rules{skipMajority: true}, restoreOldWriterDisk, "is lost"},
		{"retried proposal is applied again", rules{forgetProposals: true}, repeatProposal, "more than once"},
		{"follower never switches its server", rules{neverSwitchServer: true}, stopOneServer, "not in force"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runScenario(rules{}, c.scenario).requireNoViolation(t)
			violations := runScenario(c.mutant, c.scenario).violations
			if !strings.Contains(strings.Join(violations, "\n"), c.violation) {
				t.Errorf("the mutant is not detected by %q: %q", c.violation, violations)
			}
		})
	}
}

// runScenario runs a scenario under rules on a fleet with one revision, and the checks after it.
func runScenario(r rules, scenario func(*simulation)) *simulation {
	s := newSimulation(1, r)
	s.startAll(5, 9)
	s.runFor(1)
	s.propose(s.newProposal("first"), nil)
	s.runFor(1)
	scenario(s)
	s.endFaultsAndCheck()
	return s
}

// restoreOldServerDisk restores an older state of a server's disk while the server reaches no other one.
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

// followTwoHistories has a node see a revision of a history that is abandoned by restoring older disks, and return to a
// fleet that has continued with other revisions.
func followTwoHistories(s *simulation) {
	for _, server := range s.servers {
		server.backUpDisk()
	}
	s.propose(s.newProposal("abandoned"), nil)
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

// killWriterBeforeSave kills the writer after a proposal and before its save.
func killWriterBeforeSave(s *simulation) {
	s.writer().saveDuration = 0.5
	s.propose(s.newProposal("second"), nil)
	s.runFor(0.1)
	s.writer().kill()
}

// restoreOldWriterDisk restores an older state of the writer's disk and proposes at once.
func restoreOldWriterDisk(s *simulation) {
	s.writer().backUpDisk()
	s.propose(s.newProposal("second"), nil)
	s.runFor(1)
	s.writer().killAndRestoreDisk()
	s.writer().start()
	s.propose(s.newProposal("third"), nil)
	s.runFor(1)
}

// repeatProposal repeats a proposal under the present version, as a caller does that got no answer.
func repeatProposal(s *simulation) {
	s.propose(s.newProposal("second"), nil)
	s.runFor(1)
	again := s.newProposal("second")
	again.Entries = append(again.Entries, Entry{Key: "other", Value: "1"})
	s.propose(again, nil)
	s.runFor(1)
}

// stopOneServer stops a server: a change has to reach its followers by another one.
func stopOneServer(s *simulation) {
	s.servers[4].stop()
	s.propose(s.newProposal("second"), nil)
	if s.lastInForce(inForceWithin) > inForceWithin {
		s.violated("not in force with a server stopped: %v", s.behind(s.writer().disk.State.Version))
	}
}
