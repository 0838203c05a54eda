package serving

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// burstInterval is the pause between two bursts.
const burstInterval = 15 * time.Millisecond

// burstLatencies are the latencies of a series of bursts.
type burstLatencies struct {
	each *latencies // of every delivery
	last *latencies // of the last delivery of each burst, its longest latency
}

// burstProgress counts the clients that have read the line of one burst. It is safe for concurrent use.
type burstProgress struct {
	mu      sync.Mutex
	readers int
	longest time.Duration
}

// add counts one more client with the latency of its delivery and returns the number of clients and their longest
// latency. Clients may be counted in another order than the one in which they read.
func (p *burstProgress) add(latency time.Duration) (readers int, longest time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readers++
	p.longest = max(p.longest, latency)
	return p.readers, p.longest
}

// count returns the number of clients that have read the line so far.
func (p *burstProgress) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.readers
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
	var progress burstProgress
	c.observe(func(written, read time.Duration) {
		if written != began {
			return // a delivery of the load
		}
		latency := read - written
		taken.each.add(latency)
		readers, longest := progress.add(latency)
		if readers == len(to) {
			done <- longest
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
		return fmt.Errorf("%d of %d clients have read a line within %v", progress.count(), len(to), deliveryTimeout)
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
