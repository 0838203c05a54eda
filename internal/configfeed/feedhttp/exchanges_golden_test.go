package feedhttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"gorseledge/internal/configfeed"
)

const (
	goldenFleet = "lima-norte"
	goldenNonce = "000102030405060708090a0b0c0d0e0f"
	goldenHost  = "control-1.example:7100"
)

// goldenKeys returns the signing key and the previous one.
func goldenKeys() [][]byte {
	return [][]byte{[]byte("0123456789abcdef"), []byte("fedcba9876543210")}
}

var errDiskFull = errors.New("the disk is full")

// memoryStore is a Store that keeps states in memory. Its errors, if set, are returned by Save and At.
type memoryStore struct {
	states               []configfeed.State
	saveError, readError error
}

func (s *memoryStore) Save(configfeed.State, []configfeed.Revision) error { return s.saveError }

func (s *memoryStore) At(version configfeed.Version) (configfeed.State, error) {
	for _, state := range s.states {
		if state.Version == version {
			return state, nil
		}
	}
	if s.readError != nil {
		return configfeed.State{}, s.readError
	}
	return configfeed.State{}, configfeed.ErrRevisionNotFound
}

// exchange is one request to a server that has the history of goldenHistory, with the settings in which that server
// differs from the default.
type exchange struct {
	name, method, target string
	body                 any // nil for no body; a string is sent unchanged, any other value as JSON

	writer    string // name of the writer; empty if it is the server itself
	servers   int    // number of servers in the fleet; zero means one
	saveError error
	readError error
	before    func(*Server)       // called before the server is started, if set
	sign      func(*http.Request) // changes the headers after signing, if set
	unsigned  bool                // the request has no authentication headers
}

func poll(have configfeed.Version, change func(*configfeed.Poll)) configfeed.Poll {
	p := configfeed.Poll{Follower: "node-17", Region: "east", Have: have, Newest: have}
	history, _ := goldenHistory()
	for _, revision := range history {
		if revision.Delta.To == have {
			p.Digest = revision.Delta.Digest
		}
	}
	if change != nil {
		change(&p)
	}
	return p
}

func exchanges() []exchange {
	return slices.Concat(pollExchanges(), applyExchanges(), epochExchanges(), readExchanges(), rejectedExchanges(), pageExchanges())
}

// pollExchanges returns polls of followers and of other servers.
func pollExchanges() []exchange {
	_, state := goldenHistory()
	newest := state.Version
	return []exchange{
		{name: "poll_unchanged", method: "POST", target: "/v1/poll", body: poll(newest, nil)},
		{name: "poll_changes_deltas", method: "POST", target: "/v1/poll", body: poll(goldenVersion(2, 1), nil)},
		{name: "poll_changes_revisions", method: "POST", target: "/v1/poll",
			body: poll(goldenVersion(1, 1), func(p *configfeed.Poll) { p.Follower, p.Server = "c2", true })},
		{name: "poll_snapshot", method: "POST", target: "/v1/poll",
			body: poll(goldenVersion(2, 1), func(p *configfeed.Poll) { p.NeedsSnapshot = true })},
		{name: "poll_behind", method: "POST", target: "/v1/poll", body: poll(goldenVersion(2, 3), nil)},
		{name: "poll_diverged", method: "POST", target: "/v1/poll",
			body: poll(newest, func(p *configfeed.Poll) { p.Digest = 17 })},
		{name: "poll_refused", method: "POST", target: "/v1/poll",
			body: poll(goldenVersion(2, 1), func(p *configfeed.Poll) {
				p.Refused = &configfeed.Refusal{Version: newest, Reason: "limits.sockets: 64 needed"}
			})},
		{name: "poll_without_name", method: "POST", target: "/v1/poll", body: configfeed.Poll{}},
		{name: "poll_negative_wait", method: "POST", target: "/v1/poll", body: configfeed.Poll{Follower: "n", Wait: -1}},
		{name: "poll_not_json", method: "POST", target: "/v1/poll", body: "{"},
		{name: "poll_wrong_method", method: "GET", target: "/v1/poll"},
	}
}

