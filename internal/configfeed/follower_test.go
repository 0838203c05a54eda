package configfeed

import (
	"fmt"
	"testing"
)

var testServers = []ServerAddress{{"c0", "c0", "north"}, {"c1", "c1", "north"}, {"c2", "c2", "south"}}

// newTestFollower returns a follower in the region north that may poll testServers.
func newTestFollower(have State) *Follower {
	return NewFollower(0, FollowerConfig{Name: "n", Region: "north", Servers: testServers, Seed: 1}, have)
}

// nextPoll advances to the follower's next poll, and returns its time and the poll.
func nextPoll(t *testing.T, f *Follower) (float64, SendPoll) {
	t.Helper()
	for range 4 {
		at := f.Next()
		for _, effect := range f.Tick(at) {
			if send, ok := effect.(SendPoll); ok {
				return at, send
			}
		}
	}
	t.Fatal("no poll")
	return 0, SendPoll{}
}

// mustState returns a state of epoch 1.
func mustState(t *testing.T, revision uint64, entries ...Entry) State {
	t.Helper()
	s, err := NewState(Version{Epoch: 1, Revision: revision}, entries)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// updateBetween returns the update that leads from one state to another.
func updateBetween(from, to State) Update {
	d := Delta{From: from.Version, To: to.Version, Digest: to.Digest}
	d.Set, d.Delete = difference(from.Entries, to.Entries)
	return Update{Kind: Changes, Version: to.Version, Deltas: []Delta{d}}
}

// A poll that is sent before a state is in force would report a version that the node does not have yet, or lead to the same
// update again.
func TestNextPollWaitsUntilTheStateIsInForce(t *testing.T) {
	first, second := mustState(t, 1, Entry{"a", "1"}, Entry{"b", "1"}), mustState(t, 2, Entry{"b", "2"}, Entry{"c", "1"})
	f := newTestFollower(first)
	at, poll := nextPoll(t, f)
	effects := f.Answered(at, poll.Request, updateBetween(first, second))
	assertEqual(t, len(effects), 1)
	assertEqual(t, effects[0].(Install).State, second)
	assertEqual(t, effects[0].(Install).Changed, []string{"a", "b", "c"})
	assertEqual(t, len(f.Tick(at+100)), 0)
	assertEqual(t, f.View().Version, first.Version)
	sent := f.Installed(at+100, second.Version)[0].(SendPoll)
	assertEqual(t, sent.Poll.Have, second.Version)
	assertEqual(t, f.View().InForceSince, at+100)
}

// A follower that cannot apply a delta would never reach the newest state if it kept asking for deltas.
func TestDeltaThatCannotBeAppliedIsFollowedByAPollForASnapshot(t *testing.T) {
	first, second := mustState(t, 1, Entry{"a", "1"}), mustState(t, 2, Entry{"a", "2"})
	good := updateBetween(first, second).Deltas[0]
	wrongDigest, wrongFrom, missing, old := good, good, good, good
	wrongDigest.Digest++
	wrongFrom.From.Revision = 7
	missing.Delete = []string{"x"}
	old.To = first.Version
	for name, d := range map[string]Delta{"digest": wrongDigest, "from": wrongFrom, "delete": missing, "to": old} {
		t.Run(name, func(t *testing.T) {
			f := newTestFollower(first)
			at, poll := nextPoll(t, f)
			assertEqual(t, len(f.Answered(at, poll.Request, Update{Kind: Changes, Deltas: []Delta{d}})), 0)
			at, poll = nextPoll(t, f)
			assertEqual(t, poll.Poll.NeedsSnapshot, true)
			effects := f.Answered(at, poll.Request, Update{Kind: Snapshot, Version: second.Version, State: &second})
			assertEqual(t, effects[0].(Install).State, second)
			assertEqual(t, f.Installed(at, second.Version)[0].(SendPoll).Poll.NeedsSnapshot, false)
		})
	}
}

// A server whose disk was restored from a backup, or a corrupt answer, could make a follower go back or install wrong
// entries. The follower keeps its state and switches to another server.
func TestFollowerIgnoresOlderAndInvalidStates(t *testing.T) {
	have := mustState(t, 5, Entry{"a", "1"})
	older, same, bad := mustState(t, 4, Entry{"a", "2"}), mustState(t, 5, Entry{"a", "2"}), mustState(t, 6, Entry{"a", "2"})
	bad.Digest++
	tooHigh := mustState(t, 6, Entry{"a", "2"})
	tooHigh.Version.Epoch = MaxEpoch + 1
	for name, state := range map[string]State{"older": older, "same": same, "digest": bad, "epoch": tooHigh} {
		t.Run(name, func(t *testing.T) {
			f := newTestFollower(have)
			at, poll := nextPoll(t, f)
			assertEqual(t, len(f.Answered(at, poll.Request, Update{Kind: Snapshot, Version: state.Version, State: &state})), 0)
			_, next := nextPoll(t, f)
			assertEqual(t, next.Poll.Have, have.Version)
			assertEqual(t, next.Server != poll.Server, true)
		})
	}
}

// A follower that accepted a refused version again would try to install it with every poll. It reports the refusal instead
// and installs the next version.
func TestRefusedVersionIsReportedAndNotAcceptedAgain(t *testing.T) {
	first, second, third := mustState(t, 1, Entry{"a", "1"}), mustState(t, 2, Entry{"a", "2"}), mustState(t, 3, Entry{"a", "3"})
	f := newTestFollower(first)
	at, poll := nextPoll(t, f)
	f.Answered(at, poll.Request, updateBetween(first, second))
	r := Refusal{Version: second.Version, Reason: "unknown key"}
	sent := f.Refuse(at, r)[0].(SendPoll)
	assertEqual(t, sent.Poll.Refused, &r)
	assertEqual(t, sent.Poll.Have, first.Version)
	assertEqual(t, len(f.Answered(at+2, sent.Request, updateBetween(first, second))), 0)
	at, poll = nextPoll(t, f)
	effects := f.Answered(at, poll.Request, updateBetween(first, third))
	assertEqual(t, effects[0].(Install).State, third)
	assertEqual(t, f.Installed(at, third.Version)[0].(SendPoll).Poll.Refused, nil)
}

// A follower that did not return after a failure of its region's servers would load the links between regions for good. It
// polls the servers of its region first, and tries the preferred one again after minPreferredRetryDelay.
func TestFollowerPrefersAndReturnsToItsRegion(t *testing.T) {
	f := newTestFollower(mustState(t, 1, Entry{"a", "1"}))
	var order []string
	at, poll := 0.0, SendPoll{}
	for range 3 {
		at, poll = nextPoll(t, f)
		order = append(order, poll.Server.Region)
		if len(order) < 3 {
			f.Failed(at, poll.Request)
		}
	}
	assertEqual(t, order, []string{"north", "north", "south"})
	begin := at
	for poll.Server.Region == "south" {
		assertEqual(t, at < begin+60, true)
		send := f.Answered(at+poll.Poll.Wait, poll.Request, Update{Kind: Unchanged})[0].(SendPoll)
		at, poll = at+poll.Poll.Wait, send
	}
	assertEqual(t, at > begin+minPreferredRetryDelay, true)
}

// A long first poll or backoff at each failed server would delay a change beyond its deadline.
func TestFirstPollAtAServerIsShortAndBackoffIsBounded(t *testing.T) {
	f := newTestFollower(mustState(t, 1, Entry{"a", "1"}))
	at, poll := nextPoll(t, f)
	assertEqual(t, poll.Poll.Wait, 0)
	assertEqual(t, poll.Timeout, answerAllowance)
	long := f.Answered(at, poll.Request, Update{Kind: Unchanged})[0].(SendPoll)
	assertEqual(t, long.Poll.Wait, DefaultWait)
	assertEqual(t, long.Timeout, DefaultWait+answerAllowance)
	effects := f.Tick(at + long.Timeout)
	assertEqual(t, effects[0].(CancelPoll).Request, long.Request)
	for range 50 {
		at, poll = nextPoll(t, f)
		f.Failed(at, poll.Request)
		if gap := f.Next() - at; gap > maxBackoff {
			t.Errorf("the next poll is %g s later, want at most maxBackoff", gap)
		}
	}
}

// Two processes with the same name end each other's polls at the server, and would poll in a tight loop. The backoff after
// an early answer bounds their rate.
func TestTwoFollowersOfOneNameDoNotPollInALoop(t *testing.T) {
	f := newTestFollower(mustState(t, 1, Entry{"a", "1"}))
	at, poll := nextPoll(t, f)
	f.Answered(at, poll.Request, Update{Kind: Unchanged})
	begin, polls := at, 0
	request := f.poll.request
	for at < begin+60 {
		f.Answered(at, request, Update{Kind: Unchanged}) // immediately, although the server may hold the poll
		at, poll = nextPoll(t, f)
		request = poll.Request
		polls++
	}
	if polls > 150 {
		t.Errorf("%d polls in a minute, want at most 150", polls)
	}
}

// An isolated server may never receive the newest version, so a follower that stayed with it would fall behind.
func TestFollowerSwitchesFromIsolatedServer(t *testing.T) {
	f := newTestFollower(mustState(t, 1, Entry{"a", "1"}))
	at, poll := nextPoll(t, f)
	f.Answered(at, poll.Request, Update{Kind: Unchanged, Isolated: true})
	_, next := nextPoll(t, f)
	assertEqual(t, next.Server != poll.Server, true)
}

// A state that was corrupted on disk would count as the current version and never be replaced by the correct entries.
func TestFollowerIgnoresCorruptStateAtItsStart(t *testing.T) {
	bad := mustState(t, 1, Entry{"a", "1"})
	bad.Entries = []Entry{{"a", "2"}}
	assertEqual(t, newTestFollower(bad).View().Version, Version{})
}

// A fault in merging a delta would leave a follower with other entries than the writer.
func TestApplyingADeltaResultsInTheTargetState(t *testing.T) {
	var before, after []Entry
	for i := range 20 {
		key := fmt.Sprintf("k%02d", i)
		if i%3 != 0 {
			before = append(before, Entry{key, "1"})
		}
		if i%4 != 0 {
			after = append(after, Entry{key, fmt.Sprint(1 + i%2)})
		}
	}
	from, to := mustState(t, 1, before...), mustState(t, 2, after...)
	got, err := from.Apply(updateBetween(from, to).Deltas[0])
	if err != nil {
		t.Fatal(err)
	}
	assertEqual(t, got, to)
}
