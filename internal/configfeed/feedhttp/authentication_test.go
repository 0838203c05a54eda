package feedhttp

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gorseledge/internal/configfeed"
)

func TestReplayedAnswerIsRejected(t *testing.T) {
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
	_, err := client.Status(t.Context(), f.writer())
	if err == nil || !strings.Contains(err.Error(), "not authentic") {
		t.Errorf("%v", err)
	}
}

func TestAlteredAnswerIsRejected(t *testing.T) {
	f := startServers(t, 1)
	through := relay(t, f.writer(), func(_ string, answer *http.Response, body []byte) (*http.Response, []byte) {
		return answer, bytes.Replace(body, []byte("c1"), []byte("c2"), 1)
	})
	client := NewClient(testFleet, testKeys, map[string]string{f.writer(): through})
	defer client.Close()
	_, err := client.Status(t.Context(), f.writer())
	if err == nil || !strings.Contains(err.Error(), "not authentic") {
		t.Errorf("%v", err)
	}
}

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
				t.Errorf("%s is %s", c.metric, count)
			}
		})
	}
	// The MAC covers the body: a request with another one is rejected.
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
	if getText(t, f.writer(), pathStatus); metric(t, f.writer(), "rejected.fleet") != "3" {
		t.Error("a request without any proof was not counted")
	}
	if v := metric(t, f.writer(), "revision"); v != "0" {
		t.Errorf("revision %s", v)
	}
}

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
		t.Errorf("the answer is for who knows the old key only: %s", why)
	}
	client := NewClient(testFleet, [][]byte{testKeys[0], newKey}, nil)
	defer client.Close()
	if _, err := client.Status(t.Context(), f.writer()); err != nil {
		t.Error(err)
	}
}