// applyExchanges returns proposals of changes.
func applyExchanges() []exchange {
	_, state := goldenHistory()
	newest := state.Version
	propose := func(entries ...configfeed.Entry) configfeed.Proposal {
		return configfeed.Proposal{ID: "proposal-5", IfVersion: newest, Entries: entries, Author: "ana@control-1",
			Note: "for the evening"}
	}
	accepted := propose(configfeed.Entry{Key: "nodes", Value: "861"})
	conflicting := accepted
	conflicting.IfVersion = goldenVersion(2, 1)
	return []exchange{
		{name: "apply_accepted", method: "POST", target: "/v1/apply", body: accepted},
		{name: "apply_repeated", method: "POST", target: "/v1/apply", body: configfeed.Proposal{ID: "proposal-2"}},
		{name: "apply_conflict", method: "POST", target: "/v1/apply", body: conflicting},
		{name: "apply_no_change", method: "POST", target: "/v1/apply", body: propose(state.Entries...)},
		{name: "apply_not_writer", method: "POST", target: "/v1/apply", body: accepted, writer: "c2", servers: 3},
		{name: "apply_not_ready", method: "POST", target: "/v1/apply", body: accepted, servers: 3},
		{name: "apply_invalid", method: "POST", target: "/v1/apply", body: propose(state.Entries[0], state.Entries[0])},
		{name: "apply_failed", method: "POST", target: "/v1/apply", body: accepted, saveError: errDiskFull},
		{name: "apply_without_id", method: "POST", target: "/v1/apply", body: configfeed.Proposal{}},
		{name: "apply_failed_check", method: "POST", target: "/v1/apply",
			body: propose(configfeed.Entry{Key: "listen", Value: "1"})},
		{name: "apply_busy", method: "POST", target: "/v1/apply", body: accepted, before: func(s *Server) {
			for range maxApplies {
				s.applySlots <- struct{}{}
			}
		}},
	}
}

// epochExchanges returns requests for a new epoch.
func epochExchanges() []exchange {
	_, state := goldenHistory()
	epoch := EpochRequest{IfVersion: state.Version, Epoch: 7, Author: "ana@control-1", Note: "a backup was restored"}
	conflicting := epoch
	conflicting.IfVersion = goldenVersion(1, 2)
	used := epoch
	used.Epoch = 2
	return []exchange{
		{name: "epoch_accepted", method: "POST", target: "/v1/epoch", body: epoch},
		{name: "epoch_conflict", method: "POST", target: "/v1/epoch", body: conflicting},
		{name: "epoch_invalid", method: "POST", target: "/v1/epoch", body: used},
	}
}

// readExchanges returns calls that only read.
func readExchanges() []exchange {
	return []exchange{
		{name: "status", method: "GET", target: "/v1/status"},
		{name: "status_with_body", method: "GET", target: "/v1/status", body: "x"},
		{name: "history", method: "GET", target: "/v1/history?limit=200"},
		{name: "history_limited", method: "GET", target: "/v1/history?limit=1"},
		{name: "history_not_a_number", method: "GET", target: "/v1/history?limit=all"},
		{name: "state", method: "GET", target: "/v1/state"},
		{name: "state_of_revision", method: "GET", target: "/v1/state?revision=1"},
		{name: "state_out_of_reach", method: "GET", target: "/v1/state?revision=9"},
		{name: "state_not_readable", method: "GET", target: "/v1/state?revision=9", readError: errors.New("a page\nis damaged")},
	}
}

// rejectedExchanges returns calls that are not authentic, one that is signed with the previous key and accepted, and one for
// an unknown path.
func rejectedExchanges() []exchange {
	header := func(name, value string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(name, value) }
	}
	return []exchange{
		{name: "rejected_fleet", method: "GET", target: "/v1/status", sign: header("Gorse-Fleet", "lima-sur")},
		{name: "rejected_nonce", method: "GET", target: "/v1/status", sign: header("Gorse-Nonce", "00")},
		{name: "rejected_mac", method: "GET", target: "/v1/status", sign: header("Gorse-Mac", strings.Repeat("00", 32))},
		{name: "rejected_unsigned", method: "GET", target: "/v1/status", unsigned: true},
		{name: "old_key", method: "GET", target: "/v1/status", sign: func(r *http.Request) { signWith(r, goldenKeys()[1], nil) }},
		{name: "unknown_path", method: "GET", target: "/v1/none"},
	}
}

// pageExchanges returns requests for the pages that need no authentication.
func pageExchanges() []exchange {
	return []exchange{
		{name: "ready", method: "GET", target: "/-/ready", unsigned: true},
		{name: "not_ready", method: "GET", target: "/-/ready", unsigned: true, servers: 3},
		{name: "metrics", method: "GET", target: "/-/metrics", unsigned: true},
	}
}

// signWith sets the headers that authenticate a request, with the golden nonce.
func signWith(r *http.Request, key, body []byte) {
	a := &authenticator{fleet: goldenFleet, keys: goldenKeys()}
	r.Header.Set("Gorse-Fleet", goldenFleet)
	r.Header.Set("Gorse-Nonce", goldenNonce)
	r.Header.Set("Gorse-Mac", hex.EncodeToString(a.sum(key, requestPurpose, r.Method, r.URL.RequestURI(), goldenNonce, body)))
}

