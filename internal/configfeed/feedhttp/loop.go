package feedhttp

import (
	"context"
	"time"
)

// maxSleep is the longest time that a loop waits before it calls Tick, even if the core is due later.
const maxSleep = time.Minute

// clock returns Unix time in seconds. It reads the wall clock only once and then adds the monotonic time since, so that it
// never steps back.
type clock struct {
	startedAt    time.Time
	startSeconds float64
}

// newClock returns a clock that starts at the current time of the wall clock.
func newClock() clock {
	startedAt := time.Now()
	return clock{startedAt: startedAt, startSeconds: float64(startedAt.UnixNano()) / 1e9}
}

// now returns the time, in seconds.
func (c clock) now() float64 { return c.startSeconds + time.Since(c.startedAt).Seconds() }

// core is the state machine that a loop runs; E is the type of its effects. Times are in seconds.
type core[E any] interface {
	// Next returns the time at which Tick is due.
	Next() float64
	// Tick performs what is due and returns the effects.
	Tick(now float64) []E
}

// input makes one call of a core and returns its effects.
type input[E any] func(now float64) []E

// loop owns a core: only the goroutine of run calls the core and carries out the effects, in order.
type loop[E any] struct {
	clock      clock
	core       core[E]
	carryOut   func(E) []E       // carries out one effect and returns the effects that result from it
	afterInput func(now float64) // called after each input, once its effects have been carried out
	inputs     chan input[E]
	stopped    chan struct{} // closed when run has ended
}

// newLoop returns a loop that is idle until run is called.
func newLoop[E any](c clock, core core[E], carryOut func(E) []E, afterInput func(now float64)) *loop[E] {
	return &loop[E]{
		clock:      c,
		core:       core,
		carryOut:   carryOut,
		afterInput: afterInput,
		inputs:     make(chan input[E]),
		stopped:    make(chan struct{}),
	}
}

// run passes inputs and timer ticks to the core until the context ends. It can be called once.
func (l *loop[E]) run(ctx context.Context) {
	defer close(l.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-l.inputs:
			l.apply(call)
		case <-timer.C:
			l.apply(l.core.Tick)
		}
		timer.Reset(l.sleep())
	}
}

// sleep returns the time until the core's next Tick is due, at most maxSleep.
func (l *loop[E]) sleep() time.Duration {
	seconds := l.core.Next() - l.clock.now()
	if seconds >= maxSleep.Seconds() {
		return maxSleep
	}
	return time.Duration(max(seconds, 0) * float64(time.Second))
}

// apply calls the core, and carries out its effects and those that result from them.
func (l *loop[E]) apply(call input[E]) {
	effects := call(l.clock.now())
	for len(effects) > 0 {
		more := l.carryOut(effects[0])
		effects = append(effects[1:len(effects):len(effects)], more...)
	}
	l.afterInput(l.clock.now())
}

// post passes an input to the loop. It returns false, and drops the input, if the loop has stopped.
func (l *loop[E]) post(call input[E]) bool {
	select {
	case l.inputs <- call:
		return true
	case <-l.stopped:
		return false
	}
}
