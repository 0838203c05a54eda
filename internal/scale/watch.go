package scale

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gorseledge/internal/membership"
)

const (
	longestKnown = int64(30 * time.Minute / time.Millisecond) // of a watch
	digits       = 2                                          // of a watch's times that are kept
)

func newTimes() *hdrhistogram.Histogram { return hdrhistogram.New(1, longestKnown, digits) }

// pair is a node and a member that it observes.
type pair struct{ observer, member string }

// watch notes when each node that observes knows that members are gone, and that they are back. Each pair of an observer
// and a member counts once.
type watch struct {
	mu         sync.Mutex
	began      time.Time
	members    map[string]bool
	gone       map[pair]bool
	goneAt     *hdrhistogram.Histogram
	returned   time.Time
	starts     map[string]uint64 // of the members that are back: from this start on a member counts as back
	back       map[pair]bool
	backAt     *hdrhistogram.Histogram
	suspicions int // that were seen of any member, ever
}

func newWatch() *watch {
	w := &watch{}
	w.reset(nil)
	return w
}

// reset begins to watch other members.
func (w *watch) reset(members []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.began, w.members = time.Now(), map[string]bool{}
	for _, m := range members {
		w.members[m] = true
	}
	w.gone, w.goneAt = map[pair]bool{}, newTimes()
	w.starts, w.back, w.backAt = nil, map[pair]bool{}, newTimes()
}

// expect begins to look for watched members to be back, each with a start.
func (w *watch) expect(starts map[string]uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.returned, w.starts = time.Now(), starts
}

// see takes a change of a member's state that an observer saw.
func (w *watch) see(observer, member string, state membership.State) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if state == membership.Suspect {
		w.suspicions++
	}
	p := pair{observer, member}
	if state < membership.Dead || !w.members[member] || w.members[observer] || w.gone[p] {
		return
	}
	w.gone[p] = true
	w.goneAt.RecordValue(milliseconds(w.began))
}

// look asks what an observer knows of each member that it does not know to be back yet. No lock is held meanwhile, as the
// observer may be telling of a change just then.
func (w *watch) look(observer string, member func(name string) (membership.Member, bool)) {
	for name, start := range w.missing(observer) {
		if m, known := member(name); known && m.State <= membership.Suspect && m.Start >= start {
			w.found(pair{observer, name})
		}
	}
}

// missing gives the members that an observer does not know to be back yet, with their starts.
func (w *watch) missing(observer string) map[string]uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.members[observer] {
		return nil
	}
	out := map[string]uint64{}
	for name, start := range w.starts {
		if !w.back[pair{observer, name}] {
			out[name] = start
		}
	}
	return out
}

// found notes that an observer knows a member to be back.
func (w *watch) found(p pair) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.starts[p.member] == 0 || w.back[p] { // another watch has begun meanwhile
		return
	}
	w.back[p] = true
	w.backAt.RecordValue(milliseconds(w.returned))
}

// looks tells whether members are expected back.
func (w *watch) looks() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.starts) > 0
}

func milliseconds(from time.Time) int64 {
	return min(max(time.Since(from).Milliseconds(), 1), longestKnown)
}

// seen is what a watch noted.
type seen struct {
	Gone       *hdrhistogram.Snapshot `json:"gone"` // milliseconds, one for each pair
	Back       *hdrhistogram.Snapshot `json:"back"`
	Suspicions int                    `json:"suspicions"`
}

func (w *watch) seen() seen {
	w.mu.Lock()
	defer w.mu.Unlock()
	return seen{w.goneAt.Export(), w.backAt.Export(), w.suspicions}
}
