package configfeed

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// readyServer returns the writer of three servers, which has heard another one, with one revision on disk.
func readyServer(t *testing.T) *Server {
	t.Helper()
	s := newTestServer(Stored{})
	s.Polled(1, 100, Poll{Follower: "b", Server: true})
	proposeAndSave(t, s, Proposal{ID: "first", Entries: []Entry{{"a", "1"}}})
	return s
}

func newTestServer(stored Stored) *Server {
	servers := []ServerAddress{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	return NewServer(0, ServerConfig{Name: "a", Servers: servers, Writer: "a"}, stored)
}

// proposeAndSave has a proposal accepted.
func proposeAndSave(t *testing.T, s *Server, p Proposal) Version {
	t.Helper()
	p.IfVersion = s.State().Version
	save := saveOf(t, s.Propose(2, 1, p))
	for _, effect := range s.Saved(2, save.ID, nil) {
		if answer, ok := effect.(AnswerProposal); ok && answer.Outcome.Kind == Accepted {
			return answer.Outcome.Version
		}
	}
	t.Fatal("not accepted")
	return Version{}
}

func saveOf(t *testing.T, effects []ServerEffect) Save {
	t.Helper()
	for _, effect := range effects {
		if save, ok := effect.(Save); ok {
			return save
		}
	}
	t.Fatalf("no save among %+v", effects)
	return Save{}
}

// outcomes returns the outcomes of proposals by request.
func outcomes(effects []ServerEffect) map[uint64]OutcomeKind {
	kinds := map[uint64]OutcomeKind{}
	for _, effect := range effects {
		if answer, ok := effect.(AnswerProposal); ok {
			kinds[answer.Request] = answer.Outcome.Kind
		}
	}
	return kinds
}

// updatesOf returns the answers to polls by request.
func updatesOf(effects []ServerEffect) map[uint64]Update {
	updates := map[uint64]Update{}
	for _, effect := range effects {
		if answer, ok := effect.(AnswerPoll); ok {
			updates[answer.Request] = answer.Update
		}
	}
	return updates
}

func assertEqual[T any](t *testing.T, got, want T) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestProposalIsAcceptedOnlyOnceItIsSaved(t *testing.T) {
	s := readyServer(t)
	p := Proposal{ID: "second", IfVersion: s.State().Version, Entries: []Entry{{"a", "2"}}}
	held := s.Polled(3, 50, Poll{Follower: "n", Have: s.State().Version, Digest: s.State().Digest, Wait: 2})
	assertEqual(t, len(updatesOf(held)), 0)
	effects := s.Propose(3, 2, p)
	assertEqual(t, outcomes(effects), map[uint64]OutcomeKind{})
	effects = s.Saved(3, saveOf(t, effects).ID, nil)
	assertEqual(t, outcomes(effects), map[uint64]OutcomeKind{2: Accepted})
	u := updatesOf(effects)[50]
	assertEqual(t, u.Kind, Changes)
	assertEqual(t, u.Deltas[0].Set, []Entry{{"a", "2"}})
}

func TestFailedSaveLeavesTheStateAsItIs(t *testing.T) {
	s := readyServer(t)
	before := s.State()
	save := saveOf(t, s.Propose(3, 2, Proposal{ID: "second", IfVersion: before.Version, Entries: []Entry{{"a", "2"}}}))
	assertEqual(t, outcomes(s.Saved(3, save.ID, errors.New("disk is full"))), map[uint64]OutcomeKind{2: Failed})
	assertEqual(t, s.State(), before)
	proposeAndSave(t, s, Proposal{ID: "second", Entries: []Entry{{"a", "2"}}})
}

func TestOneSaveAtATimeAndCompareAndSet(t *testing.T) {
	s := readyServer(t)
	v := s.State().Version
	save := saveOf(t, s.Propose(3, 2, Proposal{ID: "x", IfVersion: v, Entries: []Entry{{"a", "2"}}}))
	assertEqual(t, len(s.Propose(3, 3, Proposal{ID: "y", IfVersion: v, Entries: []Entry{{"a", "3"}}})), 0)
	assertEqual(t, len(s.Propose(3, 4, Proposal{ID: "x", IfVersion: v, Entries: []Entry{{"a", "2"}}})), 0)
	assertEqual(t, outcomes(s.Saved(3, save.ID, nil)), map[uint64]OutcomeKind{2: Accepted, 3: Conflict, 4: Accepted})
}

func TestRepeatedProposalIsAppliedOnceAlsoAfterARestart(t *testing.T) {
	s := readyServer(t)
	v := proposeAndSave(t, s, Proposal{ID: "second", Entries: []Entry{{"a", "2"}}})
	proposeAndSave(t, s, Proposal{ID: "third", Entries: []Entry{{"a", "3"}}})
	s = newTestServer(Stored{State: s.State(), History: s.History()})
	effects := s.Propose(9, 7, Proposal{ID: "second", IfVersion: s.State().Version, Entries: []Entry{{"a", "2"}}})
	assertEqual(t, effects, []ServerEffect{AnswerProposal{7, Outcome{Kind: Accepted, Version: v}}})
}

func TestProposalsThatAreNotTaken(t *testing.T) {
	big := strings.Repeat("x", MaxChangeBytes)
	cases := []struct {
		name    string
		entries []Entry
		want    OutcomeKind
	}{
		{"the same entries", []Entry{{"a", "1"}}, NoChange},
		{"a key twice", []Entry{{"a", "1"}, {"a", "2"}}, Invalid},
		{"an empty key", []Entry{{"", "1"}}, Invalid},
		{"a large change", []Entry{{"a", big}}, TooLarge},
		{"a large state", []Entry{{"a", strings.Repeat("x", MaxStateBytes+1)}}, TooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := readyServer(t)
			p := Proposal{ID: "second", IfVersion: s.State().Version, Entries: c.entries}
			assertEqual(t, outcomes(s.Propose(3, 2, p)), map[uint64]OutcomeKind{2: c.want})
		})
	}
}

