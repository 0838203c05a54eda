// Package virtual is the clock of simulated fleets. It owns the order of events in virtual time: the time stands still
// while an event runs, and the same events come in the same order each time. It does not read the real clock and starts no
// goroutine.
package virtual

import (
	"container/heap"
	"math/rand/v2"
)

// Clock is virtual time, in seconds. The zero value begins at 0 and has no events. It is not safe for concurrent use.
type Clock struct {
	Now   float64 // present time; set before the first event only
	Steps int     // events run so far
	// Permute draws the order of events that are due at the same time. Where it is nil, they run in the order in which
	// they were scheduled.
	Permute *rand.Rand

	queue        eventQueue
	lastSequence uint64
}

// After schedules a function to run once some seconds have passed. It runs after what is due at the same time already; a
// negative time counts as 0.
func (c *Clock) After(seconds float64, run func()) { c.At(c.Now+max(seconds, 0), run) }

// At schedules a function to run at a time, or now where that time is over.
func (c *Clock) At(when float64, run func()) {
	c.lastSequence++
	e := event{at: max(when, c.Now), sequence: c.lastSequence, run: run}
	if c.Permute != nil {
		e.rank = c.Permute.Uint64()
	}
	heap.Push(&c.queue, e)
}

// Step runs the next event that is due up to the time end, and reports whether there was one. Where there was none, the
// time is end afterwards.
func (c *Clock) Step(end float64) bool {
	if len(c.queue) == 0 || c.queue[0].at > end {
		c.Now = max(c.Now, end)
		return false
	}
	e := heap.Pop(&c.queue).(event)
	c.Now = e.at
	c.Steps++
	e.run()
	return true
}
