package node

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"gorseledge/internal/discovery/endpoint"
)

// Discovery that moves is asked again at once, whether or not it was being watched, and only once.
func TestMovedDiscoveryIsWatchedAtOnce(t *testing.T) {
	harness := newHarness(t, "proxy", 3, 100)
	for _, in := range []Input{DiscoveryMoved{}, WatchFailed{Reason: "gone"}, DiscoveryMoved{}} {
		harness.apply(in)
	}
	if want := []int64{5, 6, 6}; !slices.Equal(harness.watchIndices, want) {
		t.Fatalf("watched from %v, wanted %v", harness.watchIndices, want)
	}
	harness.advance(5) // the wish that the failure left is met already
	if len(harness.watchIndices) != 3 {
		t.Fatalf("watched from %v", harness.watchIndices)
	}
}

// A watch that ends at once, again and again: whether it told something or not, it is not taken up in step
// with it.
func TestWatchThatEndsAtOnceIsNotHammered(t *testing.T) {
	for _, c := range []struct {
		name  string
		tells bool
		most  int // watches in a minute
	}{{"refused", false, 70}, {"a list, then its end", true, 250}} {
		t.Run(c.name, func(t *testing.T) {
			harness := newHarness(t, "proxy", 1, 100)
			harness.watchIndices = nil
			harness.node.watch.state = watchIdle
			harness.apply(WatchFailed{Reason: "the end"})
			for seen := 0; harness.now < 1e9+60; harness.advance(0.01) {
				if len(harness.watchIndices) > seen {
					seen = len(harness.watchIndices)
					if c.tells {
						harness.apply(ListReceived{hostList(1)})
					}
					harness.apply(WatchFailed{Reason: "the end"})
				}
			}
			if n := len(harness.watchIndices); n < 4 || n > c.most {
				t.Errorf("%d watches in a minute", n)
			}
		})
	}
}

// timeUntilWatch lets time go by without a word of the watch until it is asked for anew, and gives how long that took.
func (harness *testHarness) timeUntilWatch(most float64) float64 {
	harness.watchSilent = true
	began, had := harness.now, len(harness.watchIndices)
	for len(harness.watchIndices) == had {
		if harness.now-began > most {
			return math.Inf(1)
		}
		harness.advance(0.01)
	}
	return harness.now - began
}

// Each way in which a watch can fall silent or end, and when the next is asked for. Guards against a list that gets
// older than what counts as told (rule 3), and against calls that are all given up before a slow discovery has come
// to them.
func TestSilentWatchIsRenewed(t *testing.T) {
	one := func(status string) ListReceived {
		return ListReceived{endpoint.List{Index: 9, Hosts: []endpoint.Host{{Name: "s-00000064", Status: status}}}}
	}
	for _, c := range []struct {
		name        string
		before      []Input
		least, most float64 // s from the last of these to the next call
		unwatches   int
	}{
		{"a call that nothing answers", []Input{DiscoveryMoved{}}, watchAnswerTimeout, watchAnswerTimeout + balancerTick, 0},
		{"an answer with nothing in it", []Input{DiscoveryMoved{}, WatchAlive{}}, watchSilenceTimeout, watchSilenceTimeout + balancerTick, 1},
		{"after a list", []Input{DiscoveryMoved{}, one("SERVING")}, watchSilenceTimeout, watchSilenceTimeout + balancerTick, 1},
		{"between lines, or in the middle of one", []Input{DiscoveryMoved{}, one("SERVING"), WatchAlive{}, WatchAlive{}}, watchSilenceTimeout,
			watchSilenceTimeout + balancerTick, 1},
		{"reset", []Input{DiscoveryMoved{}, WatchFailed{Reason: "reset"}}, balancerTick / 2, 2 * balancerTick, 0},
		{"reset after a list", []Input{DiscoveryMoved{}, one("SERVING"), WatchFailed{Reason: "reset"}}, balancerTick / 2, 2 * balancerTick, 0},
		{"refused twice", []Input{DiscoveryMoved{}, WatchFailed{Reason: "503"}, WatchFailed{Reason: "503"}}, balancerTick, 4 * balancerTick, 0},
		{"moved while it is waited for", []Input{WatchFailed{Reason: "503"}, DiscoveryMoved{}}, watchAnswerTimeout, watchAnswerTimeout + balancerTick, 0},
		{"moved while it is silent", []Input{one("SERVING"), DiscoveryMoved{}}, watchAnswerTimeout, watchAnswerTimeout + balancerTick, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			harness := newHarness(t, "proxy", 3, 100)
			for _, in := range c.before {
				harness.apply(in)
			}
			if took := harness.timeUntilWatch(10); took < c.least-0.01 || took > c.most+0.02 {
				t.Errorf("asked anew after %.2f s, wanted %.2f to %.2f s", took, c.least, c.most)
			}
			if harness.stoppedWatches != c.unwatches {
				t.Errorf("%d watches ended, wanted %d", harness.stoppedWatches, c.unwatches)
			}
			if f := harness.query(GetFigures, "").Figures; f.Listed != 3 || f.Unavailable != 0 {
				t.Errorf("%d hosts listed, %d avoided", f.Listed, f.Unavailable)
			}
		})
	}
}

