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

// changeAnswer returns the answer and body that a relay sends in place of those of the server. If the answer is nil, the
// relay closes the connection without one.
type changeAnswer func(path string, answer *http.Response, body []byte) (*http.Response, []byte)

// relay starts a proxy that forwards requests to a server and passes the answers through change. It returns the proxy's
// address.
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

// send sends an authenticated request with a body, which may be invalid, and returns the status and text of the answer.
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

// Authenticated requests with bodies that are too large, cannot be decoded or are out of range must be rejected with an
// error that names the field, and must not change the configuration.
func TestInvalidBodiesAreRejected(t *testing.T) {
	f := startServers(t, 1)
	long := strings.Repeat("n", configfeed.MaxNameBytes+1)
	for _, c := range []struct {
		name, path, body string
		status           int
		wantText         string
	}{
		{"poll body too large", pathPoll, strings.Repeat(" ", maxPollBytes+1), http.StatusRequestEntityTooLarge, "too large"},
		{"epoch body too large", pathEpoch, strings.Repeat(" ", maxEpochBytes+1), http.StatusRequestEntityTooLarge, "too large"},
		{"proposal body too large", pathApply, strings.Repeat(" ", maxApplyBytes+1), http.StatusRequestEntityTooLarge, "too large"},
		{"body is not JSON", pathPoll, "poll", http.StatusBadRequest, "not what is wanted"},
		{"two JSON values", pathPoll, `{"follower":"n1"}{}`, http.StatusBadRequest, "not what is wanted"},
		{"missing follower name", pathPoll, `{}`, http.StatusBadRequest, "follower"},
		{"follower name too long", pathPoll, `{"follower":"` + long + `"}`, http.StatusBadRequest, "follower"},
		{"region too long", pathPoll, `{"follower":"n1","region":"` + long + `"}`, http.StatusBadRequest, "region"},
		{"negative wait", pathPoll, `{"follower":"n1","wait_s":-1}`, http.StatusBadRequest, "wait_s"},
		{"missing proposal ID", pathApply, `{"entries":[]}`, http.StatusBadRequest, "id"},
		{"author too long", pathApply, `{"id":"p","author":"` + long + long + long + long + `"}`, http.StatusBadRequest,
			"id, author and note must be at most 200 bytes each"},
	} {
		t.Run(c.name, func(t *testing.T) {
			status, text := send(t, f.writer(), c.path, []byte(c.body))
			if status != c.status || !strings.Contains(text, c.wantText) {
				t.Errorf("status %d, text %q, want status %d, text with %q", status, text, c.status, c.wantText)
			}
		})
	}
	if v := metric(t, f.writer(), "revision"); v != "0" {
		t.Errorf("revision %s after rejected requests, want 0", v)
	}
}

// Entries that are not a valid configuration must be rejected before the proposal reaches the core, with the reason on one
// line.
func TestProposalRejectedByCheckIsBadRequest(t *testing.T) {
	server := NewServer(ServerOptions{Config: configfeed.ServerConfig{Name: "c1", Writer: "c1"},
		Check: func([]configfeed.Entry) error { return errors.New("nodes: out\nof range") }})
	_, err := server.apply(httptest.NewRequest(http.MethodPost, pathApply, nil), []byte(`{"id":"p"}`))
	var rejected *StatusError
	if !errors.As(err, &rejected) || rejected.Code != http.StatusBadRequest || rejected.Text != "nodes: out of range" {
		t.Errorf("%v", err)
	}
}

// Each apply call may hold a body of maxApplyBytes. Without a limit, many concurrent calls could exhaust the memory.
func TestConcurrentApplyCallsAreLimited(t *testing.T) {
	server := NewServer(ServerOptions{Config: configfeed.ServerConfig{Name: "c1", Writer: "c1"}})
	for range maxApplies {
		server.applySlots <- struct{}{}
	}
	answer := httptest.NewRecorder()
	server.handler().ServeHTTP(answer, httptest.NewRequest(http.MethodPost, pathApply, strings.NewReader("{}")))
	if answer.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d, want %d", answer.Code, http.StatusServiceUnavailable)
	}
}

// If a held or rejected poll closed its connection, the follower would have to open a new one for the next poll.
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
	for _, body := range []string{
		`{"follower":"n1","wait_s":0}`,
		`{"follower":"n1","wait_s":0.2}`,
		`{}`,
		`{"follower":"n1","wait_s":0}`,
	} {
		_, err := caller.call(t.Context(), f.writer(), http.MethodPost, pathPoll, []byte(body))
		rejected := body == `{}` && isStatus(err, http.StatusBadRequest)
		if err != nil && !rejected {
			t.Errorf("%s: %v", body, err)
		}
	}
	if connections != 1 {
		t.Errorf("%d connections were opened, want 1", connections)
	}
}
