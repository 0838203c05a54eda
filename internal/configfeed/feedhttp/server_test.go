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
	"sync"
	"testing"
	"time"

	"gorseledge/internal/configfeed"
)

func TestOneOfTwoProposalsAtOnceIsAConflict(t *testing.T) {
	f := startServers(t, 3)
	outcomes := make([]configfeed.Outcome, 2)
	var proposing sync.WaitGroup
	for i := range outcomes {
		client := f.client()
		proposing.Go(func() { outcomes[i] = f.apply(client, NewProposalID(), version(0, 0), 100+i) })
	}
	proposing.Wait()
	kinds := map[configfeed.OutcomeKind]int{}
	for _, outcome := range outcomes {
		kinds[outcome.Kind]++
		if outcome.Version != version(1, 1) {
			t.Errorf("%+v", outcome)
		}
	}
	if kinds[configfeed.Accepted] != 1 || kinds[configfeed.Conflict] != 1 {
		t.Errorf("%v", kinds)
	}
}

// relay passes requests on to a server and may change what comes back.
func relay(t *testing.T, to string, change func(path string, answer *http.Response, body []byte) (*http.Response, []byte)) string {
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

func TestAProposalWhoseAnswerIsLostIsAppliedOnce(t *testing.T) {
	f := startServers(t, 1)
	var lost int
	through := relay(t, f.writer(), func(path string, answer *http.Response, body []byte) (*http.Response, []byte) {
		if path == pathApply && lost < 2 {
			lost++
			return nil, nil
		}
		return answer, body
	})
	client := NewClient(testFleet, testKeys, map[string]string{f.writer(): through})
	defer client.Close()
	if outcome := f.apply(client, "once", version(0, 0), 1); outcome.Kind != configfeed.Accepted || outcome.Version != version(1, 1) {
		t.Errorf("%+v", outcome)
	}
	history, err := client.History(t.Context(), f.writer(), 10)
	if err != nil || len(history.Revisions) != 1 || lost != 2 {
		t.Errorf("%d answers lost, %d revisions, %v", lost, len(history.Revisions), err)
	}
}

func TestAnOldAnswerPlayedAgainIsNotTaken(t *testing.T) {
	f := startServers(t, 1)
	var first *http.Response
	var firstBody []byte
	through := relay(t, f.writer(), func(_ string, answer *http.Response, body []byte) (*http.Response, []byte) {
		if first == nil {
			first, firstBody = answer, body
		}
		return first, firstBody
	})
	client := NewClient(testFleet, testKeys, map[string]string{f.writer(): through})
	defer client.Close()
	if _, err := client.Status(t.Context(), f.writer()); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Status(t.Context(), f.writer()); err == nil || !strings.Contains(err.Error(), "not authentic") {
		t.Errorf("%v", err)
	}
}

func TestAnAnswerThatWasChangedIsNotTaken(t *testing.T) {
	f := startServers(t, 1)
	through := relay(t, f.writer(), func(_ string, answer *http.Response, body []byte) (*http.Response, []byte) {
		return answer, bytes.Replace(body, []byte("c1"), []byte("c2"), 1)
	})
	client := NewClient(testFleet, testKeys, map[string]string{f.writer(): through})
	defer client.Close()
	if _, err := client.Status(t.Context(), f.writer()); err == nil || !strings.Contains(err.Error(), "not authentic") {
		t.Errorf("%v", err)
	}
}

func TestARequestThatIsNotAuthenticIsRefusedAndCounted(t *testing.T) {
	f := startServers(t, 1)
	otherKey := [][]byte{[]byte("another key of sixteen")}
	for _, c := range []struct {
		fleet  string
		keys   [][]byte
		metric string
	}{{testFleet, otherKey, "rejected.mac"}, {"cusco", testKeys, "rejected.fleet"}} {
		client := NewClient(c.fleet, c.keys, nil)
		_, err := client.Status(t.Context(), f.writer())
		_, applied := client.Apply(t.Context(), f.writer(), configfeed.Proposal{ID: "p", Entries: entriesWithNodes(1)})
		client.Close()
		for _, err := range []error{err, applied} {
			if refused := (*StatusError)(nil); !errors.As(err, &refused) || refused.Code != http.StatusForbidden {
				t.Errorf("%s: %v", c.metric, err)
			}
		}
		if count := metric(t, f.writer(), c.metric); count != "2" {
			t.Errorf("%s is %s", c.metric, count)
		}
	}
	// What was signed is the method, the target and the body: a request with another one of them is refused.
	request := httptest.NewRequest(http.MethodPost, "http://"+f.writer()+pathPoll, strings.NewReader("{}"))
	(&authenticator{fleet: testFleet, keys: testKeys}).signRequest(request, []byte("{ }"))
	request.RequestURI = ""
	answer, err := plainTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	answer.Body.Close()
	if answer.StatusCode != http.StatusForbidden || metric(t, f.writer(), "rejected.mac") != "3" {
		t.Errorf("another body: %d", answer.StatusCode)
	}
	if get(t, f.writer(), pathStatus); metric(t, f.writer(), "rejected.fleet") != "3" {
		t.Error("a request without any proof was not counted")
	}
	if v := metric(t, f.writer(), "revision"); v != "0" {
		t.Errorf("revision %s", v)
	}
}

func TestTheOldKeyIsAcceptedWhileItIsChanged(t *testing.T) {
	f := startServers(t, 1) // with the old key only
	newKey := []byte("the newer key of sixteen")
	verifier := &authenticator{fleet: testFleet, keys: [][]byte{newKey, testKeys[0]}}
	request := httptest.NewRequest(http.MethodGet, "http://c"+pathStatus, nil)
	old := &authenticator{fleet: testFleet, keys: testKeys}
	nonce := old.signRequest(request, nil)
	key, rejected := verifier.checkRequest(request, nil)
	if rejected != accepted {
		t.Fatal(rejected)
	}
	answer := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}
	verifier.signAnswer(key, request, answer.Header, http.StatusOK, []byte("x"))
	if why := old.checkAnswer(request, nonce, answer, []byte("x")); why != accepted {
		t.Errorf("the answer is for who knows the old key only: %s", why)
	}
	client := NewClient(testFleet, [][]byte{testKeys[0], newKey}, nil)
	defer client.Close()
	if _, err := client.Status(t.Context(), f.writer()); err != nil {
		t.Error(err)
	}
}