const balancerTick = 0.25 // s, the module's pace

// A call that is not answered is kept in its turn, and another is made beside it every four seconds, however often.
// Guards against a discovery that needs longer than that for a call, where who starts again is never answered; against
// a call that got lost and held up the next; and against an agent that is given no second call.
func TestUnansweredCallIsKeptAndRepeatedBeside(t *testing.T) {
	harness := newHarnessWith(t, strings.Replace(settingsJSON, "{", `{"membership_mode":"automatic",`, 1), "proxy", 3, 100)
	harness.apply(DiscoveryMoved{})
	for range 5 { // its own agent
		if took := harness.timeUntilWatch(100); math.Abs(took-watchAnswerTimeout) > 2*balancerTick {
			t.Fatalf("waited %.2f s for an agent, wanted %.0f s", took, watchAnswerTimeout)
		}
	}
	if harness.stoppedWatches != 5 || harness.parallelWatches != 0 {
		t.Errorf("%d calls of an agent given up, %d made beside, wanted 5 and 0", harness.stoppedWatches, harness.parallelWatches)
	}
	harness = newHarness(t, "proxy", 3, 100)
	harness.apply(DiscoveryMoved{})
	for range 20 {
		if took := harness.timeUntilWatch(100); math.Abs(took-watchAnswerTimeout) > 2*balancerTick {
			t.Fatalf("waited %.2f s, wanted %.0f s", took, watchAnswerTimeout)
		}
	}
	if harness.stoppedWatches != 0 || harness.parallelWatches != 20 {
		t.Errorf("%d calls given up, %d made beside, wanted 0 and 20", harness.stoppedWatches, harness.parallelWatches)
	}
	harness.apply(WatchAlive{})
	harness.timeUntilWatch(5)
	if harness.stoppedWatches != 1 {
		t.Errorf("%d watches ended, wanted the one that spoke", harness.stoppedWatches)
	}
	if took := harness.timeUntilWatch(100); math.Abs(took-watchAnswerTimeout) > 2*balancerTick {
		t.Errorf("waited %.2f s after an answer, wanted %.0f s", took, watchAnswerTimeout)
	}
}

// A line that comes a byte at a time and never ends is given up like a call that is not answered, one that ends is not.
// Guards against a list that gets old behind a watch which seems alive.
func TestEndlessLineEndsTheWatch(t *testing.T) {
	for _, ends := range []bool{false, true} {
		t.Run(fmt.Sprintf("line that ends %v", ends), func(t *testing.T) {
			harness := newHarness(t, "proxy", 3, 100)
			for i := range 60 {
				harness.advance(0.2)
				harness.apply(WatchAlive{MidLine: !ends || i%15 != 14}) // a line of three seconds, or one without an end
			}
			if given := harness.stoppedWatches > 0; given == ends {
				t.Errorf("a line that ends %v: %d watches given up", ends, harness.stoppedWatches)
			}
		})
	}
}

// What a watch still says that was given up counts, and one that speaks every two seconds is never given up.
func TestLateListCounts(t *testing.T) {
	harness := newHarness(t, "proxy", 3, 100)
	harness.advance(60)
	if harness.stoppedWatches != 0 || !slices.Equal(harness.watchIndices, []int64{5}) {
		t.Fatalf("%d watches given up, asked from %v", harness.stoppedWatches, harness.watchIndices)
	}
	harness.timeUntilWatch(10)
	harness.apply(ListReceived{endpoint.List{Index: 9, Hosts: []endpoint.Host{{Name: "s-00000064", Status: "DRAINING"}}}})
	if f := harness.query(GetFigures, "").Figures; f.Unavailable != 1 {
		t.Error("a late word was not heard")
	}
}
