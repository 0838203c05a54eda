package placement

import (
	"math"
	"testing"
)

// newPollingBalancer returns a balancer that has to poll the endpoint list, and a list of ready servers.
func newPollingBalancer(seed, nodes, servers int) (*Balancer, []Endpoint) {
	b := New(Settings{Seed: uint64(seed), Nodes: nodes, WatchEndpoints: true, PollInterval: 10})
	var list []Endpoint
	for i := range servers {
		list = append(list, Endpoint{Server: i, ID: uint32(i), State: Ready})
	}
	return b, list
}

func TestPollBacksOffAfterEachFailure(t *testing.T) {
	b := newTestBalancer(3, func(s *Settings) { s.WatchEndpoints = true })
	last := 0.0
	for i := range 5 {
		b.UpdateEndpoints(b.now, ListFailed, nil)
		gap := b.timeToPoll(t)
		if i > 0 && gap < last/4 || gap > 0.75*float64(int(1)<<i)+housekeepingInterval {
			t.Fatalf("polled after %.2f s, before that after %.2f s", gap, last)
		}
		last = gap
	}
	if len(b.base) != 3 {
		t.Fatal("a failed poll lost the list")
	}
}

// timeToPoll lets time go by until the endpoint list is polled and returns the seconds that it took.
func (b *testBalancer) timeToPoll(t *testing.T) float64 {
	t.Helper()
	start := b.now
	for countActions(b.advance(housekeepingInterval), WatchEndpoints) == 0 {
		if b.now-start > 13 {
			t.Fatal("never polled again")
		}
	}
	return b.now - start
}

func TestListChangeForgetsRestartedServer(t *testing.T) {
	b := newTestBalancer(3, nil)
	b.serverAt(0).outlier.ejected = true
	restarted := b.endpoint(0, Ready)
	restarted.StartedAt = b.now
	b.UpdateEndpoints(b.now, ListChanges, []Endpoint{restarted, b.endpoint(1, Removed)})
	if b.serverAt(0).outlier.ejected {
		t.Error("a restarted server is still ejected")
	}
	if weight := b.slowStartWeight(b.now, b.serverAt(0)); weight != b.SlowStartShare {
		t.Errorf("a restarted server has a weight of %g", weight)
	}
	if len(b.base) != 2 {
		t.Errorf("the base list has %d servers after one of three was removed", len(b.base))
	}
}

// Nodes that start together do not poll a slow list service together, and wait longer after each failure. They never
// wait so long that a change counts as in force before a later poll can be answered.
func TestFirstPollsAreSpread(t *testing.T) {
	for _, c := range []struct {
		name           string
		nodes, servers int
		widest         float64 // the first polls come within this time in seconds, and over most of it
	}{
		{"one node", 1, 10, 0.02},
		{"30 nodes", 30, 100, maxPollSpread},
		{"160 nodes", 160, 1000, maxPollSpread},
	} {
		t.Run(c.name, func(t *testing.T) {
			first, last := math.Inf(1), 0.0
			for seed := range 60 {
				b, list := newPollingBalancer(seed, c.nodes, c.servers)
				b.UpdateEndpoints(0, ListCached, list)
				first = min(first, b.polling.nextAt)
				last = max(last, b.polling.nextAt)
				requireGrowingBackoff(t, b)
			}
			pollTime := float64(c.nodes*c.servers) / listServiceRate
			if last > c.widest || last-first < 0.7*min(c.widest, pollTime) {
				t.Errorf("first polls from %.2f to %.2f s", first, last)
			}
		})
	}
}

// requireGrowingBackoff lets six polls fail at time 0 and checks the backoff after each.
func requireGrowingBackoff(t *testing.T, b *Balancer) {
	t.Helper()
	last := 0.0
	for range 6 {
		b.UpdateEndpoints(0, ListFailed, nil)
		if b.polling.backoff < last || b.polling.nextAt > 1.5*maxPollSpread || b.polling.nextAt <= 0 {
			t.Fatalf("backoff %.2f s after %.2f s, next poll at %.2f s", b.polling.backoff, last, b.polling.nextAt)
		}
		last = b.polling.backoff
	}
}

// A watch that timed out means a list that is seconds old: a few nodes poll at once, those of a large fleet over a
// second and a half beside the two over which they notice it. A failure after it is waited out as ever.
func TestPollAfterWatchTimedOutIsPrompt(t *testing.T) {
	for _, c := range []struct {
		name        string
		nodes       int
		least, most float64 // of the longest wait in seconds
	}{
		{"one node", 1, 0, 0.1},
		{"6 nodes", 6, 0, 0.1},
		{"300 nodes", 300, 1.2, 1.5},
		{"1100 nodes", 1100, 1.2, 1.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			longest := 0.0
			for seed := range 60 {
				b, list := newPollingBalancer(seed, c.nodes, 8)
				b.UpdateEndpoints(0, ListFull, list)
				b.UpdateEndpoints(0, ListTimedOut, nil)
				longest = max(longest, b.polling.nextAt)
				if b.polling.backoff != 0 || len(b.base) != 8 {
					t.Fatalf("backoff %.2f s, %d servers", b.polling.backoff, len(b.base))
				}
				requireNoEarlyPoll(t, b)
				b.UpdateEndpoints(9, ListFailed, nil)
				if b.polling.nextAt <= 9 {
					t.Fatal("polled at once after a failure")
				}
			}
			if longest < c.least || longest > c.most {
				t.Errorf("the longest wait is %.2f s, want %.1f to %.1f s", longest, c.least, c.most)
			}
		})
	}
}

// requireNoEarlyPoll lets time go by from 0 until the next poll is due and checks that none comes before.
func requireNoEarlyPoll(t *testing.T, b *Balancer) {
	t.Helper()
	for now := 0.0; now <= b.polling.nextAt; now += housekeepingInterval {
		for {
			decision, ok := b.Next(now)
			if !ok {
				break
			}
			if decision.Action == WatchEndpoints && now < b.polling.nextAt {
				t.Fatalf("polled at %.2f s, not %.2f s", now, b.polling.nextAt)
			}
		}
	}
}
