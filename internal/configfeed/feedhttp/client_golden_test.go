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

// startGoldenServer answers requests as a golden answer does, and fails the test where a request is not the golden one
// but for its nonce and MAC.
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

// The client of the commands sends the golden requests and understands the golden answers.
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

// requireAnswerBody fails unless a value is encoded as the body of a golden answer.
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

// A follower's poll is the golden request, and each kind of golden answer is understood.
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

// A large answer is compressed; its MAC is that of the uncompressed body.
func TestLargeAnswerIsCompressedBody(t *testing.T) {
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

// Texts that a caller tells apart, or shows to an operator, and that no exchange above reaches.
func TestErrorTextsAreFixed(t *testing.T) {
	if got, want := *errStopping, (StatusError{Code: 503, Text: "the server is stopping"}); got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	if got, want := errStopping.Error(), "status 503: the server is stopping"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
