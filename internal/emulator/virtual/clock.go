// Package virtual is the clock of the emulated fleets: it stands still while an event runs, and the same events come
// in the same order each time.
package virtual

import (
	"container/heap"
	"math/rand/v2"
)

// event is something that is due. Events of one instant run in the order in which they were asked for or,
// where the order is permuted, in one drawn from the seed.
type event struct {
	at       float64
	rank     uint64
	sequence uint64
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	if e[i].rank != e[j].rank {
		return e[i].rank < e[j].rank
	}
	return e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{} // lets go of what it would have run
	*e = (*e)[:last]
	return x
}

// Clock is virtual time, in seconds. The zero value begins at 0.
type Clock struct {
	Now          float64
	Steps        int        // events run so far
	Permute      *rand.Rand // draws the order of events of one instant; nil for the order asked for
	queue        events
	lastSequence uint64
}

// After has run called once some time has passed; never before what is due at this instant already.
func (c *Clock) After(seconds float64, run func()) { c.At(c.Now+max(seconds, 0), run) }

// At has run called at a time, at once where that is over.
func (c *Clock) At(when float64, run func()) {
	c.lastSequence++
	e := event{at: max(when, c.Now), sequence: c.lastSequence, run: run}
	if c.Permute != nil {
		e.rank = c.Permute.Uint64()
	}
	heap.Push(&c.queue, e)
}

// Step runs the next event and tells whether there was one before the end.
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
