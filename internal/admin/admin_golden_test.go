package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"gorseledge/internal/fleet/view"
	"gorseledge/internal/node"
)

// The files under testdata hold the answers of commit 5fa7498 at the admin address. Operators' tools read these pages,
// and therefore no flag rewrites the files.

func readGolden(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func goldenFigures() node.Statistics {
	return node.Statistics{
		Types: []node.FlowCounts{
			{Type: "chat", Established: 812, Rejected: 3, Aborted: 1, ClientLeft: 9},
			{Type: "a:b|c\r\nd", Established: 14, Rejected: 5, Aborted: 2, ClientLeft: 4},
		},
		Accepted: 900, Dispatched: 830, Waiting: 6, Open: 15, Listed: 11, Unavailable: 7,
	}
}

func goldenConfig() *view.Config {
	return &view.Config{
		Epoch: 2, Revision: 41, Since: 1700000000.5, Digest: "00000000000000ff",
		Region: "west", Server: "c1", Servers: []string{"c1", "c2"}, Heard: 1700000200.25, Age: 3.75, Follows: true,
		Newest: view.Version{Epoch: 3, Revision: 42},
		Refused: &view.Refused{Version: view.Version{Epoch: 4, Revision: 43},
			Reason: "limits.sockets: 9 is over the start's 8"},
		Ignored: []string{"tenants.nobody", "service_types.none"}, Requests: 7, BytesSent: 70, BytesReceived: 700,
	}
}

func goldenView() view.View {
	return view.View{
		Fleet: "lima", Self: "n1", LiveCount: 3, HealthScore: 6, Nodes: 4,
		Members: []view.Member{
			{Name: "n1", State: "alive", Since: 1700000001.5, Start: 1700000000123456, Incarnation: 5,
				Address: "10.1.0.1:7000", Zone: "a", Build: "5fa7498", Ready: true, BadLinks: []string{"n2", "n3"}},
			{Name: "n2", State: "suspect", Since: 1700000002.5, Start: 1700000000123457, Incarnation: 6,
				Address: "10.1.0.2:7000", Zone: "b", Build: "5fa7499", Ready: true, BadLinks: []string{"n1"}},
			{Name: "n3", State: "dead", Since: 1700000003.5, Start: 1700000000123458, Incarnation: 7,
				Address: "10.1.0.3:7000", Zone: "a", Build: "5fa7500", Ready: true, BadLinks: []string{"n4"}},
			{Name: "n4", State: "left", Since: 1700000004.5, Start: 1700000000123459, Incarnation: 8,
				Address: "10.1.0.4:7000", Zone: "b", Build: "5fa7501", Ready: true, BadLinks: []string{"n3"}},
		},
		Traffic: []view.Traffic{
			{Kind: "ping", SentMessages: 3, SentBytes: 270, ReceivedMessages: 2, ReceivedBytes: 180},
			{Kind: "sync", SentMessages: 4, SentBytes: 1270, ReceivedMessages: 5, ReceivedBytes: 1180},
		},
		Rejected: map[string]int{"version": 6, "seal": 8},
		Config:   goldenConfig(),
	}
}

// checkNonZero fails the test if v, or any field or element in it, has its zero value. path names v in the failure.
func checkNonZero(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	if v.IsZero() {
		t.Errorf("%s has its zero value", path)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		checkNonZero(t, path, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			checkNonZero(t, path+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Slice:
		for i := range v.Len() {
			checkNonZero(t, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			checkNonZero(t, fmt.Sprintf("%s[%v]", path, key), v.MapIndex(key))
		}
	}
}

// A field that has its zero value in the test data could be left out of a page without a golden test failing.
func TestGoldenPagesShowEveryField(t *testing.T) {
	checkNonZero(t, "Statistics", reflect.ValueOf(goldenFigures()))
	checkNonZero(t, "View", reflect.ValueOf(goldenView()))
}

// respond makes one call to a node that gives an answer, or none in time if answer is nil. It returns the response and
// the query that the node received.
func respond(t *testing.T, method, path string, answer *node.Reply, members func() view.View) (*httptest.ResponseRecorder,
	node.Query) {
	t.Helper()
	var asked node.Query
	ask := func(_ context.Context, question node.Query) (node.Reply, bool) {
		asked = question
		if answer == nil {
			return node.Reply{}, false
		}
		return *answer, true
	}
	recorder := httptest.NewRecorder()
	Handler(ask, members).ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), method, path, nil))
	return recorder, asked
}

// A changed name, order or number format on a page would break the operators' tools that read it.
func TestPagesKeepTheirForm(t *testing.T) {
	for _, c := range []struct {
		path, golden, contentType string
		members                   func() view.View
	}{
		{"/-/metrics", "metrics-fleet.txt", "text/plain; charset=utf-8", goldenView},
		{"/-/metrics", "metrics-alone.txt", "text/plain; charset=utf-8", nil},
		{"/-/members", "members.json", "application/json", goldenView},
		{"/-/config", "config.json", "application/json", goldenView},
	} {
		t.Run(c.golden, func(t *testing.T) {
			got, _ := respond(t, http.MethodGet, c.path, &node.Reply{OK: true, Statistics: goldenFigures()}, c.members)
			if got.Code != 200 || got.Header().Get("Content-Type") != c.contentType {
				t.Errorf("status %d, type %q; want 200 and %q", got.Code, got.Header().Get("Content-Type"), c.contentType)
			}
			if want := readGolden(t, c.golden); got.Body.String() != want {
				t.Errorf("got:\n%s\nwant:\n%s", got.Body, want)
			}
		})
	}
}

// The types of package view are also used to read the pages. A key of a page that they lack, or write differently, would
// be lost to those readers.
func TestPagesDecodeAndEncodeToTheSameBytes(t *testing.T) {
	views := goldenView()
	views.Config = nil // the configuration has its own page
	for _, c := range []struct {
		golden        string
		decoded, want any
	}{
		{"members.json", &view.View{}, &views},
		{"config.json", &view.Config{}, goldenConfig()},
	} {
		t.Run(c.golden, func(t *testing.T) {
			text := readGolden(t, c.golden)
			decoder := json.NewDecoder(bytes.NewReader([]byte(text)))
			decoder.DisallowUnknownFields()
			if err := decoder.Decode(c.decoded); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(c.decoded, c.want) {
				t.Errorf("decoded %+v, want %+v", c.decoded, c.want)
			}
			again, err := json.Marshal(c.decoded)
			if err != nil || string(again)+"\n" != text {
				t.Errorf("encoding the page again: error %v, got:\n%s\nwant:\n%s", err, again, text)
			}
		})
	}
}

// Operators' tools read the answers, so that their status codes and texts must not change. Each call must also send the
// right query to the node, and a wrong call none.
func TestCallsKeepTheirAnswers(t *testing.T) {
	yes, no, stillDisabled := &node.Reply{OK: true}, &node.Reply{}, &node.Reply{OK: true, StillDisabled: true}
	for _, c := range []struct {
		name, method, path string
		answer             *node.Reply // nil if the node does not answer in time
		asked              node.Query
		code               int
		body               string
	}{
		{"ready", "GET", "/-/ready", yes, node.Query{Question: node.IsReady}, 200, "yes\n"},
		{"not ready", "GET", "/-/ready", no, node.Query{Question: node.IsReady}, 503, "not ready\n"},
		{"no answer in time", "GET", "/-/ready", nil, node.Query{Question: node.IsReady}, 503,
			"the node has not answered in time\n"},
		{"host disabled", "PUT", "/-/hosts/s-1/disable", yes, node.Query{Question: node.DisableHost, Host: "s-1"}, 200, "yes\n"},
		{"unknown host disabled", "PUT", "/-/hosts/s-2/disable", no, node.Query{Question: node.DisableHost, Host: "s-2"}, 404,
			"no such host\n"},
		{"host enabled", "PUT", "/-/hosts/s-1/enable", yes, node.Query{Question: node.EnableHost, Host: "s-1"}, 200, "yes\n"},
		{"host enabled that the live settings disable", "PUT", "/-/hosts/s-1/enable", stillDisabled,
			node.Query{Question: node.EnableHost, Host: "s-1"}, 200, "yes, and the live settings still disable it\n"},
		{"unknown host enabled", "PUT", "/-/hosts/s-2/enable", no, node.Query{Question: node.EnableHost, Host: "s-2"}, 404,
			"no such host\n"},
		{"metrics without an answer in time", "GET", "/-/metrics", nil, node.Query{Question: node.GetStatistics}, 503,
			"the node has not answered in time\n"},
		{"members page of a node without a fleet", "GET", "/-/members", yes, node.Query{}, 404, "404 page not found\n"},
		{"configuration page of a node without a fleet", "GET", "/-/config", yes, node.Query{}, 404, "404 page not found\n"},
		{"unknown page", "GET", "/-/other", yes, node.Query{}, 404, "404 page not found\n"},
		{"path that is not clean", "GET", "/-//ready", yes, node.Query{}, 404, "404 page not found\n"},
		{"wrong method", "POST", "/-/ready", yes, node.Query{}, 405, "Method Not Allowed\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, asked := respond(t, c.method, c.path, c.answer, nil)
			if got.Code != c.code || got.Body.String() != c.body || asked != c.asked {
				t.Errorf("%d %q, asked %+v; want %d %q, asked %+v", got.Code, got.Body, asked, c.code, c.body, c.asked)
			}
		})
	}
}
