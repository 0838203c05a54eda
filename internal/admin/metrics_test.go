package admin

import (
	"strings"
	"testing"

	"gorseledge/internal/fleet/view"
)

// Four similar counters describe each message kind and could be mixed up: messages and bytes, sent and received.
func TestMetricsCountTrafficByKind(t *testing.T) {
	traffic := view.Traffic{Kind: "ping", SentMessages: 3, SentBytes: 270, ReceivedMessages: 2, ReceivedBytes: 180}
	_, metrics := get(t, &view.View{Traffic: []view.Traffic{traffic}}, "/-/metrics")
	for _, line := range []string{"lb.members.sent.ping:3|c\n", "lb.members.sent_bytes.ping:270|c\n", "lb.members.received.ping:2|c\n",
		"lb.members.received_bytes.ping:180|c\n"} {
		if !strings.Contains(metrics, line) {
			t.Errorf("the metrics lack %q:\n%s", line, metrics)
		}
	}
}
