package feedhttp

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"gorseledge/internal/configfeed"
)

// startGoldenServer starts a server that answers each request with a golden answer. It fails the test if a request
// differs from the golden one in anything but its nonce and MAC.
func startGoldenServer(t *testing.T, name string) (address string) {
	t.Helper()
	want, wantBody, answer, answerBody := readExchange(t, name)
	a := &authenticator{fleet: goldenFleet, keys: goldenKeys()}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		if r.Method != want.Method || r.RequestURI != want.RequestURI || !bytes.Equal(body, wantBody) {
			t.Errorf("got %s %s %s, want %s %s %s", r.Method, r.RequestURI, body, want.Method, want.RequestURI, wantBody)
		}
		if nonce, err := hex.DecodeString(r.Header.Get("Gorse-Nonce")); err != nil || len(nonce) != 16 {
			t.Errorf("nonce %x, %v", nonce, err)
		}
		key, rejected := a.checkRequest(r, body)
		if rejected != accepted || !bytes.Equal(key, goldenKeys()[0]) {
			t.Errorf("the request is rejected for %q, or signed with another key", rejected)
		}
		wantHeaders := map[string]string{"Gorse-Fleet": goldenFleet, "Accept-Encoding": "gzip",
			"User-Agent": "Go-http-client/1.1"}
		for header, value := range wantHeaders {
			if got := r.Header.Get(header); got != value {
				t.Errorf("%s: %q, want %q", header, got, value)
			}
		}
		if answer.StatusCode == http.StatusOK {
			a.signAnswer(key, r, w.Header(), answer.StatusCode, answerBody)
		}
		w.WriteHeader(answer.StatusCode)
		w.Write(answerBody)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// A command of this build must work with a server of an earlier build. The client must send the golden requests and decode
// the golden answers without loss.
func TestClientCallMatchesGoldenExchange(t *testing.T) {
	_, state := goldenHistory()
	proposal := configfeed.Proposal{ID: "proposal-5", IfVersion: state.Version, Author: "ana@control-1",
		Note: "for the evening", Entries: []configfeed.Entry{{Key: "nodes", Value: "861"}}}
	epoch := EpochRequest{IfVersion: state.Version, Epoch: 7, Author: "ana@control-1", Note: "a backup was restored"}
	for name, call := range map[string]func(context.Context, *Client, string) (any, error){
		"status": func(ctx context.Context, c *Client, address string) (any, error) { return c.Status(ctx, address) },
		"history": func(ctx context.Context, c *Client, address string) (any, error) {
			return c.History(ctx, address, 200)
		},
		"state_of_revision": func(ctx context.Context, c *Client, address string) (any, error) {
			return c.State(ctx, address, 1)
		},
		"apply_accepted": func(ctx context.Context, c *Client, address string) (any, error) {
			return c.Apply(ctx, address, proposal)
		},
		"epoch_accepted": func(ctx context.Context, c *Client, address string) (any, error) {
			return c.BeginEpoch(ctx, address, epoch)
		},
	} {
		t.Run(name, func(t *testing.T) {
			client := NewClient(goldenFleet, goldenKeys(), nil)
			defer client.Close()
			value, err := call(t.Context(), client, startGoldenServer(t, name))
			if err != nil {
				t.Fatal(err)
			}
			requireAnswerBody(t, name, value)
		})
	}
}

// requireAnswerBody fails unless a value's JSON is the body of a golden answer.
func requireAnswerBody(t *testing.T, name string, value any) {
	t.Helper()
	encoded, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, _, want := readExchange(t, name); !bytes.Equal(encoded, want) {
		t.Errorf("got:\n%s\nwant:\n%s", encoded, want)
	}
}

// The status and text of an error answer must reach the operator as the server sent them.
func TestClientReadsGoldenErrors(t *testing.T) {
	for name, want := range map[string]StatusError{
		"state_out_of_reach": {Code: 404, Text: "the history does not reach revision 9 of epoch 2"},
		"state_not_readable": {Code: 500, Text: "a page is damaged"},
	} {
		t.Run(name, func(t *testing.T) {
			client := NewClient(goldenFleet, goldenKeys(), nil)
			defer client.Close()
			_, err := client.State(t.Context(), startGoldenServer(t, name), 9)
			got, ok := err.(*StatusError)
			if !ok || *got != want {
				t.Errorf("got %v, want %v", err, &want)
			}
		})
	}
}

// A follower of this build must work with a server of an earlier build. It must send the golden request, and decode each
// kind of golden answer without loss.
func TestPollerMatchesGoldenExchange(t *testing.T) {
	for _, e := range exchanges() {
		p, isPoll := e.body.(configfeed.Poll)
		if _, _, answer, _ := readExchange(t, e.name); !isPoll || answer.StatusCode != http.StatusOK {
			continue
		}
		t.Run(e.name, func(t *testing.T) {
			caller := newCaller(&authenticator{fleet: goldenFleet, keys: goldenKeys()}, nil)
			defer caller.closeIdle()
			server := configfeed.ServerAddress{Name: "c1", Address: startGoldenServer(t, e.name), Region: "east"}
			update, err := newPoller(caller, zerolog.Nop(), nil).poll(t.Context(), configfeed.SendPoll{Server: server, Poll: p})
			if err != nil {
				t.Fatal(err)
			}
			requireAnswerBody(t, e.name, update)
		})
	}
}

// A follower decompresses a large answer before it verifies its MAC, so the compressed form must hold exactly the body that
// the MAC covers.
func TestCompressedAnswerHoldsCompleteBody(t *testing.T) {
	history, state := goldenHistory()
	history[0].Note = strings.Repeat("a long note ", 100)
	update := configfeed.Update{Kind: configfeed.Changes, Server: "c1", Version: state.Version, Revisions: history}
	want, err := json.Marshal(update)
	if err != nil {
		t.Fatal(err)
	}
	var cache updateCache
	answer, err := cache.encode(update)
	if err != nil || !bytes.Equal(answer.text, want) || answer.compressed == nil {
		t.Fatalf("%s, %d compressed bytes, %v", answer.text, len(answer.compressed), err)
	}
	reader, err := gzip.NewReader(bytes.NewReader(answer.compressed))
	if err != nil {
		t.Fatal(err)
	}
	if text, err := io.ReadAll(reader); err != nil || !bytes.Equal(text, want) {
		t.Errorf("%s, %v", text, err)
	}
}

// Callers distinguish this error by its status, and operators see its text. None of the golden exchanges contains it.
func TestErrorTextsAreFixed(t *testing.T) {
	if got, want := *errStopping, (StatusError{Code: 503, Text: "the server is stopping"}); got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	if got, want := errStopping.Error(), "status 503: the server is stopping"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
