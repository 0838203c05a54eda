package serving

import (
	"context"
	"fmt"
	"time"
)

const (
	// deliveryInterval is the time between two groups of lines of a rate.
	deliveryInterval = time.Millisecond
	// millisecondsInSecond converts seconds for progress lines.
	millisecondsInSecond = 1e3
)

// delivered is what was sent at a rate.
type delivered struct {
	lines  int64
	lasted time.Duration // of the sending, without the wait for the last reader
}

// measureRate measures deliveries at a rate, to one client after the other.
func (r *run) measureRate(ctx context.Context, b *bench, repeat, rate int) error {
	taken := newLatencies()
	from := time.Since(b.clients.began)
	b.clients.observe(func(written, read time.Duration) {
		if written >= from { // an earlier line belongs to a discarded measure
			taken.add(read - written)
		}
	})
	defer b.clients.observe(nil)
	var sent delivered
	spent, err := b.processorTime(func() (err error) {
		sent, err = r.deliverForWindow(ctx, b.clients, rate)
		if err != nil {
			return err
		}
		return await(ctx, func() bool { return taken.count() == sent.lines })
	})
	if err != nil {
		return err
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	m := measurement{repeat: repeat, dimension: byRate, size: rate, phase: deliveryPhase}
	r.record(m, "node.cpu", microsecondsPerSecond, spent/sent.lasted.Seconds())
	r.record(m, "deliveries", perSecond, float64(sent.lines)/sent.lasted.Seconds())
	r.record(m, "delivery.p50", seconds, taken.percentile(median))
	r.record(m, "delivery.p99", seconds, taken.percentile(percentile99))
	r.report("repeat %d: %d deliveries a second: %.1f us each, %.2f ms, 99th %.2f ms", repeat, rate,
		spent/float64(sent.lines), millisecondsInSecond*taken.percentile(median),
		millisecondsInSecond*taken.percentile(percentile99))
	return nil
}

// deliverForWindow delivers lines to all clients at a rate for the time of Options.Window.
func (r *run) deliverForWindow(ctx context.Context, c *clients, rate int) (delivered, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Window)
	defer cancel()
	began := time.Now()
	lines, err := r.deliver(ctx, c, c.all, rate)
	return delivered{lines: lines, lasted: time.Since(began)}, err
}

// deliver writes lines at a rate until the context ends, to one client after the other, and returns how many. Lines that
// a late timer left out follow at once, so that the rate holds.
func (r *run) deliver(ctx context.Context, c *clients, to []*client, rate int) (sent int64, err error) {
	ticker := time.NewTicker(deliveryInterval)
	defer ticker.Stop()
	began := time.Now()
	for {
		select {
		case <-ctx.Done():
			return sent, nil
		case <-ticker.C:
		}
		due := int64(time.Since(began).Seconds() * float64(rate))
		for ; sent < due; sent++ {
			receiver := to[sent%int64(len(to))]
			if _, err := receiver.host.Write(c.delivery(r.LineBytes)); err != nil {
				return sent, fmt.Errorf("writing a delivery: %w", err)
			}
		}
	}
}
