package configfeed

import (
	"fmt"
	"strings"
	"testing"
)

// A follower that reconnects would leave its old poll behind, and held polls would accumulate. An older poll is answered, and
// a closed one is dropped.
func TestOnePollIsHeldPerFollower(t *testing.T) {
	s := readyServer(t)
	poll := Poll{Follower: "n", Have: s.State().Version, Digest: s.State().Digest, Wait: 2}
	s.Polled(3, 10, poll)
	assertEqual(t, updatesOf(s.Polled(3.5, 11, poll))[10].Kind, Unchanged)
	assertEqual(t, len(s.pending.byRequest), 1)
	assertEqual(t, updatesOf(s.Tick(5.4)), map[uint64]Update{})
	assertEqual(t, updatesOf(s.Tick(5.5))[11].Kind, Unchanged)
	s.Polled(6, 12, poll)
	s.PollClosed(6, 12)
	assertEqual(t, len(s.pending.byRequest)+len(s.pending.byFollower)+len(s.pending.queue), 0)
}

func TestUpdateKindFollowsFromThePoll(t *testing.T) {
	s := readyServer(t)
	first := s.State()
	proposeAndSave(t, s, Proposal{ID: "second", Entries: []Entry{{"a", "2"}, {"b", strings.Repeat("x", 99)}}})
	second := s.State()
	proposeAndSave(t, s, Proposal{ID: "third", Entries: []Entry{{"a", "3"}, {"b", strings.Repeat("x", 99)}}})
	third := s.State()
	refused := &Refusal{Version: third.Version, Reason: "no"}
	cases := []struct {
		name string
		poll Poll
		want UpdateKind
	}{
		{"same version", Poll{Have: third.Version, Digest: third.Digest}, Unchanged},
		{"no state", Poll{}, Snapshot},
		{"two behind", Poll{Have: first.Version, Digest: first.Digest, Server: true}, Changes},
		{"two behind, and a snapshot is smaller", Poll{Have: first.Version, Digest: first.Digest}, Snapshot},
		{"one behind", Poll{Have: second.Version, Digest: second.Digest}, Changes},
		{"one behind after a mismatch", Poll{Have: second.Version, Digest: second.Digest, NeedsSnapshot: true}, Snapshot},
		{"one behind in another history", Poll{Have: second.Version, Digest: 1}, Snapshot},
		{"server in another history", Poll{Have: second.Version, Digest: 1, Server: true}, Diverged},
		{"different entries under the same version", Poll{Have: third.Version, Digest: 1}, Diverged},
		{"newer version", Poll{Have: Version{Epoch: 1, Revision: 4}}, Behind},
		{"newest version refused", Poll{Have: second.Version, Digest: second.Digest, Refused: refused}, Unchanged},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.poll.Follower = "c"
			u := updatesOf(s.Polled(4, 70, c.poll))[70]
			assertEqual(t, u.Kind, c.want)
			assertEqual(t, u.Version, third.Version)
		})
	}
}

// Without the bound the history would grow forever. A follower whose version is no longer in it needs a snapshot.
func TestFollowerBeyondBoundedHistoryGetsSnapshot(t *testing.T) {
	s := readyServer(t)
	first := s.State()
	for i := range HistoryRevisions {
		proposeAndSave(t, s, Proposal{ID: fmt.Sprint(i), Entries: []Entry{{"a", fmt.Sprint(i)}}})
	}
	assertEqual(t, len(s.History()), HistoryRevisions)
	assertEqual(t, len(s.history.proposals), HistoryRevisions)
	u := updatesOf(s.Polled(4, 70, Poll{Follower: "c", Server: true, Have: first.Version, Digest: first.Digest}))[70]
	assertEqual(t, u.Kind, Changes)
	proposeAndSave(t, s, Proposal{ID: "one more", Entries: []Entry{{"a", "0"}}})
	u = updatesOf(s.Polled(4, 71, Poll{Follower: "c", Server: true, Have: first.Version, Digest: first.Digest}))[71]
	assertEqual(t, u.Kind, Snapshot)
}

// Building an update per follower would cost memory and time for each of hundreds of followers.
func TestFollowersOfTheSameVersionShareAnUpdate(t *testing.T) {
	s := readyServer(t)
	poll := Poll{Have: s.State().Version, Digest: s.State().Digest, Wait: 2}
	for i := range 3 {
		poll.Follower = fmt.Sprint("n", i)
		s.Polled(3, uint64(10+i), poll)
	}
	effects := s.Propose(3, 2, Proposal{ID: "second", IfVersion: s.State().Version, Entries: []Entry{{"a", "2"}}})
	updates := updatesOf(s.Saved(3, saveOf(t, effects).ID, nil))
	assertEqual(t, len(updates), 3)
	if &updates[10].Deltas[0] != &updates[11].Deltas[0] || &updates[10].Deltas[0] != &updates[12].Deltas[0] {
		t.Error("the deltas of an update are not shared")
	}
}

// Followers with ever new names would exhaust the memory of a server. The oldest statuses are evicted.
func TestFollowerStatusesAreBounded(t *testing.T) {
	s := readyServer(t)
	for i := range maxFollowers + 10 {
		s.Polled(float64(10+i), uint64(1000+i), Poll{Follower: fmt.Sprint("n", i)})
	}
	assertEqual(t, len(s.followers), maxFollowers)
	assertEqual(t, s.followers["n0"] == nil, true)
}

// BenchmarkPoll measures a poll by one of 172 followers that is held until its deadline and then answered.
func BenchmarkPoll(b *testing.B) {
	s := newTestServer(StoredLog{})
	s.peers = nil
	for i := 0; b.Loop(); i++ {
		now := float64(i) / 172 * 2
		s.Tick(now)
		s.Polled(now, uint64(i), Poll{Follower: fmt.Sprint("n", i%172), Wait: 2})
	}
}
