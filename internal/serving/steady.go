package serving

import (
	"context"
	"fmt"
	"time"
)

const (
	beatGap      = 10 * time.Millisecond // of the watch for stalls
	mostAttempts = 5
)

// steady takes a measure; one during which this machine stood still is void and taken again, as its times and its
// processor time are the machine's and not the node's.
func (r *run) steady(ctx context.Context, what string, measure func() error) error {
	for range mostAttempts {
		before := len(r.table.Rows)
		stop := watchStalls()
		err := measure()
		stalled := stop()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if stalled <= r.Stall {
			return err
		}
		r.table.Rows = r.table.Rows[:before]
		r.void++
		r.say("%s: void, the machine stood still for %.2f s: taken again", what, stalled.Seconds())
	}
	return fmt.Errorf("%s: the machine stood still for over %v in each of %d measures", what, r.Stall, mostAttempts)
}

// stalls keeps the longest time by which a beat came late.
type stalls struct {
	last    time.Time
	longest time.Duration
}

func (s *stalls) beat(now time.Time) {
	s.longest = max(s.longest, now.Sub(s.last)-beatGap)
	s.last = now
}

// watchStalls begins to watch for stalls. The function that it gives ends the watch and tells the longest one.
func watchStalls() (stop func() time.Duration) {
	ended, longest := make(chan struct{}), make(chan time.Duration)
	go func() {
		ticker := time.NewTicker(beatGap)
		defer ticker.Stop()
		s := stalls{last: time.Now()}
		for {
			select {
			case <-ticker.C:
				s.beat(time.Now())
			case <-ended:
				s.beat(time.Now())
				longest <- s.longest
				return
			}
		}
	}()
	return func() time.Duration {
		close(ended)
		return <-longest
	}
}