func TestOnlyTheWriterTakesProposals(t *testing.T) {
	s := newTestServer(Stored{})
	s.config.Writer = "b"
	assertEqual(t, s.Propose(1, 2, Proposal{ID: "x"}), []ServerEffect{AnswerProposal{2, Outcome{Kind: NotWriter, Writer: "b"}}})
}

func TestWriterTakesProposalsOnlyWhileItKnowsToBeNewest(t *testing.T) {
	stored := readyServer(t).State()
	proposal := Proposal{ID: "x", IfVersion: stored.Version, Entries: []Entry{{"a", "2"}}}
	newer := Version{Epoch: 1, Revision: 7}
	same := Poll{Follower: "b", Server: true, Have: stored.Version, Digest: stored.Digest}
	cases := []struct {
		name  string
		polls []Poll
		want  OutcomeKind
	}{
		{"nobody heard", nil, NotReady},
		{"only a node heard", []Poll{{Follower: "n", Have: stored.Version, Digest: stored.Digest}}, NotReady},
		{"a node under a server's name", []Poll{{Follower: "b", Have: stored.Version, Digest: stored.Digest}}, NotReady},
		{"a majority heard", []Poll{same}, ""},
		{"a server is ahead", []Poll{same, {Follower: "c", Server: true, Have: newer}}, NotReady},
		{"a node is ahead", []Poll{same, {Follower: "n", Have: newer}}, NotReady},
		{"a server knows of a node ahead", []Poll{same, {Follower: "c", Server: true, Newest: newer}}, NotReady},
		{"a server has other entries", []Poll{same, {Follower: "c", Server: true, Have: stored.Version, Digest: 1}}, NotReady},
		{"a nonsensical epoch", []Poll{same, {Follower: "n", Have: Version{Epoch: MaxEpoch + 1}}}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestServer(Stored{State: stored})
			for i, p := range c.polls {
				s.Polled(1, uint64(i), p)
			}
			assertEqual(t, outcomes(s.Propose(2, 99, proposal))[99], c.want)
			if status := s.Status(2); (status.NotReady != "") != (c.want == NotReady) {
				t.Errorf("status says %q", status.NotReady)
			}
		})
	}
}