// send makes an authentic request with any body.
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

func TestBodiesThatAreNotWantedAreRefused(t *testing.T) {
	f := startServers(t, 1)
	long := strings.Repeat("n", configfeed.MaxNameBytes+1)
	for _, c := range []struct {
		name, path, body string
		status           int
		says             string
	}{
		{"a large poll", pathPoll, strings.Repeat(" ", maxPollBytes+1), http.StatusRequestEntityTooLarge, "too large"},
		{"a large epoch", pathEpoch, strings.Repeat(" ", maxEpochBytes+1), http.StatusRequestEntityTooLarge, "too large"},
		{"a large proposal", pathApply, strings.Repeat(" ", maxApplyBytes+1), http.StatusRequestEntityTooLarge, "too large"},
		{"no JSON", pathPoll, "poll", http.StatusBadRequest, "not what is wanted"},
		{"two values", pathPoll, `{"follower":"n1"}{}`, http.StatusBadRequest, "not what is wanted"},
		{"no name", pathPoll, `{}`, http.StatusBadRequest, "follower"},
		{"a long name", pathPoll, `{"follower":"` + long + `"}`, http.StatusBadRequest, "follower"},
		{"a long region", pathPoll, `{"follower":"n1","region":"` + long + `"}`, http.StatusBadRequest, "region"},
		{"a negative wait", pathPoll, `{"follower":"n1","wait_s":-1}`, http.StatusBadRequest, "wait_s"},
		{"no identifier", pathApply, `{"entries":[]}`, http.StatusBadRequest, "id"},
		{"a long author", pathApply, `{"id":"p","author":"` + long + long + long + long + `"}`, http.StatusBadRequest, "200 bytes"},
	} {
		if status, text := send(t, f.writer(), c.path, []byte(c.body)); status != c.status || !strings.Contains(text, c.says) {
			t.Errorf("%s: %d %q, wanted %d %q", c.name, status, text, c.status, c.says)
		}
	}
	if v := metric(t, f.writer(), "revision"); v != "0" {
		t.Errorf("revision %s", v)
	}
}

func TestAProposalThatTheCheckRefusesIsBadInput(t *testing.T) {
	server := NewServer(ServerOptions{Config: configfeed.ServerConfig{Name: "c1", Writer: "c1"},
		Check: func([]configfeed.Entry) error { return errors.New("nodes: out\nof range") }})
	_, err := server.apply(httptest.NewRequest(http.MethodPost, pathApply, nil), []byte(`{"id":"p"}`))
	if refused := (*StatusError)(nil); !errors.As(err, &refused) || refused.Code != http.StatusBadRequest || refused.Text != "nodes: out of range" {
		t.Errorf("%v", err)
	}
}

