package serving

import (
	"context"
	"fmt"
	"time"
)

const (
	tickInterval = 10 * time.Millisecond // interval of the ticks by which stalls are detected
	minStall     = 2 * tickInterval      // shortest stall that differs from a late tick
	maxAttempts  = 5                     // attempts of one measurement
)

// measure runs one measurement; title names it in messages. If the machine stalls during it, measure discards its rows and
// repeats it, because its latencies and CPU times were affected by the machine and not by the node.
func (r *run) measure(ctx context.Context, title string, attempt func() error) error {
	for range maxAttempts {
		before := len(r.table.Rows)
		stop := watchStalls()
		err := attempt()
		stalled := stop()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if stalled <= r.Stall {
			return err
		}
		r.table.Rows = r.table.Rows[:before]
		r.discarded++
		r.report("%s: discarded because the machine stalled for %.2f s, measuring again", title, stalled.Seconds())
	}
	return fmt.Errorf("%s: the machine stalled for more than %v in each of %d attempts", title, r.Stall, maxAttempts)
}

// stalls records the longest delay of a tick.
type stalls struct {
	last    time.Time
	longest time.Duration
}

// tick records the delay of a tick that arrived now.
func (s *stalls) tick(now time.Time) {
	late := now.Sub(s.last) - tickInterval
	s.longest = max(s.longest, late)
	s.last = now
}

// watchStalls starts a goroutine that detects stalls. The caller must call stop exactly once; it ends the goroutine and
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

// watchUntil records ticks until the channel is closed and returns the longest stall.
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
