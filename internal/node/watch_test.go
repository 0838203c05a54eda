package node

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"gorseledge/internal/discovery/endpoint"
)

const balancerTick = 0.25 // seconds between two ticks of the balancer

// timeUntilWatch has the watch send nothing until the node asks for another, and returns how many seconds that took,
// infinitely many if it is more than most.
func (harness *testHarness) timeUntilWatch(most float64) float64 {
	harness.Helper()
	harness.watchSilent = true
	began := harness.now
	watches := len(harness.watchIndices)
	for len(harness.watchIndices) == watches {
		if harness.now-began > most {
			return math.Inf(1)
		}
		harness.advance(0.01)
	}
	return harness.now - began
}

// hostChange returns a list that changes the status of the first host.
func hostChange(status string) ListReceived {
	return ListReceived{listChange(9, endpoint.Host{Name: "s-00000064", Status: status})}
}

// Discovery that moves is asked again at once, whether or not it was being watched, and only once.
func TestMovedDiscoveryIsWatchedAtOnce(t *testing.T) {
	harness := newHarness(t, "proxy", 3, 100)
	for _, input := range []Input{DiscoveryMoved{}, WatchFailed{Reason: "gone"}, DiscoveryMoved{}} {
		harness.apply(input)
	}
	if want := []int64{5, 6, 6}; !slices.Equal(harness.watchIndices, want) {
		t.Fatalf("watched from %v, wanted %v", harness.watchIndices, want)
	}
	harness.advance(5) // in which the balancer decides to ask, because of the failure
	if len(harness.watchIndices) != 3 {
		t.Fatalf("watched from %v", harness.watchIndices)
	}
}

// A watch that ends at once, again and again, is not asked for as often, whether or not it sends a list.
func TestWatchThatEndsAtOnceIsNotHammered(t *testing.T) {
	for _, c := range []struct {
		name      string
		sendsList bool
		most      int // watches in a minute
	}{
		{"refused", false, 70},
		{"a list, then its end", true, 250},
	} {
		t.Run(c.name, func(t *testing.T) {
			harness := newHarness(t, "proxy", 1, 100)
			harness.watchIndices = nil
			harness.node.watch.state = watchIdle
			harness.apply(WatchFailed{Reason: "the end"})
			for ended := 0; harness.now < 1e9+60; harness.advance(0.01) {
				if len(harness.watchIndices) <= ended {
					continue
				}
				ended = len(harness.watchIndices)
				if c.sendsList {
					harness.apply(ListReceived{hostList(1)})
				}
				harness.apply(WatchFailed{Reason: "the end"})
			}
			if watches := len(harness.watchIndices); watches < 4 || watches > c.most {
				t.Errorf("%d watches in a minute", watches)
			}
		})
	}
}

// A watch that falls silent or ends is renewed in time for the list to stay current, and late enough for a slow
// discovery to come to the call.
func TestSilentWatchIsRenewed(t *testing.T) {
	moved := DiscoveryMoved{}
	alive := WatchAlive{}
	reset := WatchFailed{Reason: "reset"}
	refused := WatchFailed{Reason: "503"}
	serving := hostChange("SERVING")
	for _, c := range []struct {
		name           string
		before         []Input
		least          float64 // seconds from the last of these inputs to the next call
		tolerance      float64
		stoppedWatches int
	}{
		{"a call without an answer", []Input{moved}, watchAnswerTimeout, balancerTick, 0},
		{"an answer with nothing in it", []Input{moved, alive}, watchSilenceTimeout, balancerTick, 1},
		{"after a list", []Input{moved, serving}, watchSilenceTimeout, balancerTick, 1},
		{"between lines", []Input{moved, serving, alive, alive}, watchSilenceTimeout, balancerTick, 1},
		{"reset", []Input{moved, reset}, balancerTick / 2, 1.5 * balancerTick, 0},
		{"reset after a list", []Input{moved, serving, reset}, balancerTick / 2, 1.5 * balancerTick, 0},
		{"refused twice", []Input{moved, refused, refused}, balancerTick, 3 * balancerTick, 0},
		{"moved while it is waited for", []Input{refused, moved}, watchAnswerTimeout, balancerTick, 0},
		{"moved while it is silent", []Input{serving, moved}, watchAnswerTimeout, balancerTick, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			harness := newHarness(t, "proxy", 3, 100)
			for _, input := range c.before {
				harness.apply(input)
			}
			most := c.least + c.tolerance
			if took := harness.timeUntilWatch(10); took < c.least-0.01 || took > most+0.02 {
				t.Errorf("asked anew after %.2f s, wanted %.2f to %.2f s", took, c.least, most)
			}
			if harness.stoppedWatches != c.stoppedWatches {
				t.Errorf("%d watches stopped, wanted %d", harness.stoppedWatches, c.stoppedWatches)
			}
			if f := harness.query(GetStatistics, "").Statistics; f.Listed != 3 || f.Unavailable != 0 {
				t.Errorf("%d hosts listed, %d unavailable", f.Listed, f.Unavailable)
			}
		})
	}
}

