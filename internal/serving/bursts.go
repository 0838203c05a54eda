package serving

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// burstInterval is the pause after each burst.
const burstInterval = 15 * time.Millisecond

// burstLatencies are the latencies of a series of bursts.
type burstLatencies struct {
	each *latencies // latency of every delivery
	last *latencies // for each burst, the longest latency, which is that of its last delivery
}

// burstProgress counts the clients that have read the line of one burst. It is safe for concurrent use.
type burstProgress struct {
	mu      sync.Mutex
	readers int
	longest time.Duration
}

// add counts one more client with the latency of its delivery. It returns the number of clients so far and their
// longest latency. Clients are not necessarily counted in the order in which they read.
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

// measureLoadedBursts measures bursts to the first Loaded clients while the other clients receive Load deliveries per second.
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

// measureBursts measures Options.Bursts bursts, each to m.size clients.
func (r *run) measureBursts(ctx context.Context, b *bench, m measurement) error {
	measured := burstLatencies{each: newLatencies(), last: newLatencies()}
	for range r.Bursts {
		if err := r.burst(ctx, b.clients, b.clients.all[:m.size], measured); err != nil {
			return err
		}
		if err := pause(ctx, burstInterval); err != nil {
			return err
		}
	}
	r.record(m, "burst.each_p50", seconds, measured.each.percentile(median))
	r.record(m, "burst.each_p99", seconds, measured.each.percentile(percentile99))
	r.record(m, "burst.last_p50", seconds, measured.last.percentile(median))
	r.record(m, "burst.last_p99", seconds, measured.last.percentile(percentile99))
	r.report("repeat %d: %s to %d clients, latency of the last delivery: median %.2f ms, 99th percentile %.2f ms",
		m.repeat, m.phase, m.size, millisecondsPerSecond*measured.last.percentile(median),
		millisecondsPerSecond*measured.last.percentile(percentile99))
	return nil
}

// burst makes the hosts write one line to each receiver at once and waits until every receiver has read it. It returns an
// error if that takes longer than deliveryTimeout.
func (r *run) burst(ctx context.Context, c *clients, receivers []*client, measured burstLatencies) error {
	began := time.Since(c.began)
	done := make(chan time.Duration, 1)
	var progress burstProgress
	c.observe(func(written, read time.Duration) {
		if written != began {
			return // a delivery that belongs to the load during the bursts
		}
		latency := read - written
		measured.each.add(latency)
		readers, longest := progress.add(latency)
		if readers == len(receivers) {
			done <- longest
		}
	})
	defer c.observe(nil)
	if err := writeToAll(receivers, deliveryAt(began, r.LineBytes)); err != nil {
		return err
	}
	select {
	case latency := <-done:
		measured.last.add(latency)
		return nil
	case <-time.After(deliveryTimeout):
		return fmt.Errorf("waiting for a burst: only %d of %d clients read the line within %v", progress.count(),
			len(receivers), deliveryTimeout)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// writeToAll makes the hosts write a line to the receivers. All hosts write at the same time; each writes to its receivers one
// after the other.
func writeToAll(receivers []*client, line []byte) error {
	byHost := map[string][]*client{}
	for _, c := range receivers {
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