// request returns the bytes of a request as they are sent over the connection.
func (e *exchange) request(t *testing.T) []byte {
	t.Helper()
	body := e.encodedBody(t)
	r, err := http.NewRequestWithContext(t.Context(), e.method, "http://"+goldenHost+e.target, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Close = true // so that the server closes the connection after the answer
	if !e.unsigned {
		signWith(r, goldenKeys()[0], body)
	}
	if e.sign != nil {
		e.sign(r)
	}
	var text bytes.Buffer
	if err := r.Write(&text); err != nil {
		t.Fatal(err)
	}
	return text.Bytes()
}

func (e *exchange) encodedBody(t *testing.T) []byte {
	t.Helper()
	switch body := e.body.(type) {
	case nil:
		return nil
	case string:
		return []byte(body)
	}
	text, err := json.Marshal(e.body)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// startServer starts the server of an exchange on a loopback address. It is stopped when the test ends.
func (e *exchange) startServer(t *testing.T) (address string) {
	t.Helper()
	history, state := goldenHistory()
	config := configfeed.ServerConfig{Name: "c1", Region: "east", Writer: "c1", Seed: 1}
	if e.writer != "" {
		config.Writer = e.writer
	}
	for _, name := range []string{"c1", "c2", "c3"}[:max(e.servers, 1)] {
		config.Servers = append(config.Servers, configfeed.ServerAddress{Name: name, Address: "127.0.0.1:1", Region: "east"})
	}
	states := []configfeed.State{mustState(goldenVersion(2, 1), state.Entries[1:]...), state}
	server := NewServer(ServerOptions{Fleet: goldenFleet, Keys: goldenKeys(), Config: config, Log: zerolog.Nop(),
		Store:  &memoryStore{states: states, saveError: e.saveError, readError: e.readError},
		Stored: configfeed.StoredLog{State: state, History: history},
		Check: func(entries []configfeed.Entry) error {
			if len(entries) > 0 && entries[0].Key == "listen" {
				return errors.New("listen: needs a restart")
			}
			return nil
		}})
	if e.before != nil {
		e.before(server)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

// exchangeBytes sends a request to an address and returns all bytes of the answer.
func exchangeBytes(t *testing.T, address string, request []byte) []byte {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(eventualTimeout))
	if _, err := conn.Write(request); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

// dateHeader matches the only part of an answer that depends on the time. Answers with status 200 to authenticated calls
// do not have it.
var dateHeader = regexp.MustCompile("\r\nDate: [^\r]*")

const fixedDate = "\r\nDate: Thu, 01 Jan 1970 00:00:00 GMT"

func goldenExchange(name, part string) string {
	return filepath.Join("exchanges", name+"."+part+".http")
}

// A change of the format on the wire would break a fleet while it is upgraded, when processes of two versions call each
// other. Requests and answers are compared byte for byte: paths, headers, MACs, status codes and bodies.
func TestExchangeMatchesGoldenFiles(t *testing.T) {
	for _, e := range exchanges() {
		t.Run(e.name, func(t *testing.T) {
			requireGolden(t, goldenExchange(e.name, "request"), e.request(t))
			answer := exchangeBytes(t, e.startServer(t), readGolden(t, goldenExchange(e.name, "request")))
			requireGolden(t, goldenExchange(e.name, "answer"), dateHeader.ReplaceAll(answer, []byte(fixedDate)))
		})
	}
}

// readExchange returns a request and its answer from golden files, with their bodies.
func readExchange(t *testing.T, name string) (r *http.Request, body []byte, answer *http.Response, answerBody []byte) {
	t.Helper()
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(readGolden(t, goldenExchange(name, "request")))))
	if err != nil {
		t.Fatal(err)
	}
	if body, err = io.ReadAll(r.Body); err != nil {
		t.Fatal(err)
	}
	answer, err = http.ReadResponse(bufio.NewReader(bytes.NewReader(readGolden(t, goldenExchange(name, "answer")))), r)
	if err != nil {
		t.Fatal(err)
	}
	if answerBody, err = io.ReadAll(answer.Body); err != nil {
		t.Fatal(err)
	}
	return r, body, answer, answerBody
}

// Servers and clients of this build must accept the MACs of an earlier build.
func TestGoldenRequestsAndAnswersAreAuthentic(t *testing.T) {
	a := &authenticator{fleet: goldenFleet, keys: goldenKeys()}
	rejections := map[string]rejection{"rejected_fleet": wrongFleet, "rejected_nonce": wrongNonce, "rejected_mac": wrongMAC}
	for _, e := range exchanges() {
		if e.unsigned {
			continue
		}
		t.Run(e.name, func(t *testing.T) {
			r, body, answer, answerBody := readExchange(t, e.name)
			if _, got := a.checkRequest(r, body); got != rejections[e.name] {
				t.Errorf("the request is rejected for %q, want %q", got, rejections[e.name])
			}
			if answer.StatusCode != http.StatusOK {
				return
			}
			if got := a.checkAnswer(r, goldenNonce, answer, answerBody); got != accepted {
				t.Errorf("the answer is rejected for %q", got)
			}
		})
	}
}
