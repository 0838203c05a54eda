package node

import (
	"math"
	"slices"
	"strings"
	"testing"

	"gorseledge/internal/discovery/endpoint"
)

// Discovery that moves is asked again at once, whether or not it was being watched, and only once.
func TestMovedDiscoveryIsWatchedAtOnce(t *testing.T) {
	w := newHarness(t, "proxy", 3, 100)
	for _, in := range []Input{DiscoveryMoved{}, WatchFailed{Reason: "gone"}, DiscoveryMoved{}} {
		w.apply(in)
	}
	if want := []int64{5, 6, 6}; !slices.Equal(w.watchIndices, want) {
		t.Fatalf("watched from %v, wanted %v", w.watchIndices, want)
	}
	w.advance(5) // the wish that the failure left is met already
	if len(w.watchIndices) != 3 {
		t.Fatalf("watched from %v", w.watchIndices)
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
		w := newHarness(t, "proxy", 1, 100)
		w.watchIndices = nil
		w.node.watch.state = watchIdle
		w.apply(WatchFailed{Reason: "the end"})
		for seen := 0; w.now < 1e9+60; w.advance(0.01) {
			if len(w.watchIndices) > seen {
				seen = len(w.watchIndices)
				if c.tells {
					w.apply(ListReceived{hostList(1)})
				}
				w.apply(WatchFailed{Reason: "the end"})
			}
		}
		if n := len(w.watchIndices); n < 4 || n > c.most {
			t.Errorf("%s: %d watches in a minute", c.name, n)
		}
	}
}

// timeUntilWatch lets time go by without a word of the watch until it is asked for anew, and gives how long that took.
func (w *testHarness) timeUntilWatch(most float64) float64 {
	w.watchSilent = true
	began, had := w.now, len(w.watchIndices)
	for len(w.watchIndices) == had {
		if w.now-began > most {
			return math.Inf(1)
		}
		w.advance(0.01)
	}
	return w.now - began
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
		w := newHarness(t, "proxy", 3, 100)
		for _, in := range c.before {
			w.apply(in)
		}
		if took := w.timeUntilWatch(10); took < c.least-0.01 || took > c.most+0.02 {
			t.Errorf("%s: asked anew after %.2f s, wanted %.2f to %.2f s", c.name, took, c.least, c.most)
		}
		if w.stoppedWatches != c.unwatches {
			t.Errorf("%s: %d watches ended, wanted %d", c.name, w.stoppedWatches, c.unwatches)
		}
		if f := w.query(GetFigures, "").Figures; f.Listed != 3 || f.Unavailable != 0 {
			t.Errorf("%s: %d hosts listed, %d avoided", c.name, f.Listed, f.Unavailable)
		}
	}
}

const balancerTick = 0.25 // s, the module's pace

// A call that is not answered is kept in its turn, and another is made beside it every four seconds, however often.
// Guards against a discovery that needs longer than that for a call, where who starts again is never answered; against
// a call that got lost and held up the next; and against an agent that is given no second call.
func TestUnansweredCallIsKeptAndRepeatedBeside(t *testing.T) {
	w := newHarnessWith(t, strings.Replace(settingsJSON, "{", `{"membership_mode":"automatic",`, 1), "proxy", 3, 100)
	w.apply(DiscoveryMoved{})
	for range 5 { // its own agent
		if took := w.timeUntilWatch(100); math.Abs(took-watchAnswerTimeout) > 2*balancerTick {
			t.Fatalf("waited %.2f s for an agent, wanted %.0f s", took, watchAnswerTimeout)
		}
	}
	if w.stoppedWatches != 5 || w.parallelWatches != 0 {
		t.Errorf("%d calls of an agent given up, %d made beside, wanted 5 and 0", w.stoppedWatches, w.parallelWatches)
	}
	w = newHarness(t, "proxy", 3, 100)
	w.apply(DiscoveryMoved{})
	for range 20 {
		if took := w.timeUntilWatch(100); math.Abs(took-watchAnswerTimeout) > 2*balancerTick {
			t.Fatalf("waited %.2f s, wanted %.0f s", took, watchAnswerTimeout)
		}
	}
	if w.stoppedWatches != 0 || w.parallelWatches != 20 {
		t.Errorf("%d calls given up, %d made beside, wanted 0 and 20", w.stoppedWatches, w.parallelWatches)
	}
	w.apply(WatchAlive{})
	w.timeUntilWatch(5)
	if w.stoppedWatches != 1 {
		t.Errorf("%d watches ended, wanted the one that spoke", w.stoppedWatches)
	}
	if took := w.timeUntilWatch(100); math.Abs(took-watchAnswerTimeout) > 2*balancerTick {
		t.Errorf("waited %.2f s after an answer, wanted %.0f s", took, watchAnswerTimeout)
	}
}

// A line that comes a byte at a time and never ends is given up like a call that is not answered, one that ends is not.
// Guards against a list that gets old behind a watch which seems alive.
func TestEndlessLineEndsTheWatch(t *testing.T) {
	for _, ends := range []bool{false, true} {
		w := newHarness(t, "proxy", 3, 100)
		for i := range 60 {
			w.advance(0.2)
			w.apply(WatchAlive{MidLine: !ends || i%15 != 14}) // a line of three seconds, or one without an end
		}
		if given := w.stoppedWatches > 0; given == ends {
			t.Errorf("a line that ends %v: %d watches given up", ends, w.stoppedWatches)
		}
	}
}

// What a watch still says that was given up counts, and one that speaks every two seconds is never given up.
func TestLateListCounts(t *testing.T) {
	w := newHarness(t, "proxy", 3, 100)
	w.advance(60)
	if w.stoppedWatches != 0 || !slices.Equal(w.watchIndices, []int64{5}) {
		t.Fatalf("%d watches given up, asked from %v", w.stoppedWatches, w.watchIndices)
	}
	w.timeUntilWatch(10)
	w.apply(ListReceived{endpoint.List{Index: 9, Hosts: []endpoint.Host{{Name: "s-00000064", Status: "DRAINING"}}}})
	if f := w.query(GetFigures, "").Figures; f.Unavailable != 1 {
		t.Error("a late word was not heard")
	}
}
