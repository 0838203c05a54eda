package fleet

import (
	"context"
	"time"
)

// wakeSignal wakes a goroutine that has to read shared state again. Signals that are set before the goroutine receives one
// are merged.
type wakeSignal chan struct{}

// newWakeSignal returns a signal that is not set.
func newWakeSignal() wakeSignal { return make(wakeSignal, 1) }

// set sets the signal. It does not block.
func (w wakeSignal) set() {
	select {
	case w <- struct{}{}:
	default:
	}
}

// wait waits until the signal is set and clears it, or until the context ends.
func (w wakeSignal) wait(ctx context.Context) {
	select {
	case <-w:
	case <-ctx.Done():
	}
}

// sleep waits for a duration, or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}
