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

// newTestClient gives a client of a stand-in for discovery.
func newTestClient(t *testing.T, handle http.HandlerFunc) *Client {
	t.Helper()
	return NewWithDialer(discoverytest.Dialer(t, handle), "discovery")
}

// write sends text at once.
func write(w http.ResponseWriter, text string) {
	io.WriteString(w, text)
	w.(http.Flusher).Flush()
}

// watchCase is an answer of discovery, and what a watch makes of it.
type watchCase struct {
	name        string
	answer      http.HandlerFunc
	lists       string        // as describe gives them
	fails       string        // part of the watch's error
	least, most time.Duration // that the watch takes
	signsOfLife int
}

var watchCases = []watchCase{
	{"a complete list and a change, empty lines between", func(w http.ResponseWriter, _ *http.Request) {
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
	{"a long list in pieces", func(w http.ResponseWriter, _ *http.Request) {
		for _, piece := range []string{completeList[:10], completeList[10:20], completeList[20:30], completeList[30:]} {
			write(w, piece)
			time.Sleep(time.Second)
		}
	}, "41 true s-1 SERVING, ", "EOF", 4 * time.Second, 4 * time.Second, 5},
	{"broken in the middle of a list", func(w http.ResponseWriter, _ *http.Request) {
		write(w, completeList[:30])
		time.Sleep(time.Second)
		panic(http.ErrAbortHandler)
	}, "", "unexpected EOF", time.Second, 2 * time.Second, 2},
	{"in one burst", func(w http.ResponseWriter, _ *http.Request) {
		for range 1000 {
			write(w, "\n")
		}
	}, "", "EOF", 0, time.Second, 2},
	{"refused", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, "", "status 503", 0, time.Second, 0},
	{"reset", func(w http.ResponseWriter, _ *http.Request) {
		write(w, completeList)
		panic(http.ErrAbortHandler)
	}, "41 true s-1 SERVING, ", "EOF", 0, time.Second, 2},
	{"no JSON", func(w http.ResponseWriter, _ *http.Request) { write(w, "{{\n") }, "", "does not parse", 0, time.Second, 2},
	{"another shape", func(w http.ResponseWriter, _ *http.Request) { write(w, `{"index":"x"}`+"\n") }, "",
		"does not parse", 0, time.Second, 2},
}

// describe gives a list's index, whether it is complete, and its hosts.
func describe(list endpoint.List) string {
	text := fmt.Sprint(list.Index, " ", list.Complete, " ")
	for _, host := range list.Hosts {
		text += host.Name + " " + host.Status + ", "
	}
	return text
}

func TestWatchNotifiesOfLists(t *testing.T) {
	for _, c := range watchCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkWatch(t, c) })
		})
	}
}

func checkWatch(t *testing.T, c watchCase) {
	t.Helper()
	asked := make(chan string, 1)
	client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.String()
		c.answer(w, r)
	})
	lists, signsOfLife, start := "", 0, time.Now()
	err := client.Watch(t.Context(), 40, func(bool) { signsOfLife++ }, func(list endpoint.List) { lists += describe(list) })
	if took := time.Since(start); took < c.least || took > c.most {
		t.Errorf("took %v", took)
	}
	if signsOfLife != c.signsOfLife {
		t.Errorf("%d signs of life, want %d", signsOfLife, c.signsOfLife)
	}
	if lists != c.lists || err == nil || !strings.Contains(err.Error(), c.fails) {
		t.Errorf("received %q and failed with %v, want %q and %q", lists, err, c.lists, c.fails)
	}
	if got := <-asked; got != "/discovery/hosts?stream=1&index=40" {
		t.Errorf("asked %s", got)
	}
}

func TestWatchEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		client := newTestClient(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		time.AfterFunc(time.Second, cancel)
		if err := client.Watch(ctx, 0, nil, nil); !errors.Is(err, context.Canceled) {
			t.Fatalf("ended with %v", err)
		}
	})
}
