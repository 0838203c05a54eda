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

// newTestClient gives a client of a stand-in for discovery.
func newTestClient(t *testing.T, handle http.HandlerFunc) *Client {
	return NewWithDialer(discoverytest.Dialer(t, handle), "discovery")
}

func TestWatchNotifiesOfLists(t *testing.T) {
	write := func(w http.ResponseWriter, text string) {
		io.WriteString(w, text)
		w.(http.Flusher).Flush()
	}
	const whole = `{"index":41,"snapshot":true,"endpoints":[{"name":"s-1","address":"h:1","status":"SERVING","weight":1.5}]}` + "\n"
	const change = `{"index":43,"snapshot":false,"endpoints":[{"name":"s-1","status":"DRAINING"},{"address":"nameless"}]}` + "\n"
	cases := []struct {
		name   string
		handle func(w http.ResponseWriter, r *http.Request)
		told   string
		fails  string
		least  time.Duration // how long it takes to give up
		most   time.Duration
		signs  int // of life
	}{
		{"a whole list and a change, empty lines between", func(w http.ResponseWriter, r *http.Request) {
			write(w, whole)
			for range 5 {
				time.Sleep(2 * time.Second)
				write(w, "\n")
			}
			write(w, change)
		}, "41 true s-1 SERVING, 43 false s-1 DRAINING, ", "EOF", 10 * time.Second, 11 * time.Second, 7},
		{"lists in pieces", func(w http.ResponseWriter, r *http.Request) {
			write(w, whole[:30])
			time.Sleep(time.Second)
			write(w, whole[30:]+change)
		}, "41 true s-1 SERVING, 43 false s-1 DRAINING, ", "EOF", time.Second, 2 * time.Second, 3},
		{"a long list in pieces", func(w http.ResponseWriter, r *http.Request) {
			for _, piece := range []string{whole[:10], whole[10:20], whole[20:30], whole[30:]} {
				write(w, piece)
				time.Sleep(time.Second)
			}
		}, "41 true s-1 SERVING, ", "EOF", 4 * time.Second, 4 * time.Second, 5},
		{"broken in the middle of a list", func(w http.ResponseWriter, r *http.Request) {
			write(w, whole[:30])
			time.Sleep(time.Second)
			panic(http.ErrAbortHandler)
		}, "", "unexpected EOF", time.Second, 2 * time.Second, 2},
		{"in one burst", func(w http.ResponseWriter, r *http.Request) {
			for range 1000 {
				write(w, "\n")
			}
		}, "", "EOF", 0, time.Second, 2},
		{"refused", func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(503) }, "", "status 503", 0,
			time.Second, 0},
		{"reset", func(w http.ResponseWriter, r *http.Request) { write(w, whole); panic(http.ErrAbortHandler) },
			"41 true s-1 SERVING, ", "EOF", 0, time.Second, 2},
		{"no JSON", func(w http.ResponseWriter, r *http.Request) { write(w, "{{\n") }, "", "does not parse", 0,
			time.Second, 2},
		{"another shape", func(w http.ResponseWriter, r *http.Request) { write(w, `{"index":"x"}`+"\n") }, "",
			"does not parse",
			0, time.Second, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				asked := make(chan string, 1)
				client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
					asked <- r.URL.String()
					c.handle(w, r)
				})
				told, began, signs := "", time.Now(), 0
				err := client.Watch(t.Context(), 40, func(bool) { signs++ }, func(l endpoint.List) {
					told += fmt.Sprint(l.Index, " ", l.Complete, " ")
					for _, h := range l.Hosts {
						told += h.Name + " " + h.Status + ", "
					}
				})
				if took := time.Since(began); took < c.least || took > c.most {
					t.Errorf("took %v", took)
				}
				if signs != c.signs {
					t.Errorf("%d signs of life, wanted %d", signs, c.signs)
				}
				if told != c.told || err == nil || !strings.Contains(err.Error(), c.fails) {
					t.Errorf("told %q and failed with %v, wanted %q and %q", told, err, c.told, c.fails)
				}
				if got := <-asked; got != "/discovery/hosts?stream=1&index=40" {
					t.Errorf("asked %s", got)
				}
			})
		})
	}
	t.Run("called off", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
			time.AfterFunc(time.Second, cancel)
			if err := client.Watch(ctx, 0, nil, nil); !errors.Is(err, context.Canceled) {
				t.Fatalf("ended with %v", err)
			}
		})
	})
}
