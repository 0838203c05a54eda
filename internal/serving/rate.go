package serving

import (
	"context"
	"fmt"
	"time"
)

const (
	// deliveryInterval is the time between two groups of deliveries that are written together.
	deliveryInterval = time.Millisecond
	// millisecondsPerSecond converts seconds to milliseconds for progress lines.
	millisecondsPerSecond = 1e3
)

// delivered is the number of lines that were sent at a rate, and the time that sending them took.
type delivered struct {
	lines  int64
	lasted time.Duration // without the wait until the last client has read its line
}

// measureRate measures deliveries that the hosts write at a rate, to one client after the other: CPU time of the node, actual
// rate, and latency.
func (r *run) measureRate(ctx context.Context, b *bench, repeat, rate int) error {
	measured := newLatencies()
	from := time.Since(b.clients.began)
	b.clients.observe(func(written, read time.Duration) {
		if written >= from { // earlier lines belong to a discarded measurement
			measured.add(read - written)
		}
	})
	defer b.clients.observe(nil)
	var sent delivered
	spent, err := b.processorTime(func() (err error) {
		sent, err = r.deliverForWindow(ctx, b.clients, rate)
		if err != nil {
			return err
		}
		return await(ctx, func() bool { return measured.count() == sent.lines })
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
	r.record(m, "delivery.p50", seconds, measured.percentile(median))
	r.record(m, "delivery.p99", seconds, measured.percentile(percentile99))
	r.report("repeat %d: %d deliveries a second: %.1f us each, latency: median %.2f ms, 99th percentile %.2f ms", repeat, rate,
		spent/float64(sent.lines), millisecondsPerSecond*measured.percentile(median),
		millisecondsPerSecond*measured.percentile(percentile99))
	return nil
}

// deliverForWindow writes deliveries to all clients at a rate for the duration Options.Window.
func (r *run) deliverForWindow(ctx context.Context, c *clients, rate int) (delivered, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Window)
	defer cancel()
	began := time.Now()
	lines, err := r.deliver(ctx, c, c.all, rate)
	return delivered{lines: lines, lasted: time.Since(began)}, err
}

// deliver writes lines at a rate to one receiver after the other until the context ends, and returns their number. After a
// late tick it writes all lines that are due at once, so that the mean rate is kept.
func (r *run) deliver(ctx context.Context, c *clients, receivers []*client, rate int) (sent int64, err error) {
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
			receiver := receivers[sent%int64(len(receivers))]
			if _, err := receiver.host.Write(c.delivery(r.LineBytes)); err != nil {
				return sent, fmt.Errorf("writing a delivery: %w", err)
			}
		}
	}
}
