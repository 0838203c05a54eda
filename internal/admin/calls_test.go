package admin

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gorseledge/internal/node"
)

// A wrong call could reach the node as a query, or its connection could stay open and use up a descriptor. Each call,
// valid or not, gets one answer with the usual HTTP status code, after which the connection ends.
func TestEachCallHasOneAnswerAndEndsConnection(t *testing.T) {
	var asked []node.Query
	address := serve(t, 8, func(_ context.Context, q node.Query) (node.Reply, bool) {
		asked = append(asked, q)
		return node.Reply{OK: q.Host != "s-2", Statistics: node.Statistics{
			Types:    []node.FlowCounts{{Type: "chat", Established: 812, Rejected: 3, Aborted: 1, ClientLeft: 9}, {Type: "a:b|c\nd"}},
			Accepted: 900, Dispatched: 830, Open: 14, Listed: 11, Unavailable: 2}}, true
	})
	const host = " HTTP/1.1\r\nHost: x\r\n"
	metrics := "lb.success.chat:812|c\nlb.overload.chat:3|c\nlb.error.chat:1|c\nlb.success.a_b_c_d:0|c\nlb.overload.a_b_c_d:0|c\n" +
		"lb.error.a_b_c_d:0|c\nlb.dispatches:830|c\nlb.concurrent:14|g\nlb.targets:11|g\nlb.targets_disabled:2|g\n"
	for _, c := range []struct {
		name, text string
		code       int
		asks       []node.Query
		body       string
	}{
		{"ready", "GET /-/ready" + host + "\r\n", 200, []node.Query{{Question: node.IsReady}}, "yes\n"},
		{"metrics", "GET /-/metrics" + host + "\r\n", 200, []node.Query{{Question: node.GetStatistics}}, metrics},
		{"disable", "PUT /-/hosts/s-1/disable" + host + "\r\n", 200, []node.Query{{Question: node.DisableHost, Host: "s-1"}}, ""},
		{"disable with a short body", "PUT /-/hosts/s-1/disable" + host + "Content-Length: 2\r\n\r\n{}", 200,
			[]node.Query{{Question: node.DisableHost, Host: "s-1"}}, ""},
		{"enable", "PUT /-/hosts/s-1/enable" + host + "\r\n", 200, []node.Query{{Question: node.EnableHost, Host: "s-1"}}, ""},
		{"escaped id", "PUT /-/hosts/s%2d1%2Fx/enable" + host + "\r\n", 200, []node.Query{{Question: node.EnableHost, Host: "s-1/x"}}, ""},
		{"unknown host", "PUT /-/hosts/s-2/disable" + host + "\r\n", 404, []node.Query{{Question: node.DisableHost, Host: "s-2"}}, ""},
		{"id with an invalid escape", "PUT /-/hosts/s-%zz/disable" + host + "\r\n", 400, nil, ""},
		{"empty id", "PUT /-/hosts//disable" + host + "\r\n", 404, nil, ""},
		{"id of two dots", "PUT /-/hosts/%2e%2e/disable" + host + "\r\n", 404, nil, ""},
		{"unknown path", "GET /metrics" + host + "\r\n", 404, nil, ""},
		{"unknown action for a host", "PUT /-/hosts/s-1/remove" + host + "\r\n", 404, nil, ""},
		{"wrong method", "GET /-/hosts/s-1/disable" + host + "\r\n", 405, nil, ""},
		{"wrong method for the metrics", "PUT /-/metrics" + host + "\r\n", 405, nil, ""},
		{"not HTTP", "OPEN 1 a1 c=chat,d=900\r\n\r\n", 400, nil, ""},
		{"headers of 1 MiB", "GET /-/ready" + host + "X: " + strings.Repeat("y", 1<<20) + "\r\n\r\n", 431, nil, ""},
		{"body too long", "PUT /-/hosts/s-1/disable" + host + "Content-Length: 1000000\r\n\r\n" +
			strings.Repeat("y", 1<<16), 413, nil, ""},
		{"chunked body too long", "PUT /-/hosts/s-1/disable" + host + "Transfer-Encoding: chunked\r\n\r\n" +
			strings.Repeat("400\r\n"+strings.Repeat("y", 1024)+"\r\n", 100), 413, nil, ""},
		{"incomplete body", "PUT /-/hosts/s-1/disable" + host + "Content-Length: 10\r\n\r\n{", 400, nil, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			asked = nil
			response, body := call(t, address, c.text)
			if response.StatusCode != c.code || fmt.Sprint(asked) != fmt.Sprint(c.asks) {
				t.Errorf("status %d, queries %v; want %d, %v", response.StatusCode, asked, c.code, c.asks)
			}
			if c.body != "" && body != c.body {
				t.Errorf("body %q, want %q", body, c.body)
			}
			if c.code == http.StatusMethodNotAllowed && response.Header.Get("Allow") == "" {
				t.Error("the answer has no Allow header")
			}
		})
	}
}

// A call to a node that does not answer would block its caller. The caller gets status 503 within a second.
func TestNodeThatDoesNotAnswerIsUnavailable(t *testing.T) {
	address := serve(t, 4, func(ctx context.Context, _ node.Query) (node.Reply, bool) {
		<-ctx.Done()
		return node.Reply{}, false
	})
	start := time.Now()
	response, _ := call(t, address, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	took := time.Since(start)
	if response.StatusCode != http.StatusServiceUnavailable || took > time.Second {
		t.Errorf("status %d after %v, want %d within a second", response.StatusCode, took, http.StatusServiceUnavailable)
	}
}
