package feedhttp

import (
	"context"
	"time"
)

// maxSleep bounds the time between two looks at when a core is due next.
const maxSleep = time.Minute

// clock returns Unix time in seconds that never steps back.
type clock struct {
	startedAt    time.Time
	startSeconds float64
}

func newClock() clock {
	began := time.Now()
	return clock{startedAt: began, startSeconds: float64(began.UnixNano()) / 1e9}
}

func (c clock) now() float64 { return c.startSeconds + time.Since(c.startedAt).Seconds() }

// core is what a loop runs; E are its effects.
type core[E any] interface {
	Next() float64
	Tick(now float64) []E
}

// input is one call of a core.
type input[E any] func(now float64) []E

// loop owns a core: its goroutine alone calls the core and carries out the effects, in order.
type loop[E any] struct {
	clock      clock
	core       core[E]
	carryOut   func(E) []E       // gives what the core asks for because of it
	afterInput func(now float64) // is called after each input, once its effects are carried out
	inputs     chan input[E]
	stopped    chan struct{}
}

func newLoop[E any](c clock, core core[E], carryOut func(E) []E, settled func(now float64)) *loop[E] {
	return &loop[E]{clock: c, core: core, carryOut: carryOut, afterInput: settled,
		inputs: make(chan input[E]), stopped: make(chan struct{})}
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

// sleep is how long the core needs no call.
func (l *loop[E]) sleep() time.Duration {
	seconds := l.core.Next() - l.clock.now()
	if seconds >= maxSleep.Seconds() {
		return maxSleep
	}
	return time.Duration(max(seconds, 0) * float64(time.Second))
}

// apply calls the core and carries out its effects and theirs.
func (l *loop[E]) apply(call input[E]) {
	effects := call(l.clock.now())
	for len(effects) > 0 {
		more := l.carryOut(effects[0])
		effects = append(effects[1:len(effects):len(effects)], more...)
	}
	l.afterInput(l.clock.now())
}

// post hands the loop an input; false where the loop has stopped and the input is dropped.
func (l *loop[E]) post(call input[E]) bool {
	select {
	case l.inputs <- call:
		return true
	case <-l.stopped:
		return false
	}
}
