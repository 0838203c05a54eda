package lab

import (
	"context"
	"fmt"

	"golang.org/x/sync/errgroup"

	"gorseledge/internal/emulator"
)

// Sweep runs a script once with each seed and returns the results in the order of the seeds. Up to limit runs are
// active at the same time, at least one. When the context is done, no further run is started, and Sweep returns the
// context's error after the active runs have ended. The results of runs that were not started are nil.
func Sweep(ctx context.Context, s emulator.Scenario, seeds []uint64, limit int, o emulator.Options) ([]*emulator.Result, error) {
	results := make([]*emulator.Result, len(seeds))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(limit, 1))
	for i, seed := range seeds {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return fmt.Errorf("running seed %d: %w", seed, err)
			}
			results[i] = emulator.Run(s, seed, o)
			return nil
		})
	}
	return results, group.Wait()
}
