package feedhttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gorseledge/internal/configfeed"
)

// changeAnswer returns what a relay sends in place of an answer and its body; without an answer it ends the connection.
type changeAnswer func(path string, answer *http.Response, body []byte) (*http.Response, []byte)

// relay forwards requests to a server and may change the answers. It returns its address.
func relay(t *testing.T, to string, change changeAnswer) string {
	t.Helper()
	handler := func(w http.ResponseWriter, r *http.Request) {
		r.URL.Scheme, r.URL.Host, r.RequestURI = "http", to, ""
		answer, err := plainTransport.RoundTrip(r)
		if err != nil {
			t.Error(err)
			return
		}
		defer answer.Body.Close()
		body, _ := io.ReadAll(answer.Body)
		answer, body = change(r.URL.Path, answer, body)
		if answer == nil {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(headerMAC, answer.Header.Get(headerMAC))
		w.WriteHeader(answer.StatusCode)
		w.Write(body)
	}
	server := httptest.NewServer(http.HandlerFunc(handler))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// send makes an authentic request with any body, and returns the status and the text of the answer.
func send(t *testing.T, address, path string, body []byte) (int, string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	(&authenticator{fleet: testFleet, keys: testKeys}).signRequest(request, body)
	answer, err := plainTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(answer.Body)
	return answer.StatusCode, strings.TrimSpace(string(text))
}

func TestInvalidBodiesAreRejected(t *testing.T) {
	f := startServers(t, 1)
	long := strings.Repeat("n", configfeed.MaxNameBytes+1)
	for _, c := range []struct {
		name, path, body string
		status           int
		says             string
	}{
		{"large poll", pathPoll, strings.Repeat(" ", maxPollBytes+1), http.StatusRequestEntityTooLarge, "too large"},
		{"large epoch", pathEpoch, strings.Repeat(" ", maxEpochBytes+1), http.StatusRequestEntityTooLarge, "too large"},
		{"large proposal", pathApply, strings.Repeat(" ", maxApplyBytes+1), http.StatusRequestEntityTooLarge, "too large"},
		{"no JSON", pathPoll, "poll", http.StatusBadRequest, "not what is wanted"},
		{"two values", pathPoll, `{"follower":"n1"}{}`, http.StatusBadRequest, "not what is wanted"},
		{"no name", pathPoll, `{}`, http.StatusBadRequest, "follower"},
		{"long name", pathPoll, `{"follower":"` + long + `"}`, http.StatusBadRequest, "follower"},
		{"long region", pathPoll, `{"follower":"n1","region":"` + long + `"}`, http.StatusBadRequest, "region"},
		{"negative wait", pathPoll, `{"follower":"n1","wait_s":-1}`, http.StatusBadRequest, "wait_s"},
		{"no identifier", pathApply, `{"entries":[]}`, http.StatusBadRequest, "id"},
		{"long author", pathApply, `{"id":"p","author":"` + long + long + long + long + `"}`, http.StatusBadRequest, "200 bytes"},
	} {
		t.Run(c.name, func(t *testing.T) {
			status, text := send(t, f.writer(), c.path, []byte(c.body))
			if status != c.status || !strings.Contains(text, c.says) {
				t.Errorf("%d %q, wanted %d %q", status, text, c.status, c.says)
			}
		})
	}
	if v := metric(t, f.writer(), "revision"); v != "0" {
		t.Errorf("revision %s", v)
	}
}

func TestProposalRejectedByCheckIsBadRequest(t *testing.T) {
	server := NewServer(ServerOptions{Config: configfeed.ServerConfig{Name: "c1", Writer: "c1"},
		Check: func([]configfeed.Entry) error { return errors.New("nodes: out\nof range") }})
	_, err := server.apply(httptest.NewRequest(http.MethodPost, pathApply, nil), []byte(`{"id":"p"}`))
	var refused *StatusError
	if !errors.As(err, &refused) || refused.Code != http.StatusBadRequest || refused.Text != "nodes: out of range" {
		t.Errorf("%v", err)
	}
}

func TestConcurrentLargeBodiesAreBounded(t *testing.T) {
	server := NewServer(ServerOptions{Config: configfeed.ServerConfig{Name: "c1", Writer: "c1"}})
	for range maxApplies {
		server.applySlots <- struct{}{}
	}
	answer := httptest.NewRecorder()
	server.handler().ServeHTTP(answer, httptest.NewRequest(http.MethodPost, pathApply, strings.NewReader("{}")))
	if answer.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d", answer.Code)
	}
}

// Neither a held poll nor a rejected one closes the connection.
func TestConnectionIsReused(t *testing.T) {
	f := startServers(t, 1)
	caller := newCaller(&authenticator{fleet: testFleet, keys: testKeys}, nil)
	defer caller.closeIdle()
	var connections int
	dial := caller.transport.DialContext
	caller.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		connections++
		return dial(ctx, network, address)
	}
	for _, body := range []string{`{"follower":"n1","wait_s":0}`, `{"follower":"n1","wait_s":0.2}`, `{}`, `{"follower":"n1","wait_s":0}`} {
		_, err := caller.call(t.Context(), f.writer(), http.MethodPost, pathPoll, []byte(body))
		rejected := body == `{}` && isStatus(err, http.StatusBadRequest)
		if err != nil && !rejected {
			t.Errorf("%s: %v", body, err)
		}
	}
	if connections != 1 {
		t.Errorf("%d connections", connections)
	}
}
