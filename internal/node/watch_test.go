package node

import (
	"math"
	"slices"
	"strings"
	"testing"

	"gorseledge/internal/discovery/endpoint"
)

// timeUntilWatch lets time go by without a word of the watch until it is asked for anew, and gives how long that took.
func (w *harness) timeUntilWatch(most float64) float64 {
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
func TestSilentWatch(t *testing.T) {
	one := func(status string) ListReceived {
		return ListReceived{endpoint.List{Index: 9, Hosts: []endpoint.Host{{Name: "s-00000064", Status: status}}}}
	}
	for _, c := range []struct {
		name        string
		before      []Input
		least, most float64 // s from the last of these to the next call
		unwatches   int
	}{
		{"a call that nothing answers", []Input{DiscoveryMoved{}}, watchAnswerTimeout, watchAnswerTimeout + beatOf, 0},
		{"an answer with nothing in it", []Input{DiscoveryMoved{}, WatchAlive{}}, watchSilenceTimeout, watchSilenceTimeout + beatOf, 1},
		{"after a list", []Input{DiscoveryMoved{}, one("SERVING")}, watchSilenceTimeout, watchSilenceTimeout + beatOf, 1},
		{"between lines, or in the middle of one", []Input{DiscoveryMoved{}, one("SERVING"), WatchAlive{}, WatchAlive{}}, watchSilenceTimeout,
			watchSilenceTimeout + beatOf, 1},
		{"reset", []Input{DiscoveryMoved{}, WatchFailed{Reason: "reset"}}, beatOf / 2, 2 * beatOf, 0},
		{"reset after a list", []Input{DiscoveryMoved{}, one("SERVING"), WatchFailed{Reason: "reset"}}, beatOf / 2, 2 * beatOf, 0},
		{"refused twice", []Input{DiscoveryMoved{}, WatchFailed{Reason: "503"}, WatchFailed{Reason: "503"}}, beatOf, 4 * beatOf, 0},
		{"moved while it is waited for", []Input{WatchFailed{Reason: "503"}, DiscoveryMoved{}}, watchAnswerTimeout, watchAnswerTimeout + beatOf, 0},
		{"moved while it is silent", []Input{one("SERVING"), DiscoveryMoved{}}, watchAnswerTimeout, watchAnswerTimeout + beatOf, 0},
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

const beatOf = 0.25 // s, the module's pace

// A call that is not answered is kept in its turn, and another is made beside it every four seconds, however often.
// Guards against a discovery that needs longer than that for a call, where who starts again is never answered; against
// a call that got lost and held up the next; and against an agent that is given no second call.
func TestSlowDiscovery(t *testing.T) {
	w := newHarnessWith(t, strings.Replace(settingsJSON, "{", `{"membership_mode":"automatic",`, 1), "proxy", 3, 100)
	w.apply(DiscoveryMoved{})
	for range 5 { // its own agent
		if took := w.timeUntilWatch(100); math.Abs(took-watchAnswerTimeout) > 2*beatOf {
			t.Fatalf("waited %.2f s for an agent, wanted %.0f s", took, watchAnswerTimeout)
		}
	}
	if w.stoppedWatches != 5 || w.parallelWatches != 0 {
		t.Errorf("%d calls of an agent given up, %d made beside, wanted 5 and 0", w.stoppedWatches, w.parallelWatches)
	}
	w = newHarness(t, "proxy", 3, 100)
	w.apply(DiscoveryMoved{})
	for range 20 {
		if took := w.timeUntilWatch(100); math.Abs(took-watchAnswerTimeout) > 2*beatOf {
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
	if took := w.timeUntilWatch(100); math.Abs(took-watchAnswerTimeout) > 2*beatOf {
		t.Errorf("waited %.2f s after an answer, wanted %.0f s", took, watchAnswerTimeout)
	}
}

// A line that comes a byte at a time and never ends is given up like a call that is not answered, one that ends is not.
// Guards against a list that gets old behind a watch which seems alive.
func TestEndlessLine(t *testing.T) {
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
func TestLateWord(t *testing.T) {
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
