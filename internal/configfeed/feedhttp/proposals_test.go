package feedhttp

import (
	"net/http"
	"sync"
	"testing"

	"gorseledge/internal/configfeed"
)

// Two operators who start from the same revision must not overwrite each other's change: one is accepted, the other one
// conflicts and names the accepted version.
func TestOneOfTwoConcurrentProposalsConflicts(t *testing.T) {
	f := startServers(t, 3)
	outcomes := make([]configfeed.Outcome, 2)
	var proposing sync.WaitGroup
	for i := range outcomes {
		client := f.client()
		proposing.Go(func() { outcomes[i] = f.apply(client, NewProposalID(), version(0, 0), 100+i) })
	}
	proposing.Wait()
	kinds := map[configfeed.OutcomeKind]int{}
	for _, outcome := range outcomes {
		kinds[outcome.Kind]++
		if outcome.Version != version(1, 1) {
			t.Errorf("%+v", outcome)
		}
	}
	if kinds[configfeed.Accepted] != 1 || kinds[configfeed.Conflict] != 1 {
		t.Errorf("%v", kinds)
	}
}

// If an answer is lost, the client repeats its proposal. Without the proposal's ID, the repetition would conflict with the
// revision that the first attempt made.
func TestProposalWithLostAnswersIsAppliedOnce(t *testing.T) {
	f := startServers(t, 1)
	var lost int
	relayAddress := relay(t, f.writer(), func(path string, answer *http.Response, body []byte) (*http.Response, []byte) {
		if path == pathApply && lost < 2 {
			lost++
			return nil, nil
		}
		return answer, body
	})
	client := NewClient(testFleet, testKeys, map[string]string{f.writer(): relayAddress})
	defer client.Close()
	outcome := f.apply(client, "once", version(0, 0), 1)
	if outcome.Kind != configfeed.Accepted || outcome.Version != version(1, 1) {
		t.Errorf("%+v", outcome)
	}
	history, err := client.History(t.Context(), f.writer(), 10)
	if err != nil || len(history.Revisions) != 1 || lost != 2 {
		t.Errorf("%d answers lost, %d revisions, %v", lost, len(history.Revisions), err)
	}
}

// A request for a new epoch that is repeated must not begin a second epoch.
func TestRepeatedEpochRequestConflicts(t *testing.T) {
	f := startServers(t, 1)
	client := f.client()
	f.apply(client, "p", version(0, 0), 1)
	for i, want := range []configfeed.Outcome{
		{Kind: configfeed.Accepted, Version: version(2, 1)},
		{Kind: configfeed.Conflict, Version: version(2, 1)},
	} {
		outcome, err := client.BeginEpoch(t.Context(), f.writer(), EpochRequest{IfVersion: version(1, 1), Author: "test"})
		if err != nil || outcome.Kind != want.Kind || outcome.Version != want.Version {
			t.Errorf("request %d: %+v, %v, want %+v", i+1, outcome, err, want)
		}
	}
}

// Operators revert to the state of an earlier revision. A revision that the history does not hold is status 404, not the
// newest state.
func TestEarlierStatesAndHistoryAreAnswered(t *testing.T) {
	f := startServers(t, 1)
	client := f.client()
	for i := range 3 {
		f.apply(client, NewProposalID(), version(min(uint64(i), 1), uint64(i)), 10+i)
	}
	state, err := client.State(t.Context(), f.writer(), 2)
	if err != nil || state.Entries[0].Value != "11" {
		t.Errorf("%+v, %v", state, err)
	}
	_, err = client.State(t.Context(), f.writer(), 9)
	if !isStatus(err, http.StatusNotFound) {
		t.Errorf("%v", err)
	}
	history, err := client.History(t.Context(), f.writer(), 2)
	if err != nil || len(history.Revisions) != 2 || history.Revisions[1].Delta.To != version(1, 3) {
		t.Errorf("%+v, %v", history, err)
	}
}
