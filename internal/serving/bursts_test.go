package serving

import (
	"testing"
	"time"
)

// Reader goroutines may add their latencies out of order. The burst must report the longest of them as the latency of its
// last delivery, not the one that was added last.
func TestLastDeliveryOfABurstIsTheLongest(t *testing.T) {
	var progress burstProgress
	progress.add(2 * time.Millisecond)
	progress.add(5 * time.Millisecond)
	readers, longest := progress.add(3 * time.Millisecond)
	if readers != 3 || longest != 5*time.Millisecond {
		t.Errorf("got %d readers with a longest latency of %v, want 3 readers and 5ms", readers, longest)
	}
	if progress.count() != 3 {
		t.Errorf("counted %d readers, want 3", progress.count())
	}
}
