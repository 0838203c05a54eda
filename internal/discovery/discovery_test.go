package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gorseledge/internal/discovery/discoverytest"
	"gorseledge/internal/discovery/endpoint"
)

const (
	completeList = `{"index":41,"snapshot":true,"endpoints":[{"name":"s-1","address":"h:1","status":"SERVING","weight":1.5}]}` + "\n"
	changedList  = `{"index":43,"snapshot":false,"endpoints":[{"name":"s-1","status":"DRAINING"},{"address":"nameless"}]}` + "\n"
)

// newTestClient returns a client of a discovery service that the handler implements.
func newTestClient(t *testing.T, handle http.HandlerFunc) *Client {
	t.Helper()
	return NewWithDialer(discoverytest.Dialer(t, handle), "discovery")
}

// write sends text without buffering it.
func write(w http.ResponseWriter, text string) {
	io.WriteString(w, text)
	w.(http.Flusher).Flush()
}

// watchCase is an answer of discovery and the expected results of the watch.
type watchCase struct {
	name                     string
	answer                   http.HandlerFunc
	wantLists                string        // the lists received, in the form of describe
	wantError                string        // part of the watch's error
	minDuration, maxDuration time.Duration // of the watch
	wantActivityCalls        int           // one when the answer begins, then at most one per read
}

var watchCases = []watchCase{
	{"complete list and a change, empty lines between them", func(w http.ResponseWriter, _ *http.Request) {
		write(w, completeList)
		for range 5 {
			time.Sleep(2 * time.Second)
			write(w, "\n")
		}
		write(w, changedList)
	}, "41 true s-1 SERVING, 43 false s-1 DRAINING, ", "EOF", 10 * time.Second, 11 * time.Second, 7},
	{"lists in pieces", func(w http.ResponseWriter, _ *http.Request) {
		write(w, completeList[:30])
		time.Sleep(time.Second)
		write(w, completeList[30:]+changedList)
	}, "41 true s-1 SERVING, 43 false s-1 DRAINING, ", "EOF", time.Second, 2 * time.Second, 3},
	{"one list in four pieces", func(w http.ResponseWriter, _ *http.Request) {
		for _, piece := range []string{completeList[:10], completeList[10:20], completeList[20:30], completeList[30:]} {
			write(w, piece)
			time.Sleep(time.Second)
		}
	}, "41 true s-1 SERVING, ", "EOF", 4 * time.Second, 4 * time.Second, 5},
	{"aborted in the middle of a list", func(w http.ResponseWriter, _ *http.Request) {
		write(w, completeList[:30])
		time.Sleep(time.Second)
		panic(http.ErrAbortHandler)
	}, "", "unexpected EOF", time.Second, 2 * time.Second, 2},
	{"empty lines in one burst", func(w http.ResponseWriter, _ *http.Request) {
		for range 1000 {
			write(w, "\n")
		}
	}, "", "EOF", 0, time.Second, 2},
	{"status 503", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, "", "status 503", 0, time.Second, 0},
	{"aborted after a list", func(w http.ResponseWriter, _ *http.Request) {
		write(w, completeList)
		panic(http.ErrAbortHandler)
	}, "41 true s-1 SERVING, ", "EOF", 0, time.Second, 2},
	{"not JSON", func(w http.ResponseWriter, _ *http.Request) { write(w, "{{\n") }, "", "does not parse", 0, time.Second, 2},
	{"JSON of another type", func(w http.ResponseWriter, _ *http.Request) { write(w, `{"index":"x"}`+"\n") }, "",
		"does not parse", 0, time.Second, 2},
}

// describe formats a list's index, whether it is complete, and its hosts.
func describe(list endpoint.List) string {
	text := fmt.Sprint(list.Index, " ", list.Complete, " ")
	for _, host := range list.Hosts {
		text += host.Name + " " + host.Status + ", "
	}
	return text
}

// If a watch lost lists that arrive in pieces, or did not report its end, the node would keep an old list. If it missed
// keep-alives, the node would end a watch that works.
func TestWatch(t *testing.T) {
	for _, c := range watchCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkWatch(t, c) })
		})
	}
}

func checkWatch(t *testing.T, c watchCase) {
	t.Helper()
	requestedURL := make(chan string, 1)
	client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		requestedURL <- r.URL.String()
		c.answer(w, r)
	})
	lists, activityCalls, start := "", 0, time.Now()
	err := client.Watch(t.Context(), 40, func(bool) { activityCalls++ }, func(list endpoint.List) { lists += describe(list) })
	if took := time.Since(start); took < c.minDuration || took > c.maxDuration {
		t.Errorf("the watch took %v, want %v to %v", took, c.minDuration, c.maxDuration)
	}
	if activityCalls != c.wantActivityCalls {
		t.Errorf("%d calls of onActivity, want %d", activityCalls, c.wantActivityCalls)
	}
	if lists != c.wantLists || err == nil || !strings.Contains(err.Error(), c.wantError) {
		t.Errorf("received %q and failed with %v, want %q and an error with %q", lists, err, c.wantLists, c.wantError)
	}
	if got := <-requestedURL; got != "/discovery/hosts?stream=1&index=40" {
		t.Errorf("requested %s, want /discovery/hosts?stream=1&index=40", got)
	}
}

// A watch that continued to wait after the end of its context would leak its goroutine and connection.
func TestWatchEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		client := newTestClient(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		time.AfterFunc(time.Second, cancel)
		if err := client.Watch(ctx, 0, nil, nil); !errors.Is(err, context.Canceled) {
			t.Fatalf("the watch ended with error %v, want %v", err, context.Canceled)
		}
	})
}
