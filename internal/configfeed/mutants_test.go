package configfeed

import (
	"strings"
	"testing"
)

// A simulation whose checks miss a fault proves nothing. For each safety rule there is a scenario that a fleet with all
// rules passes, and in which a mutant without the rule causes the expected violation.
func TestScenariosDetectMutants(t *testing.T) {
	cases := []struct {
		name      string
		mutant    rules
		scenario  func(*simulation)
		violation string
	}{
		{"follower accepts an older version", rules{acceptOlder: true}, restoreOldServerDisk, "replaced version"},
		{"digests are not compared", rules{skipDigest: true}, followTwoHistories, "that were never saved"},
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
				t.Errorf("the mutant is not detected: want a violation with %q, got %q", c.violation, violations)
			}
		})
	}
}

// runScenario runs a scenario on a fleet that follows the given rules and has one revision, then the final checks.
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

// restoreOldServerDisk restores a server's disk from an older backup while the server can reach no other server.
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

// followTwoHistories suspends a node that has installed a revision. The disks of all servers and other nodes are restored
// from before that revision, other revisions follow, and then the node resumes.
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

// killWriterBeforeSave kills the writer after it received a proposal and before the save ends.
func killWriterBeforeSave(s *simulation) {
	s.writer().saveDuration = 0.5
	s.propose(s.newProposal("second"), nil)
	s.runFor(0.1)
	s.writer().kill()
}

// restoreOldWriterDisk restores the writer's disk from an older backup and proposes immediately after the restart.
func restoreOldWriterDisk(s *simulation) {
	s.writer().backUpDisk()
	s.propose(s.newProposal("second"), nil)
	s.runFor(1)
	s.writer().killAndRestoreDisk()
	s.writer().start()
	s.propose(s.newProposal("third"), nil)
	s.runFor(1)
}

// repeatProposal retries an accepted proposal under the version that it created, as a client does that received no answer
// and then read the newest state.
func repeatProposal(s *simulation) {
	s.propose(s.newProposal("second"), nil)
	s.runFor(1)
	again := s.newProposal("second")
	again.Entries = append(again.Entries, Entry{Key: "other", Value: "1"})
	s.propose(again, nil)
	s.runFor(1)
}

// stopOneServer suspends a server, so that its followers have to get a change from another server.
func stopOneServer(s *simulation) {
	s.servers[4].stop()
	s.propose(s.newProposal("second"), nil)
	if s.lastInForce(inForceWithin) > inForceWithin {
		s.recordViolation("not in force with a server stopped: %v", s.behind(s.writer().disk.State.Version))
	}
}
