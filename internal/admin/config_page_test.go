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

// get calls a node with a view of its fleet; v is nil for a node that belongs to no fleet.
func get(t *testing.T, v *view.View, path string) (code int, body string) {
	t.Helper()
	var members func() view.View
	if v != nil {
		members = func() view.View { return *v }
	}
	ask := func(context.Context, node.Query) (node.Reply, bool) { return node.Reply{OK: true}, true }
	recorder := httptest.NewRecorder()
	Handler(ask, members).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
	return recorder.Code, recorder.Body.String()
}

// Operators find out from the configuration page and its metrics whether a node is behind: which revision is in force,
// how old the last answer of a control server is, and which revision was refused. Each must be shown, and only there.
func TestConfigPageAndMetrics(t *testing.T) {
	v := &view.View{Fleet: "lima", Config: &view.Config{Epoch: 2, Revision: 41, Since: 1000, Digest: "00000000000000ff",
		Region: "west", Server: "c1", Servers: []string{"c1", "c2"}, Heard: 1200, Age: 3.9, Follows: true,
		Newest:  view.Version{Epoch: 2, Revision: 42},
		Refused: &view.Refused{Version: view.Version{Epoch: 2, Revision: 42}, Reason: "limits.sockets: 9 is over the start's 8"},
		Ignored: []string{"tenants.nobody"}, Requests: 7, BytesSent: 70, BytesReceived: 700}}
	code, body := get(t, v, "/-/config")
	const want = `{"epoch":2,"revision":41,"since_s":1000,"digest":"00000000000000ff","region":"west","server":"c1",` +
		`"servers":["c1","c2"],"heard_s":1200,"age_s":3.9,"follows":true,"newest":{"epoch":2,"revision":42},` +
		`"refused":{"epoch":2,"revision":42,"reason":"limits.sockets: 9 is over the start's 8"},` +
		`"ignored":["tenants.nobody"],"requests":7,"bytes_sent":70,"bytes_received":700}` + "\n"
	if code != http.StatusOK || body != want {
		t.Errorf("%d %s\nwant %s", code, body, want)
	}
	_, metrics := get(t, v, "/-/metrics")
	for _, line := range []string{"lb.config.epoch:2|g\n", "lb.config.revision:41|g\n", "lb.config.newest_revision:42|g\n",
		"lb.config.age_s:3|g\n", "lb.config.refused:1|g\n", "lb.config.requests:7|c\n", "lb.config.bytes_received:700|c\n"} {
		if !strings.Contains(metrics, line) {
			t.Errorf("the metrics lack %q:\n%s", line, metrics)
		}
	}
	if _, members := get(t, v, "/-/members"); strings.Contains(members, "digest") {
		t.Errorf("the members' page shows the configuration: %s", members)
	}
}

// A configuration page on a node that follows no control server would show revision 0 as if it were in force. Such a node
// has neither the page nor its metrics.
func TestNoConfigPageWithoutControlServers(t *testing.T) {
	for name, v := range map[string]*view.View{"no fleet": nil, "fleet without control servers": {Fleet: "lima"}} {
		t.Run(name, func(t *testing.T) {
			if code, _ := get(t, v, "/-/config"); code != http.StatusNotFound {
				t.Errorf("status %d, want %d", code, http.StatusNotFound)
			}
			if _, metrics := get(t, v, "/-/metrics"); strings.Contains(metrics, "lb.config") {
				t.Errorf("the metrics show a configuration:\n%s", metrics)
			}
		})
	}
}