func TestNewEpochIsAboveAnySeen(t *testing.T) {
	s := readyServer(t)
	s.Polled(1, 2, Poll{Follower: "n", Have: Version{Epoch: 5, Revision: 3}})
	assertEqual(t, outcomes(s.NewEpoch(2, 3, 5, "operator", "")), map[uint64]OutcomeKind{3: Invalid})
	save := saveOf(t, s.NewEpoch(2, 4, 0, "operator", "restored"))
	assertEqual(t, save.State.Version, Version{Epoch: 6, Revision: 1})
	assertEqual(t, save.State.Entries, []Entry{{"a", "1"}})
	assertEqual(t, outcomes(s.Saved(2, save.ID, nil)), map[uint64]OutcomeKind{4: Accepted})
	assertEqual(t, s.Status(2).NotReady, "")
	u := updatesOf(s.Polled(3, 5, Poll{Follower: "n", Have: Version{Epoch: 5, Revision: 3}}))[5]
	assertEqual(t, u.Kind, Snapshot)
}

func TestWriterThatWroteTakesNothingFromOthers(t *testing.T) {
	s := readyServer(t)
	other, err := NewState(Version{Epoch: 1, Revision: 9}, []Entry{{"b", "1"}})
	if err != nil {
		t.Fatal(err)
	}
	var poll SendPoll
	for _, effect := range s.Tick(3) {
		if send, ok := effect.(SendPoll); ok {
			poll = send
		}
	}
	for _, effect := range s.Answered(3, poll.Request, Update{Kind: Snapshot, Version: other.Version, State: &other}) {
		if send, ok := effect.(SendPoll); !ok || send.Poll.Refused == nil || send.Poll.Refused.Version != other.Version {
			t.Errorf("want a poll that refuses the other line, got %+v", effect)
		}
	}
	assertEqual(t, s.State().Version, Version{Epoch: 1, Revision: 1})
}

func TestOnePollIsHeldForAFollower(t *testing.T) {
	s := readyServer(t)
	poll := Poll{Follower: "n", Have: s.State().Version, Digest: s.State().Digest, Wait: 2}
	s.Polled(3, 10, poll)
	assertEqual(t, updatesOf(s.Polled(3.5, 11, poll))[10].Kind, Unchanged)
	assertEqual(t, len(s.pending.byRequest), 1)
	assertEqual(t, updatesOf(s.Tick(5.4)), map[uint64]Update{})
	assertEqual(t, updatesOf(s.Tick(5.5))[11].Kind, Unchanged)
	s.Polled(6, 12, poll)
	s.Closed(6, 12)
	assertEqual(t, len(s.pending.byRequest)+len(s.pending.byFollower)+len(s.pending.queue), 0)
}

func TestAnswersToFollowers(t *testing.T) {
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
		{"the same", Poll{Have: third.Version, Digest: third.Digest}, Unchanged},
		{"nothing", Poll{}, Snapshot},
		{"two behind", Poll{Have: first.Version, Digest: first.Digest, Server: true}, Changes},
		{"two behind, a snapshot is smaller", Poll{Have: first.Version, Digest: first.Digest}, Snapshot},
		{"one behind", Poll{Have: second.Version, Digest: second.Digest}, Changes},
		{"one behind, misfit", Poll{Have: second.Version, Digest: second.Digest, NeedsSnapshot: true}, Snapshot},
		{"one behind on another line", Poll{Have: second.Version, Digest: 1}, Snapshot},
		{"a server on another line", Poll{Have: second.Version, Digest: 1, Server: true}, Diverged},
		{"other entries", Poll{Have: third.Version, Digest: 1}, Diverged},
		{"ahead", Poll{Have: Version{Epoch: 1, Revision: 4}}, Behind},
		{"the newest is refused", Poll{Have: second.Version, Digest: second.Digest, Refused: refused}, Unchanged},
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

func TestHistoryIsBoundedAndFurtherBehindGetsASnapshot(t *testing.T) {
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

func TestFollowersThatAreKeptAreBounded(t *testing.T) {
	s := readyServer(t)
	for i := range maxFollowers + 10 {
		s.Polled(float64(10+i), uint64(1000+i), Poll{Follower: fmt.Sprint("n", i)})
	}
	assertEqual(t, len(s.followers), maxFollowers)
	assertEqual(t, s.followers["n0"] == nil, true)
}

// BenchmarkPoll measures an idle poll of one of 172 followers, held and answered.
func BenchmarkPoll(b *testing.B) {
	s := newTestServer(Stored{})
	s.peers = nil
	for i := 0; b.Loop(); i++ {
		now := float64(i) / 172 * 2
		s.Tick(now)
		s.Polled(now, uint64(i), Poll{Follower: fmt.Sprint("n", i%172), Wait: 2})
	}
}
