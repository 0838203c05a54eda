package serving

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// burstInterval is the pause between two bursts.
const burstInterval = 15 * time.Millisecond

// burstLatencies are the latencies of a series of bursts. A burst's last delivery is the one that is counted last. Clients
// take the time of reading before they count, so that another client may have read slightly later, and a percentile of
// last may be slightly below the one of each.
type burstLatencies struct {
	each *latencies // of every delivery
	last *latencies // of the last delivery of each burst
}

// measureLoadedBursts measures bursts while the other connections carry deliveries at a rate.
func (r *run) measureLoadedBursts(ctx context.Context, b *bench, repeat int) error {
	loading, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error {
		_, err := r.deliver(loading, b.clients, b.clients.all[r.Loaded:], r.Load)
		return err
	})
	m := measurement{repeat: repeat, dimension: byListeners, size: r.Loaded, phase: loadedBurstPhase}
	err := r.measureBursts(ctx, b, m)
	cancel()
	loadErr := group.Wait()
	if err != nil {
		return err
	}
	return loadErr
}

// measureBursts measures bursts to as many clients as the measurement's size.
func (r *run) measureBursts(ctx context.Context, b *bench, m measurement) error {
	taken := burstLatencies{each: newLatencies(), last: newLatencies()}
	for range r.Bursts {
		if err := r.burst(ctx, b.clients, b.clients.all[:m.size], taken); err != nil {
			return err
		}
		if err := pause(ctx, burstInterval); err != nil {
			return err
		}
	}
	r.record(m, "burst.each_p50", seconds, taken.each.percentile(median))
	r.record(m, "burst.each_p99", seconds, taken.each.percentile(percentile99))
	r.record(m, "burst.last_p50", seconds, taken.last.percentile(median))
	r.record(m, "burst.last_p99", seconds, taken.last.percentile(percentile99))
	r.report("repeat %d: %s to %d clients, until the last: %.2f ms, 99th %.2f ms", m.repeat, m.phase, m.size,
		millisecondsInSecond*taken.last.percentile(median), millisecondsInSecond*taken.last.percentile(percentile99))
	return nil
}

// burst has all hosts write one line to each of their clients at once, and waits until the last client has read it. It
// returns an error if that takes longer than deliveryTimeout.
func (r *run) burst(ctx context.Context, c *clients, to []*client, taken burstLatencies) error {
	began := time.Since(c.began)
	done := make(chan time.Duration, 1)
	var readers atomic.Int64
	c.observe(func(written, read time.Duration) {
		if written != began {
			return // a delivery of the load
		}
		taken.each.add(read - written)
		if readers.Add(1) == int64(len(to)) {
			done <- read - written
		}
	})
	defer c.observe(nil)
	if err := writeToAll(to, deliveryAt(began, r.LineBytes)); err != nil {
		return err
	}
	select {
	case latency := <-done:
		taken.last.add(latency)
		return nil
	case <-time.After(deliveryTimeout):
		return fmt.Errorf("%d of %d clients have read a line within %v", readers.Load(), len(to), deliveryTimeout)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// writeToAll has the hosts write a line to their clients, each host to one client after the other and beside the others.
func writeToAll(to []*client, line []byte) error {
	byHost := map[string][]*client{}
	for _, c := range to {
		address := c.host.LocalAddr().String()
		byHost[address] = append(byHost[address], c)
	}
	var group errgroup.Group
	for _, ofHost := range byHost {
		group.Go(func() error {
			for _, c := range ofHost {
				if _, err := c.host.Write(line); err != nil {
					return fmt.Errorf("writing a burst: %w", err)
				}
			}
			return nil
		})
	}
	return group.Wait()
}
