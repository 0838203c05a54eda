package placement

import (
	"math"
	"testing"
)

// newPollingBalancer returns a balancer that has to poll the endpoint list, and an endpoint list of ready servers.
func newPollingBalancer(seed, nodes, servers int) (*Balancer, []Endpoint) {
	b := New(Settings{Seed: uint64(seed), Nodes: nodes, WatchEndpoints: true, PollInterval: 10})
	var list []Endpoint
	for i := range servers {
		list = append(list, Endpoint{Server: i, ID: uint32(i), State: Ready})
	}
	return b, list
}

// Polls at a constant rate would keep a failing list service overloaded. The pause grows with each failure, and the known list
// stays in use.
func TestPollBacksOffAfterEachFailure(t *testing.T) {
	b := newTestBalancer(3, func(s *Settings) { s.WatchEndpoints = true })
	last := 0.0
	for i := range 5 {
		b.UpdateEndpoints(b.now, ListFailed, nil)
		gap := b.timeToPoll(t)
		if i > 0 && gap < last/4 || gap > 0.75*float64(int(1)<<i)+housekeepingInterval {
			t.Fatalf("next poll %.2f s after a failure, %.2f s after the one before", gap, last)
		}
		last = gap
	}
	if len(b.base) != 3 {
		t.Fatal("a failed poll discarded the endpoint list")
	}
}

// timeToPoll moves the clock forward until the endpoint list is polled and returns the time in seconds until then.
func (b *testBalancer) timeToPoll(t *testing.T) float64 {
	t.Helper()
	start := b.now
	for countActions(b.advance(housekeepingInterval), WatchEndpoints) == 0 {
		if b.now-start > 13 {
			t.Fatal("no poll within 13 s")
		}
	}
	return b.now - start
}

// Observations of a server's last process do not apply to the process that replaced it. A new start time ends an ejection and
// begins a slow start.
func TestListChangeForgetsRestartedServer(t *testing.T) {
	b := newTestBalancer(3, nil)
	b.serverAt(0).outlier.ejected = true
	restarted := b.endpoint(0, Ready)
	restarted.StartedAt = b.now
	b.UpdateEndpoints(b.now, ListChanges, []Endpoint{restarted, b.endpoint(1, Removed)})
	if b.serverAt(0).outlier.ejected {
		t.Error("a restarted server is still ejected")
	}
	if weight := b.slowStartWeight(b.now, b.serverAt(0)); weight != b.SlowStartFraction {
		t.Errorf("a restarted server has a slow-start weight of %g", weight)
	}
	if len(b.base) != 2 {
		t.Errorf("the base list has %d servers after one of three was removed", len(b.base))
	}
}

// Nodes that start at the same time would overload a slow list service with their first polls. The polls are spread, and the
// pause grows after each failure, but never so much that a change must be in force before the next poll can be answered.
func TestFirstPollsAreSpread(t *testing.T) {
	for _, c := range []struct {
		name           string
		nodes, servers int
		spread         float64 // time in seconds over which the first polls are spread
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
			if last > c.spread || last-first < 0.7*min(c.spread, pollTime) {
				t.Errorf("first polls between %.2f and %.2f s, want them spread over %.2f s", first, last, min(c.spread, pollTime))
			}
		})
	}
}

// requireGrowingBackoff lets six polls fail at time 0 and checks that the backoff never shrinks and stays within its bound.
func requireGrowingBackoff(t *testing.T, b *Balancer) {
	t.Helper()
	last := 0.0
	for range 6 {
		b.UpdateEndpoints(0, ListFailed, nil)
		if b.polling.backoff < last || b.polling.nextAt > 1.5*maxPollSpread || b.polling.nextAt <= 0 {
			t.Fatalf("backoff %.2f s, %.2f s before, next poll at %.2f s", b.polling.backoff, last, b.polling.nextAt)
		}
		last = b.polling.backoff
	}
}

// After a watch has timed out, the known list is seconds old, and a normal backoff would delay changes further. A few nodes
// therefore poll at once. The nodes of a large fleet notice the time-out over about two seconds and spread their polls over a
// second and a half more. A failed poll after that leads to the usual backoff.
func TestPollAfterWatchTimedOutIsPrompt(t *testing.T) {
	for _, c := range []struct {
		name            string
		nodes           int
		atLeast, atMost float64 // bounds of the longest delay in seconds
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
					t.Fatal("no pause after a failed poll")
				}
			}
			if longest < c.atLeast || longest > c.atMost {
				t.Errorf("longest delay %.2f s, want %.1f to %.1f s", longest, c.atLeast, c.atMost)
			}
		})
	}
}

// requireNoEarlyPoll moves the time forward from 0 until the next poll is due and checks that there is no poll before.
func requireNoEarlyPoll(t *testing.T, b *Balancer) {
	t.Helper()
	for now := 0.0; now <= b.polling.nextAt; now += housekeepingInterval {
		for {
			decision, ok := b.Next(now)
			if !ok {
				break
			}
			if decision.Action == WatchEndpoints && now < b.polling.nextAt {
				t.Fatalf("polled at %.2f s, want no poll before %.2f s", now, b.polling.nextAt)
			}
		}
	}
}
