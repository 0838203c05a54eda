package serving

import (
	"context"
	"fmt"
)

// measureTraffic measures flows, deliveries at a rate, bursts of one line to many clients, and bursts during deliveries.
func (r *run) measureTraffic(ctx context.Context, b *bench, repeat int) error {
	for _, size := range r.Flows {
		title := fmt.Sprintf("repeat %d: %d flows", repeat, size)
		err := r.measure(ctx, title, func() error { return r.measureFlows(ctx, b, repeat, size) })
		if err != nil {
			return err
		}
	}
	if err := b.clients.grow(ctx, r.Carriers); err != nil {
		return err
	}
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	for _, rate := range r.Rates {
		title := fmt.Sprintf("repeat %d: %d deliveries a second", repeat, rate)
		err := r.measure(ctx, title, func() error { return r.measureRate(ctx, b, repeat, rate) })
		if err != nil {
			return err
		}
	}
	for _, listeners := range r.Listeners {
		title := fmt.Sprintf("repeat %d: bursts to %d clients", repeat, listeners)
		m := measurement{repeat: repeat, dimension: byListeners, size: listeners, phase: burstPhase}
		err := r.measure(ctx, title, func() error { return r.measureBursts(ctx, b, m) })
		if err != nil {
			return err
		}
	}
	title := fmt.Sprintf("repeat %d: bursts during %d deliveries a second", repeat, r.Load)
	return r.measure(ctx, title, func() error { return r.measureLoadedBursts(ctx, b, repeat) })
}
