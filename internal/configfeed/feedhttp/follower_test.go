package feedhttp

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"

	"github.com/rs/zerolog"

	"gorseledge/internal/configfeed"
)

// testFollower is a node's follower that records what it has put in force.
type testFollower struct {
	*Follower
	mu     sync.Mutex
	values []string // values of all installed entries, in order
	refuse bool     // makes install fail
}

// follow starts a follower in a region, which is stopped when the test ends. If refuse is set, it refuses every state.
func (f *testServers) follow(name, region string, refuse bool) *testFollower {
	n := &testFollower{refuse: refuse}
	n.Follower = NewFollower(FollowerOptions{Fleet: testFleet, Keys: testKeys, Log: zerolog.Nop(), Install: n.install,
		Config: configfeed.FollowerConfig{Name: name, Region: region, Servers: f.addresses, Seed: 7}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	f.t.Cleanup(func() {
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			f.t.Errorf("%s: %v", name, err)
		}
	})
	return n
}

// install records the values of a state, or returns an error if the follower refuses states.
func (n *testFollower) install(state configfeed.State, changed []string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.refuse {
		return errors.New("this node\ndoes not accept it")
	}
	for _, e := range state.Entries {
		n.values = append(n.values, e.Value)
	}
	return nil
}

// A follower that stops polling, or polls with a wrong version, would miss a later revision.
func TestFollowerReceivesEachRevision(t *testing.T) {
	f := startServers(t, 3)
	n := f.follow("n1", "r2", false)
	client := f.client()
	for i := range 3 {
		f.apply(client, NewProposalID(), version(min(uint64(i), 1), uint64(i)), i)
		eventually(t, "the revision is in force", func() bool { return n.View().Version == version(1, uint64(i)+1) })
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.values) != 3 || n.values[2] != "2" {
		t.Errorf("installed values %v, want three, the last one 2", n.values)
	}
	traffic := n.Traffic()
	if traffic.Answers < 3 || traffic.Requests < traffic.Answers || traffic.BytesSent == 0 || traffic.BytesReceived == 0 {
		t.Errorf("%+v", traffic)
	}
}

// A follower whose server stops must get later revisions from another server.
func TestFollowerSwitchesServerWhenItsOwnStops(t *testing.T) {
	f := startServers(t, 3)
	n := f.follow("n1", "r2", false)
	client := f.client()
	f.apply(client, NewProposalID(), version(0, 0), 1)
	eventually(t, "the first revision is in force", func() bool { return n.View().Version == version(1, 1) })
	if server := n.View().Server; server != "c2" {
		t.Fatalf("it follows %s, want c2, which is in its region", server)
	}
	f.servers[1].stop()
	f.apply(client, NewProposalID(), version(1, 1), 2)
	eventually(t, "the second revision is in force", func() bool { return n.View().Version == version(1, 2) })
	if server := n.View().Server; server == "c2" {
		t.Error("it follows a server that has stopped")
	}
}

// Operators find a node that refuses a revision in the status. Its reason must reach the server, on one line.
func TestServerStatusShowsRefusedRevision(t *testing.T) {
	f := startServers(t, 1)
	f.follow("n1", "r1", true)
	client := f.client()
	f.apply(client, NewProposalID(), version(0, 0), 1)
	eventually(t, "the server's status shows the refusal", func() bool {
		status, err := client.Status(t.Context(), f.writer())
		if err != nil {
			t.Fatal(err)
		}
		for _, follower := range status.Followers {
			if follower.Name == "n1" && follower.Refused != nil {
				return *follower.Refused == configfeed.Refusal{Version: version(1, 1), Reason: "this node does not accept it"} &&
					follower.Have == version(0, 0)
			}
		}
		return false
	})
}

// Followers in one process must not share state: each of them must get the revision.
func TestManyFollowersRunInOneProcess(t *testing.T) {
	f := startServers(t, 1)
	var all []*testFollower
	for i := range 50 {
		all = append(all, f.follow(string(rune('A'+i)), "r1", false))
	}
	client := f.client()
	f.apply(client, NewProposalID(), version(0, 0), 1)
	for _, n := range all {
		eventually(t, "the revision is in force everywhere", func() bool { return n.View().Version == version(1, 1) })
	}
}

// A large state must be sent compressed. The follower verifies the MAC of the uncompressed text, so a MAC of the compressed
// one would make it reject the answer.
func TestLargeStateIsCompressed(t *testing.T) {
	f := startServers(t, 1)
	client := f.client()
	var entries []configfeed.Entry
	size := 0
	for i := range 1000 {
		e := configfeed.Entry{Key: fmt.Sprintf("hosts.s-%08x.disabled_until_s", i), Value: "1764650000"}
		entries = append(entries, e)
		size += len(e.Key) + len(e.Value)
	}
	p := configfeed.Proposal{ID: NewProposalID(), Entries: entries, Author: "test"}
	outcome, err := client.Apply(t.Context(), f.writer(), p)
	if err != nil || outcome.Kind != configfeed.Accepted {
		t.Fatalf("%+v, %v", outcome, err)
	}
	n := f.follow("n1", "r1", false)
	eventually(t, "the state is in force", func() bool { return n.View().Version == version(1, 1) })
	if received := n.Traffic().BytesReceived; received > uint64(size)/2 {
		t.Errorf("%d bytes were received for a state of %d bytes, want at most half", received, size)
	}
}
