package configfeed

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"gorseledge/internal/census"
)

// If a control server kept something of each revision, proposal, poll or follower, its memory would grow with its service. After
// twice as many of each everything that it holds is as large as before.
func TestNothingGrowsWithRevisions(t *testing.T) {
	const (
		rounds = 4200 // over the bounds of the history and of the followers
		spread = 1.5  // factor between two moments of something that is cut back now and then; a size that grows has 2
		few    = 8
	)
	s := readyServer(t)
	round := 0
	serve := func(count int) {
		for range count {
			round++
			proposeAndSave(t, s, Proposal{ID: fmt.Sprint("p", round), Entries: []Entry{{"a", fmt.Sprint("v", round)}}})
			have := s.State()
			held := Poll{Follower: fmt.Sprint("n", round), Have: have.Version, Digest: have.Digest, Wait: 2}
			s.Polled(float64(round), uint64(1000+round), held)
			s.PollClosed(float64(round), uint64(1000+round))
			s.Polled(float64(round), uint64(1000+round), Poll{Follower: fmt.Sprint("n", round)})
			s.Tick(float64(round))
		}
	}
	serve(rounds)
	before := census.Take(s)
	serve(rounds)
	after := census.Take(s)
	for _, path := range slices.Sorted(maps.Keys(after)) {
		if float64(after[path]) > spread*float64(before[path])+few {
			t.Errorf("%s: %d after %d rounds, %d after %d", path, before[path], rounds, after[path], 2*rounds)
		}
		if after[path] > few {
			t.Logf("%s: %d, then %d", path, before[path], after[path])
		}
	}
}
