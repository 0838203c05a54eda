// Package emulator plays whole fleets on a virtual clock: real node cores with stand-in clients, hosts,
// discovery, front and session store, all from one seed. It imitates no platform; its figures are simulated.
package emulator

import (
	"container/heap"
	"hash/fnv"
	"math/rand/v2"
)

// event is something that is due. Events of one instant run in the order in which they were asked for or,
// where the order is permuted, in one drawn from the seed.
type event struct {
	at   float64
	rank uint64
	turn uint64
	run  func()
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
	return e[i].turn < e[j].turn
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

// clock is virtual time: it stands still while an event runs.
type clock struct {
	now     float64
	due     events
	turn    uint64
	steps   int
	permute *rand.Rand // draws the order of events of one instant; nil for the order asked for
}

// after has run called once some time has passed; never before what is due at this instant already.
func (c *clock) after(seconds float64, run func()) { c.at(c.now+max(seconds, 0), run) }

func (c *clock) at(when float64, run func()) {
	c.turn++
	e := event{at: max(when, c.now), turn: c.turn, run: run}
	if c.permute != nil {
		e.rank = c.permute.Uint64()
	}
	heap.Push(&c.due, e)
}

// step runs the next event and tells whether there was one before the end.
func (c *clock) step(end float64) bool {
	if len(c.due) == 0 || c.due[0].at > end {
		c.now = max(c.now, end)
		return false
	}
	e := heap.Pop(&c.due).(event)
	c.now = e.at
	c.steps++
	e.run()
	return true
}

// fork gives a stream of chance of its own, so that one actor's draws do not shift another's.
func fork(seed uint64, actor string, n int) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(actor))
	return rand.New(rand.NewPCG(seed, h.Sum64()+uint64(n)))
}
