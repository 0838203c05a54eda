package feedhttp

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gorseledge/internal/configfeed"
)

// An attacker, or a proxy that caches, could answer a new request with an old answer. The nonce of the request in the
// answer's MAC prevents that.
func TestReplayedAnswerIsRejected(t *testing.T) {
	f := startServers(t, 1)
	var first *http.Response
	var firstBody []byte
	relayAddress := relay(t, f.writer(), func(_ string, answer *http.Response, body []byte) (*http.Response, []byte) {
		if first == nil {
			first, firstBody = answer, body
		}
		return first, firstBody
	})
	client := NewClient(testFleet, testKeys, map[string]string{f.writer(): relayAddress})
	defer client.Close()
	if _, err := client.Status(t.Context(), f.writer()); err != nil {
		t.Fatal(err)
	}
	_, err := client.Status(t.Context(), f.writer())
	if err == nil || !strings.Contains(err.Error(), "not authentic") {
		t.Errorf("%v", err)
	}
}

// An answer whose body was changed on the way must not be used: the MAC covers the body.
func TestAlteredAnswerIsRejected(t *testing.T) {
	f := startServers(t, 1)
	relayAddress := relay(t, f.writer(), func(_ string, answer *http.Response, body []byte) (*http.Response, []byte) {
		return answer, bytes.Replace(body, []byte("c1"), []byte("c2"), 1)
	})
	client := NewClient(testFleet, testKeys, map[string]string{f.writer(): relayAddress})
	defer client.Close()
	_, err := client.Status(t.Context(), f.writer())
	if err == nil || !strings.Contains(err.Error(), "not authentic") {
		t.Errorf("%v", err)
	}
}

// A request with a wrong key, fleet or body must neither be answered nor change the configuration. Operators see the
// rejections as a counter for each reason.
func TestRequestThatIsNotAuthenticIsRejectedAndCounted(t *testing.T) {
	f := startServers(t, 1)
	otherKey := [][]byte{[]byte("another key of sixteen")}
	for _, c := range []struct {
		fleet  string
		keys   [][]byte
		metric string
	}{
		{testFleet, otherKey, "rejected.mac"},
		{"cusco", testKeys, "rejected.fleet"},
	} {
		t.Run(c.metric, func(t *testing.T) {
			client := NewClient(c.fleet, c.keys, nil)
			defer client.Close()
			_, statusErr := client.Status(t.Context(), f.writer())
			_, applyErr := client.Apply(t.Context(), f.writer(), configfeed.Proposal{ID: "p", Entries: entriesWithNodes(1)})
			for _, err := range []error{statusErr, applyErr} {
				if !isStatus(err, http.StatusForbidden) {
					t.Errorf("%s: %v", c.metric, err)
				}
			}
			if count := metric(t, f.writer(), c.metric); count != "2" {
				t.Errorf("%s is %s, want 2", c.metric, count)
			}
		})
	}
	// The MAC covers the body: a request whose body differs from the signed one is rejected.
	request := httptest.NewRequest(http.MethodPost, "http://"+f.writer()+pathPoll, strings.NewReader("{}"))
	(&authenticator{fleet: testFleet, keys: testKeys}).signRequest(request, []byte("{ }"))
	request.RequestURI = ""
	answer, err := plainTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	answer.Body.Close()
	if answer.StatusCode != http.StatusForbidden || metric(t, f.writer(), "rejected.mac") != "3" {
		t.Errorf("request with another body than the signed one: status %d", answer.StatusCode)
	}
	if getText(t, f.writer(), pathStatus); metric(t, f.writer(), "rejected.fleet") != "3" {
		t.Error("a request without authentication headers was not counted")
	}
	if v := metric(t, f.writer(), "revision"); v != "0" {
		t.Errorf("revision %s after rejected requests, want 0", v)
	}
}

// Keys are changed at one process after the other. In between, a process that has both keys must accept a request signed
// with the old one, and must sign the answer with it, since the sender may not have the new key yet.
func TestOldKeyIsAcceptedDuringKeyChange(t *testing.T) {
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
		t.Errorf("a client with only the old key rejects the answer: %s", why)
	}
	client := NewClient(testFleet, [][]byte{testKeys[0], newKey}, nil)
	defer client.Close()
	if _, err := client.Status(t.Context(), f.writer()); err != nil {
		t.Error(err)
	}
}
