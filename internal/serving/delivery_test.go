package serving

import (
	"testing"
	"time"
)

func TestDeliveryKeepsItsTimeAndLength(t *testing.T) {
	const size = 64
	line := deliveryAt(3*time.Second, size)
	if len(line) != size {
		t.Errorf("%d bytes, want %d", len(line), size)
	}
	written, valid := parseDelivery(line)
	if !valid || written != 3*time.Second {
		t.Errorf("%v, %v, want the time of the delivery", written, valid)
	}
}

func TestOtherLinesAreNoDeliveries(t *testing.T) {
	for _, line := range []string{"", "UP 1\r\n", "M\r\n", "M x 1\r\n"} {
		t.Run(line, func(t *testing.T) {
			if written, valid := parseDelivery([]byte(line)); valid {
				t.Errorf("%q: taken for a delivery that was written at %v", line, written)
			}
		})
	}
}
