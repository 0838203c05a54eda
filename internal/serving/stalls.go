package serving

import (
	"context"
	"fmt"
	"time"
)

const (
	tickInterval = 10 * time.Millisecond // of the watch for stalls
	minStall     = 2 * tickInterval      // that the watch can tell from a late tick
	maxAttempts  = 5                     // of one measure
)

// measure takes a measure of the given title. A measure during which this machine stalled is discarded with its rows and
// taken again, because its times and its processor time are the machine's and not the node's.
func (r *run) measure(ctx context.Context, title string, take func() error) error {
	for range maxAttempts {
		before := len(r.table.Rows)
		stop := watchStalls()
		err := take()
		stalled := stop()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if stalled <= r.Stall {
			return err
		}
		r.table.Rows = r.table.Rows[:before]
		r.discarded++
		r.report("%s: discarded, the machine stalled for %.2f s: measuring again", title, stalled.Seconds())
	}
	return fmt.Errorf("%s: the machine stalled for over %v in each of %d measures", title, r.Stall, maxAttempts)
}

// stalls keeps the longest time by which a tick came late.
type stalls struct {
	last    time.Time
	longest time.Duration
}

// tick takes the time of a tick.
func (s *stalls) tick(now time.Time) {
	late := now.Sub(s.last) - tickInterval
	s.longest = max(s.longest, late)
	s.last = now
}

// watchStalls starts a goroutine that watches for stalls. The caller owns it and ends it by calling stop once, which
// returns the longest stall.
func watchStalls() (stop func() time.Duration) {
	ended := make(chan struct{})
	longest := make(chan time.Duration)
	go func() { longest <- watchUntil(ended) }()
	return func() time.Duration {
		close(ended)
		return <-longest
	}
}

// watchUntil takes ticks until the channel is closed and returns the longest stall.
func watchUntil(ended <-chan struct{}) time.Duration {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	s := stalls{last: time.Now()}
	for {
		select {
		case <-ticker.C:
			s.tick(time.Now())
		case <-ended:
			s.tick(time.Now())
			return s.longest
		}
	}
}
