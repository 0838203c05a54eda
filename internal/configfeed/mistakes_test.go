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
		{"a follower takes an older version", rules{takeOlder: true}, playServerPutBack, "goes back"},
		{"digests are not looked at", rules{skipDigest: true}, playTwoLines, "never were accepted"},
		{"accepted before it is saved", rules{answerUnsaved: true}, playKillBeforeSave, "is lost"},
		{"the writer does not wait for a majority", rules{skipMajority: true}, playWriterPutBack, "is lost"},
		{"a repeated proposal is applied again", rules{forgetProposals: true}, playRepeat, "more than once"},
		{"a follower does not look for another server", rules{neverMoveOn: true}, playServerGone, "not in force"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			playMistake(rules{}, c.play).report(t)
			breaks := playMistake(c.wrong, c.play).breaks
			if !strings.Contains(strings.Join(breaks, "\n"), c.finds) {
				t.Errorf("the wrong core is not found out by %q: %q", c.finds, breaks)
			}
		})
	}
}

// playMistake plays a scene with a core and judges it.
func playMistake(r rules, scene func(*simulation)) *simulation {
	s := newSimulation(1, r)
	s.raise(5, 9)
	s.runFor(1)
	s.propose(s.edit("first"), nil)
	s.runFor(1)
	scene(s)
	s.judge()
	return s
}

// playServerPutBack puts a server's disk back to an older state while it reaches no other one.
func playServerPutBack(s *simulation) {
	s.servers[1].keepCopy()
	s.propose(s.edit("second"), nil)
	s.runFor(1)
	s.servers[1].putBack()
	for _, other := range s.servers {
		s.cut("c1", other.name, true)
	}
	s.servers[1].start()
	s.runFor(60)
}

// playTwoLines has a node see a revision of a line that is given up afterwards, and come back to a fleet in which the
// other line went on.
func playTwoLines(s *simulation) {
	for _, server := range s.servers {
		server.keepCopy()
	}
	s.propose(s.edit("given up"), nil)
	s.runFor(1)
	s.nodes[0].stop()
	for _, server := range s.servers {
		server.putBack()
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
	s.propose(s.edit("second"), nil)
	s.runFor(1)
	s.propose(s.edit("third"), nil)
	s.runFor(1)
}

// playKillBeforeSave kills the writer between a proposal and its save.
func playKillBeforeSave(s *simulation) {
	s.writer().saveTime = 0.5
	s.propose(s.edit("second"), nil)
	s.runFor(0.1)
	s.writer().kill()
}

// playWriterPutBack puts the writer's disk back and proposes at once.
func playWriterPutBack(s *simulation) {
	s.writer().keepCopy()
	s.propose(s.edit("second"), nil)
	s.runFor(1)
	s.writer().putBack()
	s.writer().start()
	s.propose(s.edit("third"), nil)
	s.runFor(1)
}

// playRepeat repeats a proposal with the version of now, as a caller does that did not hear the answer.
func playRepeat(s *simulation) {
	s.propose(s.edit("second"), nil)
	s.runFor(1)
	again := s.edit("second")
	again.Entries = append(again.Entries, Entry{Key: "other", Value: "1"})
	s.propose(again, nil)
	s.runFor(1)
}

// playServerGone has nodes unable to reach a server that goes on; the change has to reach them by another one.
func playServerGone(s *simulation) {
	s.servers[4].stop()
	s.propose(s.edit("second"), nil)
	if s.lastInForce(inForceWithin) > inForceWithin {
		s.broken("not in force with a server stopped: %v", s.behind(s.writer().disk.State.Version))
	}
}
