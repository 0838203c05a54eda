package feedhttp

import (
	"net/http"
	"sync"
	"testing"

	"gorseledge/internal/configfeed"
)

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

func TestProposalWithLostAnswersIsAppliedOnce(t *testing.T) {
	f := startServers(t, 1)
	var lost int
	through := relay(t, f.writer(), func(path string, answer *http.Response, body []byte) (*http.Response, []byte) {
		if path == pathApply && lost < 2 {
			lost++
			return nil, nil
		}
		return answer, body
	})
	client := NewClient(testFleet, testKeys, map[string]string{f.writer(): through})
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

func TestRepeatedEpochRequestConflicts(t *testing.T) {
	f := startServers(t, 1)
	client := f.client()
	f.apply(client, "p", version(0, 0), 1)
	for i, want := range []configfeed.Outcome{{Kind: configfeed.Accepted, Version: version(2, 1)}, {Kind: configfeed.Conflict, Version: version(2, 1)}} {
		outcome, err := client.BeginEpoch(t.Context(), f.writer(), EpochRequest{IfVersion: version(1, 1), Author: "test"})
		if err != nil || outcome.Kind != want.Kind || outcome.Version != want.Version {
			t.Errorf("request %d: %+v, %v", i+1, outcome, err)
		}
	}
}

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
