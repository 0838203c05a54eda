package scale

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gorseledge/internal/membership"
)

const (
	maxDelayMillis    = int64(30 * time.Minute / time.Millisecond) // a longer delay is recorded as this one
	significantDigits = 2                                          // precision of recorded delays
)

// newDelayHistogram returns an empty histogram of delays in milliseconds.
func newDelayHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxDelayMillis, significantDigits)
}

// pair is an observing node and a member in its view.
type pair struct{ observer, member string }

// watch records how soon each observing node sees watched members as dead or left, and how soon it sees them as live again
// after their restart or reconnection. Each pair of an observer and a member contributes at most one delay of each kind.
type watch struct {
	mu                sync.Mutex
	startedAt         time.Time
	members           map[string]bool // watched members
	departed          map[pair]bool   // pairs whose departure delay has been recorded
	departedTimes     *hdrhistogram.Histogram
	returnsExpectedAt time.Time
	starts            map[string]uint64 // by returned member: lowest start number with which the member counts as returned
	returned          map[pair]bool     // pairs whose return delay has been recorded
	returnedTimes     *hdrhistogram.Histogram
	suspicions        int // suspicions of any member since the process started
}

func newWatch() *watch {
	w := &watch{}
	w.reset(nil)
	return w
}

// reset discards all recorded delays and expected returns, and starts to watch members for their departure. The count of
// suspicions is kept.
func (w *watch) reset(members []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startedAt, w.members = time.Now(), map[string]bool{}
	for _, m := range members {
		w.members[m] = true
	}
	w.departed, w.departedTimes = map[pair]bool{}, newDelayHistogram()
	w.starts, w.returned, w.returnedTimes = nil, map[pair]bool{}, newDelayHistogram()
}

// expect starts to watch for the return of members, each with the lowest start number that counts as returned.
func (w *watch) expect(starts map[string]uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.returnsExpectedAt, w.starts = time.Now(), starts
}

// observe handles a change of a member's state in an observer's view: it counts suspicions, and records the delay when the
// observer first sees a watched member as dead or left. It ignores watched members as observers.
func (w *watch) observe(observer, member string, state membership.State) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if state == membership.Suspect {
		w.suspicions++
	}
	p := pair{observer, member}
	if state < membership.Dead || !w.members[member] || w.members[observer] || w.departed[p] {
		return
	}
	w.departed[p] = true
	w.departedTimes.RecordValue(millisecondsSince(w.startedAt))
}

// checkReturned looks up, in an observer's view, each member whose return the observer has not seen yet, and records the
// returns. It holds no lock during the lookup: the observer may be calling observe at the same time, and both would deadlock.
func (w *watch) checkReturned(observer string, member func(name string) (membership.Member, bool)) {
	for name, start := range w.awaitedMembers(observer) {
		if m, known := member(name); known && m.State <= membership.Suspect && m.Start >= start {
			w.recordReturned(pair{observer, name})
		}
	}
}

// awaitedMembers returns the start numbers, by name, of the members whose return an observer has not seen yet; none for a
// watched member.
func (w *watch) awaitedMembers(observer string) map[string]uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.members[observer] {
		return nil
	}
	out := map[string]uint64{}
	for name, start := range w.starts {
		if !w.returned[pair{observer, name}] {
			out[name] = start
		}
	}
	return out
}

// recordReturned records the delay until an observer saw a member's return.
func (w *watch) recordReturned(p pair) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.starts[p.member] == 0 || w.returned[p] { // the watch was reset during the lookup, or the pair is already recorded
		return
	}
	w.returned[p] = true
	w.returnedTimes.RecordValue(millisecondsSince(w.returnsExpectedAt))
}

// expectsReturns reports whether members are expected back.
func (w *watch) expectsReturns() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.starts) > 0
}

// millisecondsSince returns the time since from, limited to the range of a delay histogram.
func millisecondsSince(from time.Time) int64 {
	return min(max(time.Since(from).Milliseconds(), 1), maxDelayMillis)
}

// watchReport holds the delays and the number of suspicions that a watch has recorded.
type watchReport struct {
	Departed   *hdrhistogram.Snapshot `json:"gone"` // milliseconds, at most one value per pair
	Returned   *hdrhistogram.Snapshot `json:"back"` // milliseconds, at most one value per pair
	Suspicions int                    `json:"suspicions"`
}

func (w *watch) report() watchReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	return watchReport{w.departedTimes.Export(), w.returnedTimes.Export(), w.suspicions}
}
