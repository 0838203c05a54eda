package serving

import (
	"context"
	"fmt"
	"time"
)

const (
	settleTime      = time.Second      // pause between opening connections and measuring
	deliveryTimeout = 10 * time.Second // time limit for reading a burst, and for the condition of await
	pollInterval    = time.Millisecond
)

// pause waits for a duration. It returns the context's error if the context ends first.
func pause(ctx context.Context, span time.Duration) error {
	select {
	case <-time.After(span):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// await polls a condition until it is true. It returns an error if the context ends or after deliveryTimeout.
func await(ctx context.Context, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, deliveryTimeout)
	defer cancel()
	for !condition() {
		if err := pause(ctx, pollInterval); err != nil {
			return fmt.Errorf("waiting for all connections or deliveries: %w", err)
		}
	}
	return nil
}