func TestLargeBodiesAreReadAFewAtOnce(t *testing.T) {
	server := NewServer(ServerOptions{Config: configfeed.ServerConfig{Name: "c1", Writer: "c1"}})
	for range maxApplies {
		server.applies <- struct{}{}
	}
	answer := httptest.NewRecorder()
	server.handler().ServeHTTP(answer, httptest.NewRequest(http.MethodPost, pathApply, strings.NewReader("{}")))
	if answer.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d", answer.Code)
	}
}

// A held poll, and one that is refused, leave the connection good for the next one.
func TestAConnectionIsUsedAgain(t *testing.T) {
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
		if refused := (*StatusError)(nil); err != nil && (body != `{}` || !errors.As(err, &refused) || refused.Code != http.StatusBadRequest) {
			t.Errorf("%s: %v", body, err)
		}
	}
	if connections != 1 {
		t.Errorf("%d connections", connections)
	}
}

func TestAHeldPollEndsWhenItsCallerGoes(t *testing.T) {
	f := startServers(t, 1)
	ctx, cancel := context.WithCancel(t.Context())
	caller := newCaller(&authenticator{fleet: testFleet, keys: testKeys}, nil)
	done := make(chan error, 1)
	go func() {
		_, err := caller.call(ctx, f.writer(), http.MethodPost, pathPoll, []byte(`{"follower":"n1","wait_s":100}`))
		done <- err
	}()
	// One that is held longer than a body may take to come, for the caller's connection is read meanwhile.
	eventually(t, "the poll is held", func() bool { return metric(t, f.writer(), "polls_held") == "1" })
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Errorf("%v", err)
	}
	eventually(t, "the poll has ended", func() bool { return metric(t, f.writer(), "polls_held") == "0" })
	caller.closeIdle()
}

func TestANewEpochIsBegunOnce(t *testing.T) {
	f := startServers(t, 1)
	client := f.client()
	f.apply(client, "p", version(0, 0), 1)
	for i, want := range []configfeed.Outcome{{Kind: configfeed.Accepted, Version: version(2, 1)}, {Kind: configfeed.Conflict, Version: version(2, 1)}} {
		outcome, err := client.NewEpoch(t.Context(), f.writer(), EpochRequest{IfVersion: version(1, 1), Author: "test"})
		if err != nil || outcome.Kind != want.Kind || outcome.Version != want.Version {
			t.Errorf("request %d: %+v, %v", i+1, outcome, err)
		}
	}
}

func TestEarlierStatesAreTold(t *testing.T) {
	f := startServers(t, 1)
	client := f.client()
	for i := range 3 {
		f.apply(client, NewProposalID(), version(min(uint64(i), 1), uint64(i)), 10+i)
	}
	if state, err := client.State(t.Context(), f.writer(), 2); err != nil || state.Entries[0].Value != "11" {
		t.Errorf("%+v, %v", state, err)
	}
	_, err := client.State(t.Context(), f.writer(), 9)
	if refused := (*StatusError)(nil); !errors.As(err, &refused) || refused.Code != http.StatusNotFound {
		t.Errorf("%v", err)
	}
	if history, err := client.History(t.Context(), f.writer(), 2); err != nil || len(history.Revisions) != 2 ||
		history.Revisions[1].Delta.To != version(1, 3) {
		t.Errorf("%+v, %v", history, err)
	}
}

// A stop ends held polls at once and leaves nothing running: TestMain looks for what is left.
func TestAStopEndsHeldPolls(t *testing.T) {
	f := startServers(t, 1)
	done := make(chan int, 1)
	go func() {
		status, _ := send(t, f.writer(), pathPoll, []byte(`{"follower":"n1","wait_s":100}`))
		done <- status
	}()
	eventually(t, "the poll is held", func() bool { return metric(t, f.writer(), "polls_held") == "1" })
	f.all[0].stop()
	select {
	case status := <-done:
		if status != http.StatusServiceUnavailable {
			t.Errorf("status %d", status)
		}
	case <-time.After(eventualTimeout):
		t.Error("the poll is still held")
	}
	if conn, err := net.Dial("tcp", f.writer()); err == nil {
		conn.Close()
		t.Error("the address is still open")
	}
}
