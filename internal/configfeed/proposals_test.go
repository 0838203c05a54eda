package configfeed

import (
	"errors"
	"strings"
	"testing"
)

// A proposal that is accepted, or sent to followers, before it is saved is lost if the writer crashes.
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

// A server that adopted a state despite a failed save would distribute a revision that a restart loses.
func TestFailedSaveLeavesTheStateUnchanged(t *testing.T) {
	s := readyServer(t)
	before := s.State()
	save := saveOf(t, s.Propose(3, 2, Proposal{ID: "second", IfVersion: before.Version, Entries: []Entry{{"a", "2"}}}))
	assertEqual(t, outcomes(s.Saved(3, save.ID, errors.New("disk is full"))), map[uint64]OutcomeKind{2: Failed})
	assertEqual(t, s.State(), before)
	proposeAndSave(t, s, Proposal{ID: "second", Entries: []Entry{{"a", "2"}}})
}

// Two proposals on the same version would overwrite each other if both were accepted. The second one conflicts, and a retry
// of the first shares its outcome.
func TestProposalsAreSavedOneAtATimeAndConflict(t *testing.T) {
	s := readyServer(t)
	v := s.State().Version
	save := saveOf(t, s.Propose(3, 2, Proposal{ID: "x", IfVersion: v, Entries: []Entry{{"a", "2"}}}))
	assertEqual(t, len(s.Propose(3, 3, Proposal{ID: "y", IfVersion: v, Entries: []Entry{{"a", "3"}}})), 0)
	assertEqual(t, len(s.Propose(3, 4, Proposal{ID: "x", IfVersion: v, Entries: []Entry{{"a", "2"}}})), 0)
	assertEqual(t, outcomes(s.Saved(3, save.ID, nil)), map[uint64]OutcomeKind{2: Accepted, 3: Conflict, 4: Accepted})
}

// A client retries a proposal whose answer was lost. Applied again, it would undo the proposals accepted in between.
func TestRetriedProposalIsAppliedOnceEvenAfterRestart(t *testing.T) {
	s := readyServer(t)
	v := proposeAndSave(t, s, Proposal{ID: "second", Entries: []Entry{{"a", "2"}}})
	proposeAndSave(t, s, Proposal{ID: "third", Entries: []Entry{{"a", "3"}}})
	s = newTestServer(StoredLog{State: s.State(), History: s.History()})
	effects := s.Propose(9, 7, Proposal{ID: "second", IfVersion: s.State().Version, Entries: []Entry{{"a", "2"}}})
	assertEqual(t, effects, []ServerEffect{AnswerProposal{7, Outcome{Kind: Accepted, Version: v}}})
}

// Invalid or too large entries would be distributed to every node if the writer accepted them.
func TestInvalidProposalsAreRejected(t *testing.T) {
	big := strings.Repeat("x", MaxChangeBytes)
	cases := []struct {
		name    string
		entries []Entry
		want    OutcomeKind
	}{
		{"same entries", []Entry{{"a", "1"}}, NoChange},
		{"key twice", []Entry{{"a", "1"}, {"a", "2"}}, Invalid},
		{"empty key", []Entry{{"", "1"}}, Invalid},
		{"large change", []Entry{{"a", big}}, TooLarge},
		{"large state", []Entry{{"a", strings.Repeat("x", MaxStateBytes+1)}}, TooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := readyServer(t)
			p := Proposal{ID: "second", IfVersion: s.State().Version, Entries: c.entries}
			assertEqual(t, outcomes(s.Propose(3, 2, p)), map[uint64]OutcomeKind{2: c.want})
		})
	}
}

// Two servers that both accept proposals would create two histories.
func TestOnlyWriterAcceptsProposals(t *testing.T) {
	s := newTestServer(StoredLog{})
	s.config.Writer = "b"
	assertEqual(t, s.Propose(1, 2, Proposal{ID: "x"}), []ServerEffect{AnswerProposal{2, Outcome{Kind: NotWriter, Writer: "b"}}})
}

// A writer whose disk was restored from an older backup would number revisions again that already exist. It accepts
// proposals only once a majority of the servers has reported, and while no newer or different version is known.
func TestWriterAcceptsProposalsOnlyWhileItHasTheNewestVersion(t *testing.T) {
	stored := readyServer(t).State()
	proposal := Proposal{ID: "x", IfVersion: stored.Version, Entries: []Entry{{"a", "2"}}}
	newer := Version{Epoch: 1, Revision: 7}
	same := Poll{Follower: "b", Server: true, Have: stored.Version, Digest: stored.Digest}
	cases := []struct {
		name  string
		polls []Poll
		want  OutcomeKind
	}{
		{"no report", nil, NotReady},
		{"report of a node only", []Poll{{Follower: "n", Have: stored.Version, Digest: stored.Digest}}, NotReady},
		{"report of a node with a server's name", []Poll{{Follower: "b", Have: stored.Version, Digest: stored.Digest}}, NotReady},
		{"reports of a majority", []Poll{same}, ""},
		{"newer version at a server", []Poll{same, {Follower: "c", Server: true, Have: newer}}, NotReady},
		{"newer version at a node", []Poll{same, {Follower: "n", Have: newer}}, NotReady},
		{"newer version reported to another server", []Poll{same, {Follower: "c", Server: true, Newest: newer}}, NotReady},
		{"different entries at a server", []Poll{same, {Follower: "c", Server: true, Have: stored.Version, Digest: 1}}, NotReady},
		{"epoch above MaxEpoch", []Poll{same, {Follower: "n", Have: Version{Epoch: MaxEpoch + 1}}}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestServer(StoredLog{State: stored})
			for i, p := range c.polls {
				s.Polled(1, uint64(i), p)
			}
			assertEqual(t, outcomes(s.Propose(2, 99, proposal))[99], c.want)
			if status := s.Status(2); (status.NotReady != "") != (c.want == NotReady) {
				t.Errorf("status shows not ready %q, want outcome %q", status.NotReady, c.want)
			}
		})
	}
}

// Followers ignore an epoch that is not above their own, so a new epoch has to be above every reported one.
func TestNewEpochIsAboveAnyReported(t *testing.T) {
	s := readyServer(t)
	s.Polled(1, 2, Poll{Follower: "n", Have: Version{Epoch: 5, Revision: 3}})
	assertEqual(t, outcomes(s.BeginEpoch(2, 3, 5, "operator", "")), map[uint64]OutcomeKind{3: Invalid})
	save := saveOf(t, s.BeginEpoch(2, 4, 0, "operator", "restored"))
	assertEqual(t, save.State.Version, Version{Epoch: 6, Revision: 1})
	assertEqual(t, save.State.Entries, []Entry{{"a", "1"}})
	assertEqual(t, outcomes(s.Saved(2, save.ID, nil)), map[uint64]OutcomeKind{4: Accepted})
	assertEqual(t, s.Status(2).NotReady, "")
	u := updatesOf(s.Polled(3, 5, Poll{Follower: "n", Have: Version{Epoch: 5, Revision: 3}}))[5]
	assertEqual(t, u.Kind, Snapshot)
}

// A newer revision of another history, as after a restored backup, would undo what the writer has accepted since its start.
func TestWriterThatHasWrittenRefusesOtherHistories(t *testing.T) {
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
		send, _ := effect.(SendPoll)
		if refusal := send.Poll.Refused; refusal == nil || refusal.Version != other.Version {
			t.Errorf("got %+v, want a poll that refuses version %s", effect, other.Version)
		}
	}
	assertEqual(t, s.State().Version, Version{Epoch: 1, Revision: 1})
}
