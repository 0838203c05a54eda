package admin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gorseledge/internal/fleet/view"
	"gorseledge/internal/node"
)

// The figures tell a member's messages and bytes by kind and direction, as counts.
func TestMetricsTellTrafficByKind(t *testing.T) {
	handler := Handler(func(context.Context, node.Query) (node.Reply, bool) { return node.Reply{}, true }, func() view.View {
		return view.View{Traffic: []view.Traffic{{Kind: "ping", SentMessages: 3, SentBytes: 270, ReceivedMessages: 2, ReceivedBytes: 180}}}
	})
	answer := httptest.NewRecorder()
	handler.ServeHTTP(answer, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/-/metrics", nil))
	for _, line := range []string{"lb.members.sent.ping:3|c\n", "lb.members.sent_bytes.ping:270|c\n", "lb.members.received.ping:2|c\n",
		"lb.members.received_bytes.ping:180|c\n"} {
		if !strings.Contains(answer.Body.String(), line) {
			t.Errorf("no %q in %s", line, answer.Body)
		}
	}
}
