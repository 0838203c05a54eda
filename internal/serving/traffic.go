package serving

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
)

const (
	pace      = time.Millisecond      // between two lots of lines of a rate
	burstRest = 15 * time.Millisecond // between two bursts
	percent50 = 50
	percent99 = 99
)

// traffic measures flows, deliveries at a rate, and bursts of one line to many clients.
func (r *run) traffic(ctx context.Context, b *bench, repeat int) error {
	for _, size := range r.Flows {
		what := fmt.Sprintf("repeat %d: %d flows", repeat, size)
		if err := r.steady(ctx, what, func() error { return r.flows(ctx, b, repeat, size) }); err != nil {
			return err
		}
	}
	if err := b.clients.grow(ctx, r.Carriers); err != nil {
		return err
	}
	if err := rest(ctx, settleFor); err != nil {
		return err
	}
	for _, rate := range r.Rates {
		what := fmt.Sprintf("repeat %d: %d deliveries a second", repeat, rate)
		if err := r.steady(ctx, what, func() error { return r.rate(ctx, b, repeat, rate) }); err != nil {
			return err
		}
	}
	for _, listeners := range r.Listeners {
		what := fmt.Sprintf("repeat %d: bursts to %d clients", repeat, listeners)
		if err := r.steady(ctx, what, func() error { return r.bursts(ctx, b, repeat, listeners, "burst") }); err != nil {
			return err
		}
	}
	what := fmt.Sprintf("repeat %d: bursts beside %d deliveries a second", repeat, r.Load)
	return r.steady(ctx, what, func() error { return r.loadedBursts(ctx, b, repeat) })
}

// times collects how long deliveries took. Several clients add to it at once.
type times struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram // nanoseconds
}

func newTimes() *times { return &times{histogram: hdrhistogram.New(1000, int64(time.Minute), 3)} }

func (t *times) add(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.histogram.RecordValue(int64(min(d, time.Minute)))
}

// count is how many were added.
func (t *times) count() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.histogram.TotalCount()
}

// seconds gives a percentile.
func (t *times) seconds(percent float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.histogram.ValueAtQuantile(percent)) / 1e9
}

// rate measures deliveries at a rate, to one client after the other.
func (r *run) rate(ctx context.Context, b *bench, repeat, perSecond int) error {
	taken := newTimes()
	from := time.Since(b.clients.began)
	record := recorder(func(written, read time.Duration) {
		if written >= from { // none of a measure that was void
			taken.add(read - written)
		}
	})
	b.clients.record.Store(&record)
	defer b.clients.record.Store(nil)
	var sent int64
	var lasted time.Duration
	spent, err := b.spend(func() (err error) {
		sending, cancel := context.WithTimeout(ctx, r.Window)
		defer cancel()
		began := time.Now()
		if sent, err = r.deliver(sending, b.clients.all, b.clients, perSecond); err != nil {
			return err
		}
		lasted = time.Since(began)
		return await(ctx, func() bool { return taken.count() == sent })
	})
	if err != nil {
		return err
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	r.add(repeat, "lines_per_second", perSecond, "deliver", "node.cpu", "us/s", spent/lasted.Seconds())
	r.add(repeat, "lines_per_second", perSecond, "deliver", "deliveries", "1/s", float64(sent)/lasted.Seconds())
	r.add(repeat, "lines_per_second", perSecond, "deliver", "delivery.p50", "s", taken.seconds(percent50))
	r.add(repeat, "lines_per_second", perSecond, "deliver", "delivery.p99", "s", taken.seconds(percent99))
	r.say("repeat %d: %d deliveries a second: %.1f us each, %.2f ms, 99th %.2f ms", repeat, perSecond,
		spent/float64(sent), 1e3*taken.seconds(percent50), 1e3*taken.seconds(percent99))
	return nil
}

// deliver writes lines at a rate until the context ends, to one client after the other, and tells how many. What a late
// timer left out follows at once, so the rate holds.
func (r *run) deliver(ctx context.Context, to []*client, c *clients, perSecond int) (sent int64, err error) {
	ticker := time.NewTicker(pace)
	defer ticker.Stop()
	for began := time.Now(); ; {
		select {
		case <-ctx.Done():
			return sent, nil
		case <-ticker.C:
		}
		for due := int64(time.Since(began).Seconds() * float64(perSecond)); sent < due; sent++ {
			if _, err := to[sent%int64(len(to))].host.Write(c.line(r.LineBytes)); err != nil {
				return sent, err
			}
		}
	}
}

// await waits until something that is sure to come has come.
func await(ctx context.Context, come func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, deliverWithin)
	defer cancel()
	for !come() {
		if err := rest(ctx, pace); err != nil {
			return fmt.Errorf("not all of it came: %w", err)
		}
	}
	return nil
}

// loadedBursts measures bursts while the other connections carry deliveries at a rate.
func (r *run) loadedBursts(ctx context.Context, b *bench, repeat int) error {
	loading, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error {
		_, err := r.deliver(loading, b.clients.all[r.Loaded:], b.clients, r.Load)
		return err
	})
	err := r.bursts(ctx, b, repeat, r.Loaded, "burst_with_load")
	cancel()
	if loadErr := group.Wait(); err == nil {
		err = loadErr
	}
	return err
}

// bursts measures one line to so many clients, again and again.
func (r *run) bursts(ctx context.Context, b *bench, repeat, listeners int, phase string) error {
	each, last := newTimes(), newTimes()
	for range r.Bursts {
		if err := r.burst(ctx, b.clients, b.clients.all[:listeners], each, last); err != nil {
			return err
		}
		if err := rest(ctx, burstRest); err != nil {
			return err
		}
	}
	for _, of := range []struct {
		name  string
		times *times
	}{{"each", each}, {"last", last}} {
		r.add(repeat, "listeners", listeners, phase, "burst."+of.name+"_p50", "s", of.times.seconds(percent50))
		r.add(repeat, "listeners", listeners, phase, "burst."+of.name+"_p99", "s", of.times.seconds(percent99))
	}
	r.say("repeat %d: %s to %d clients, until the last: %.2f ms, 99th %.2f ms", repeat, phase, listeners,
		1e3*last.seconds(percent50), 1e3*last.seconds(percent99))
	return nil
}

// burst has all hosts write one line to each of their clients at once, and waits until the last has read it.
func (r *run) burst(ctx context.Context, c *clients, to []*client, each, last *times) error {
	byHost := map[string][]*client{}
	for _, one := range to {
		at := one.host.LocalAddr().String()
		byHost[at] = append(byHost[at], one)
	}
	began := time.Since(c.began)
	text := c.lineAt(began, r.LineBytes)
	done := make(chan time.Duration, 1)
	var read atomic.Int64
	record := recorder(func(written, at time.Duration) {
		if written != began {
			return // of the load
		}
		each.add(at - written)
		if read.Add(1) == int64(len(to)) {
			done <- at - written
		}
	})
	c.record.Store(&record)
	defer c.record.Store(nil)
	var group errgroup.Group
	for _, some := range byHost {
		group.Go(func() error {
			for _, one := range some {
				if _, err := one.host.Write(text); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	select {
	case took := <-done:
		last.add(took)
		return nil
	case <-time.After(deliverWithin):
		return fmt.Errorf("%d of %d clients have read a line within %v", read.Load(), len(to), deliverWithin)
	case <-ctx.Done():
		return ctx.Err()
	}
}
