package scale

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gorseledge/internal/membership"
)

const (
	maxDetectionMillis = int64(30 * time.Minute / time.Millisecond) // longest time that a watch records
	significantDigits  = 2                                          // precision of recorded times
)

func newTimes() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxDetectionMillis, significantDigits)
}

// pair is a node and a member that it observes.
type pair struct{ observer, member string }

// watch notes when each observing node learns that watched members are gone, and that they are back. Each pair of an
// observer and a member counts once.
type watch struct {
	mu                sync.Mutex
	began             time.Time
	members           map[string]bool
	departed          map[pair]bool
	departedTimes     *hdrhistogram.Histogram
	returnsExpectedAt time.Time
	starts            map[string]uint64 // by returned member: the start number from which it counts as back
	returned          map[pair]bool
	returnedTimes     *hdrhistogram.Histogram
	suspicions        int // suspicions of any member since the process started
}

func newWatch() *watch {
	w := &watch{}
	w.reset(nil)
	return w
}

// reset begins a new watch on members.
func (w *watch) reset(members []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.began, w.members = time.Now(), map[string]bool{}
	for _, m := range members {
		w.members[m] = true
	}
	w.departed, w.departedTimes = map[pair]bool{}, newTimes()
	w.starts, w.returned, w.returnedTimes = nil, map[pair]bool{}, newTimes()
}

// expect begins to check for the return of watched members, each with its new start number.
func (w *watch) expect(starts map[string]uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.returnsExpectedAt, w.starts = time.Now(), starts
}

// observe handles a change of a member's state in an observer's view.
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
	w.departedTimes.RecordValue(millisecondsSince(w.began))
}

// checkReturned looks up in an observer's view each member whose return it has not noticed yet. It holds no lock during the
// lookup: the observer may be calling observe at the same time, and both would deadlock.
func (w *watch) checkReturned(observer string, member func(name string) (membership.Member, bool)) {
	for name, start := range w.awaitedMembers(observer) {
		if m, known := member(name); known && m.State <= membership.Suspect && m.Start >= start {
			w.recordReturned(pair{observer, name})
		}
	}
}

// awaitedMembers returns the members whose return an observer has not noticed yet, with their start numbers.
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

// recordReturned notes that an observer has noticed a member's return.
func (w *watch) recordReturned(p pair) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.starts[p.member] == 0 || w.returned[p] { // a new watch has begun, or the pair is already counted
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

func millisecondsSince(from time.Time) int64 {
	return min(max(time.Since(from).Milliseconds(), 1), maxDetectionMillis)
}

// watchReport is what a watch has noted.
type watchReport struct {
	Departed   *hdrhistogram.Snapshot `json:"gone"` // milliseconds, one value per pair
	Returned   *hdrhistogram.Snapshot `json:"back"`
	Suspicions int                    `json:"suspicions"`
}

func (w *watch) report() watchReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	return watchReport{w.departedTimes.Export(), w.returnedTimes.Export(), w.suspicions}
}
