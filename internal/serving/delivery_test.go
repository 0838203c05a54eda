package serving

import (
	"testing"
	"time"
)

// A delivery whose time or length is wrong would distort every measured latency or byte rate.
func TestDeliveryHasRequestedTimeAndLength(t *testing.T) {
	const size = 64
	line := deliveryAt(3*time.Second, size)
	if len(line) != size {
		t.Errorf("got a delivery of %d bytes, want %d", len(line), size)
	}
	written, valid := parseDelivery(line)
	if !valid || written != 3*time.Second {
		t.Errorf("parsed time %v (valid: %v), want 3s (valid: true)", written, valid)
	}
}

// Clients also read answers of the node, which must not be counted as deliveries.
func TestOtherLinesAreNotParsedAsDeliveries(t *testing.T) {
	for _, line := range []string{"", "UP 1\r\n", "M\r\n", "M x 1\r\n"} {
		t.Run(line, func(t *testing.T) {
			if written, valid := parseDelivery([]byte(line)); valid {
				t.Errorf("%q was parsed as a delivery written at %v, want no delivery", line, written)
			}
		})
	}
}