// checkWatchedAfterAnswerTimeout checks that the next watches are asked for after watchAnswerTimeout each.
func checkWatchedAfterAnswerTimeout(t *testing.T, harness *testHarness, times int) {
	t.Helper()
	for range times {
		took := harness.timeUntilWatch(100)
		if math.Abs(took-watchAnswerTimeout) > 2*balancerTick {
			t.Fatalf("waited %.2f s, wanted %.0f s", took, watchAnswerTimeout)
		}
	}
}

// A call that is not answered keeps its turn, and another is made beside it, however often: a discovery that needs
// longer for a call would never answer a node that starts again, and a call that got lost would hold up the next.
func TestUnansweredCallIsKeptAndRepeatedBeside(t *testing.T) {
	harness := newHarness(t, "proxy", 3, 100)
	harness.apply(DiscoveryMoved{})
	checkWatchedAfterAnswerTimeout(t, harness, 20)
	if harness.stoppedWatches != 0 || harness.parallelWatches != 20 {
		t.Errorf("%d calls given up, %d made beside, wanted 0 and 20", harness.stoppedWatches, harness.parallelWatches)
	}
	harness.apply(WatchAlive{})
	harness.timeUntilWatch(5)
	if harness.stoppedWatches != 1 {
		t.Errorf("%d watches stopped, wanted the one that was answered", harness.stoppedWatches)
	}
	if took := harness.timeUntilWatch(100); math.Abs(took-watchAnswerTimeout) > 2*balancerTick {
		t.Errorf("waited %.2f s after an answer, wanted %.0f s", took, watchAnswerTimeout)
	}
}

// The machine's own agent gets no second call beside the first.
func TestUnansweredCallOfAgentIsGivenUp(t *testing.T) {
	text := strings.Replace(settingsJSON, "{", `{"membership_mode":"automatic",`, 1)
	harness := newHarnessWith(t, text, "proxy", 3, 100)
	harness.apply(DiscoveryMoved{})
	for range 5 {
		if took := harness.timeUntilWatch(100); math.Abs(took-watchAnswerTimeout) > 2*balancerTick {
			t.Fatalf("waited %.2f s for an agent, wanted %.0f s", took, watchAnswerTimeout)
		}
	}
	if harness.stoppedWatches != 5 || harness.parallelWatches != 0 {
		t.Errorf("%d calls given up, %d made beside, wanted 5 and 0", harness.stoppedWatches, harness.parallelWatches)
	}
}

// A line that comes byte by byte and never ends is given up like a call without an answer, one that ends is not: the
// list would get old behind a watch which seems alive.
func TestEndlessLineEndsTheWatch(t *testing.T) {
	for _, ends := range []bool{false, true} {
		t.Run(fmt.Sprintf("line that ends %v", ends), func(t *testing.T) {
			harness := newHarness(t, "proxy", 3, 100)
			for i := range 60 {
				harness.advance(0.2)
				lineEnds := ends && i%15 == 14 // after three seconds
				harness.apply(WatchAlive{MidLine: !lineEnds})
			}
			if stopped := harness.stoppedWatches > 0; stopped == ends {
				t.Errorf("%d watches stopped", harness.stoppedWatches)
			}
		})
	}
}

// A watch that sends something every two seconds is never given up.
func TestWatchThatIsAliveGoesOn(t *testing.T) {
	harness := newHarness(t, "proxy", 3, 100)
	harness.advance(60)
	if harness.stoppedWatches != 0 || !slices.Equal(harness.watchIndices, []int64{5}) {
		t.Fatalf("%d watches stopped, asked from %v", harness.stoppedWatches, harness.watchIndices)
	}
}

// A list that a watch still sends after it was given up counts.
func TestLateListCounts(t *testing.T) {
	harness := newHarness(t, "proxy", 3, 100)
	harness.advance(60)
	harness.timeUntilWatch(10)
	harness.apply(hostChange("DRAINING"))
	if f := harness.query(GetStatistics, "").Statistics; f.Unavailable != 1 {
		t.Error("a late list was ignored")
	}
}

// The deadline of a watch depends on what it has sent so far.
func TestWatchDeadline(t *testing.T) {
	const now = 100.0
	for _, c := range []struct {
		name  string
		event func(watch *endpointWatch)
		want  float64
	}{
		{"idle", func(*endpointWatch) {}, math.Inf(1)},
		{"requested", func(watch *endpointWatch) { watch.request(now) }, now + watchAnswerTimeout},
		{"active", func(watch *endpointWatch) {
			watch.request(now - 1)
			watch.recordActivity(now, false)
		}, now + watchSilenceTimeout},
		{"within a line", func(watch *endpointWatch) {
			watch.request(now - 3)
			watch.recordActivity(now-3, true)
			watch.recordActivity(now, true)
		}, now - 3 + watchAnswerTimeout},
		{"after a line", func(watch *endpointWatch) {
			watch.request(now - 3)
			watch.recordActivity(now-3, true)
			watch.recordActivity(now, false)
		}, now + watchSilenceTimeout},
		{"a late line of a watch that was given up", func(watch *endpointWatch) {
			watch.recordActivity(now, false)
		}, math.Inf(1)},
	} {
		t.Run(c.name, func(t *testing.T) {
			var watch endpointWatch
			c.event(&watch)
			if got := watch.deadline(); got != c.want {
				t.Errorf("deadline %g, wanted %g", got, c.want)
			}
		})
	}
}
