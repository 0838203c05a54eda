package virtual

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// runAll runs all events that are due no later than end.
func runAll(c *Clock, end float64) {
	for c.Step(end) {
	}
}

// recorder records names of events in the order in which they run.
type recorder struct{ names []string }

func (r *recorder) event(name string) func() {
	return func() { r.names = append(r.names, name) }
}

// Guards against events that run out of order or after the end, which would break the causality of a simulation.
func TestEventsRunInOrderOfTime(t *testing.T) {
	var c Clock
	var ran recorder
	c.At(3, ran.event("third"))
	c.At(1, ran.event("first"))
	c.After(2, ran.event("second"))
	c.At(9, ran.event("after the end"))
	runAll(&c, 5)
	if want := []string{"first", "second", "third"}; !slices.Equal(ran.names, want) {
		t.Errorf("events ran in order %v, want %v", ran.names, want)
	}
	if c.Now != 5 || c.Steps != 3 {
		t.Errorf("time is %g after %d steps, want 5 after 3", c.Now, c.Steps)
	}
}

// Guards against an order of simultaneous events that depends on the heap, so that two versions of a simulation with the same
// events would have different traces.
func TestSimultaneousEventsRunInOrderOfScheduling(t *testing.T) {
	var c Clock
	var ran recorder
	for _, name := range []string{"a", "b", "c"} {
		c.At(1, ran.event(name))
	}
	c.At(0, func() { c.At(1, ran.event("d")) })
	runAll(&c, 1)
	if want := []string{"a", "b", "c", "d"}; !slices.Equal(ran.names, want) {
		t.Errorf("events ran in order %v, want %v", ran.names, want)
	}
}

// Guards against a clock that goes backwards when an event is scheduled for a time that has passed.
func TestEventInThePastRunsAtPresentTime(t *testing.T) {
	c := Clock{Now: 10}
	var times []float64
	c.At(3, func() { times = append(times, c.Now) })
	c.After(-1, func() { times = append(times, c.Now) })
	runAll(&c, 20)
	if want := []float64{10, 10}; !slices.Equal(times, want) {
		t.Errorf("events ran at %v, want %v", times, want)
	}
}

// Guards against permuted runs that cannot be repeated, and against a permutation without effect: the same seed has to give the
// same order, and not all seeds the same one.
func TestPermutedOrderDependsOnlyOnSeed(t *testing.T) {
	order := func(seed uint64) []string {
		c := Clock{Permute: rand.New(rand.NewPCG(seed, 0))}
		var ran recorder
		for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
			c.At(1, ran.event(name))
		}
		runAll(&c, 1)
		return ran.names
	}
	if first, second := order(1), order(1); !slices.Equal(first, second) {
		t.Errorf("two runs with the same seed have orders %v and %v", first, second)
	}
	different := false
	for seed := range uint64(5) {
		different = different || !slices.Equal(order(seed), order(seed+1))
	}
	if !different {
		t.Error("all seeds result in the same order")
	}
}
