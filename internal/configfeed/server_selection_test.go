package configfeed

import (
	"math"
	"math/rand/v2"
	"testing"
)

// newTestSelection returns a selection of three servers, two of them in the follower's region.
func newTestSelection() serverSelection {
	return newServerSelection(0, testServers, "north", rand.New(rand.NewPCG(1, 1)))
}

// A selection that skipped a server could leave a follower without one although a server is available.
func TestSelectionAdvancesThroughAllServers(t *testing.T) {
	s := newTestSelection()
	var regions []string
	for range testServers {
		regions = append(regions, s.current().Region)
		s.advance(0, false)
	}
	assertEqual(t, regions, []string{"north", "north", "south"})
	assertEqual(t, s.index, 0)
	assertEqual(t, s.allFailed(), true)
}

// The mutant build must not switch its server, or the rig's tests would detect nothing.
func TestSelectionThatMustStayKeepsItsServer(t *testing.T) {
	s := newTestSelection()
	s.advance(0, true)
	assertEqual(t, s.index, 0)
	assertEqual(t, s.failures, 1)
}

// Without the return, a follower would stay at a server of another region after a short failure of its own server.
func TestSelectionReturnsToPreferredServerAfterDelay(t *testing.T) {
	s := newTestSelection()
	s.advance(0, false)
	s.keep(10)
	spread := preferredRetryJitter / 2
	delay := s.preferredRetryAt - 10
	if delay < 2*minPreferredRetryDelay*(1-spread) || delay > 2*minPreferredRetryDelay*(1+spread) {
		t.Errorf("the preferred server is tried again after %g s", delay)
	}
	s.returnToPreferred(s.preferredRetryAt - 0.001)
	assertEqual(t, s.index, 1)
	s.returnToPreferred(s.preferredRetryAt)
	assertEqual(t, s.index, 0)
	assertEqual(t, s.answered, false)
}

// A delay that doubles without a bound would keep a follower away from its region long after the preferred server is back.
func TestSelectionBoundsDelayOfPreferredServer(t *testing.T) {
	s := newTestSelection()
	for range 20 * len(testServers) {
		s.advance(0, false)
	}
	assertEqual(t, s.preferredRetryDelay, maxPreferredRetryDelay)
	s.keep(0)
	assertEqual(t, s.preferredRetryDelay, minPreferredRetryDelay)
	assertEqual(t, math.IsInf(s.preferredRetryAt, 1), true)
}
