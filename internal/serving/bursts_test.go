package serving

import (
	"testing"
	"time"
)

// Clients that are counted in another order than the one in which they read leave the longest latency as the last one.
func TestLastDeliveryOfABurstIsTheLongest(t *testing.T) {
	var progress burstProgress
	progress.add(2 * time.Millisecond)
	progress.add(5 * time.Millisecond)
	readers, longest := progress.add(3 * time.Millisecond)
	if readers != 3 || longest != 5*time.Millisecond {
		t.Errorf("%d readers, the longest latency is %v", readers, longest)
	}
	if progress.count() != 3 {
		t.Errorf("counted %d readers, want 3", progress.count())
	}
}
