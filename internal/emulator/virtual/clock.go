// Package virtual implements the clock and the event queue of discrete-event simulations. Virtual time does not advance while
// an event runs, and the order of events is deterministic. The package does not read the real clock and starts no goroutine.
package virtual

import (
	"container/heap"
	"math/rand/v2"
)

// Clock is virtual time, in seconds. The zero value begins at 0 and has no events. It is not safe for concurrent use.
type Clock struct {
	Now   float64 // present time; callers may set it only before the first event
	Steps int     // number of events that were run
	// Permute, if not nil, is the random source for the order of events that are due at the same time. If it is nil, they run
	// in the order in which they were scheduled.
	Permute *rand.Rand

	queue        eventQueue
	lastSequence uint64
}

// After schedules a function to run after the given seconds. Unless Permute is set, it runs after the events that are already
// scheduled for the same time. A negative number of seconds counts as 0.
func (c *Clock) After(seconds float64, run func()) { c.At(c.Now+max(seconds, 0), run) }

// At schedules a function to run at the given time, or at the present time if the given one has passed.
func (c *Clock) At(when float64, run func()) {
	c.lastSequence++
	e := event{at: max(when, c.Now), sequence: c.lastSequence, run: run}
	if c.Permute != nil {
		e.rank = c.Permute.Uint64()
	}
	heap.Push(&c.queue, e)
}

// Step runs the next event that is due no later than end, and reports whether there was one. If there was none, it advances
// the time to end.
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
