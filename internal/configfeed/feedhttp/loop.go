package feedhttp

import (
	"context"
	"time"
)

// maxSleep bounds the time after which a loop calls its core, whenever that is due.
const maxSleep = time.Minute

// clock tells Unix time in seconds. It never steps back, since it reads the wall clock only once.
type clock struct {
	startedAt    time.Time
	startSeconds float64
}

// newClock returns a clock that starts with the time of the wall clock.
func newClock() clock {
	startedAt := time.Now()
	return clock{startedAt: startedAt, startSeconds: float64(startedAt.UnixNano()) / 1e9}
}

// now returns the time, in seconds.
func (c clock) now() float64 { return c.startSeconds + time.Since(c.startedAt).Seconds() }

// core is the state machine that a loop runs; E are its effects. Times are in seconds.
type core[E any] interface {
	// Next returns when Tick is due.
	Next() float64
	// Tick does what is due.
	Tick(now float64) []E
}

// input is one call of a core; it returns the effects.
type input[E any] func(now float64) []E

// loop owns a core: only its goroutine calls the core and carries out the effects, in order.
type loop[E any] struct {
	clock      clock
	core       core[E]
	carryOut   func(E) []E       // returns the effects that follow from an effect
	afterInput func(now float64) // is called after each input, when its effects are carried out
	inputs     chan input[E]
	stopped    chan struct{} // closed when run has ended
}

// newLoop returns a loop that does nothing until run.
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

// run runs the core until the context ends. It can be called once.
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

// sleep returns how long the core needs no call.
func (l *loop[E]) sleep() time.Duration {
	seconds := l.core.Next() - l.clock.now()
	if seconds >= maxSleep.Seconds() {
		return maxSleep
	}
	return time.Duration(max(seconds, 0) * float64(time.Second))
}

// apply calls the core, and carries out its effects and those that follow from them.
func (l *loop[E]) apply(call input[E]) {
	effects := call(l.clock.now())
	for len(effects) > 0 {
		more := l.carryOut(effects[0])
		effects = append(effects[1:len(effects):len(effects)], more...)
	}
	l.afterInput(l.clock.now())
}

// post passes an input to the loop. It returns false where the loop has stopped and the input is dropped.
func (l *loop[E]) post(call input[E]) bool {
	select {
	case l.inputs <- call:
		return true
	case <-l.stopped:
		return false
	}
}
