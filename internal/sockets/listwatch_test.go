package sockets

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"gorseledge/internal/discovery"
	"gorseledge/internal/discovery/discoverytest"
	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/node"
	"gorseledge/placement"
)

const (
	// maxDrainDelay is how long after a drain a node may still send to the host, by the protocol.
	maxDrainDelay = 6 * time.Second
	// firstCallWithin is the time within which the three nodes of a test make their first calls.
	firstCallWithin = time.Second / 2
	// drainingLine is a list in which one host drains.
	drainingLine = `{"index":2,"snapshot":false,"endpoints":[{"name":"s-1","status":"DRAINING"}]}` + "\n"
)

// silentDiscovery is a discovery whose watches all fall silent at one moment, also those that it has not answered yet;
// right after that a host begins to drain.
type silentDiscovery struct {
	silentAt    time.Duration // from the start
	waitsBefore time.Duration // how long a call waits for its turn before that
	waitsAfter  time.Duration // and after it
}

// handler answers calls, and sends the time from the start at which a call was notified of the drain.
func (d silentDiscovery) handler(start time.Time, notified chan<- time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if time.Since(start) < d.silentAt {
			d.answerUntilSilent(w, r, time.After(d.silentAt-time.Since(start)))
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(d.waitsAfter):
		}
		writeAndFlush(w, drainingLine)
		notified <- time.Since(start)
		<-r.Context().Done()
	}
}

// answerUntilSilent answers a call that comes before the silence.
func (d silentDiscovery) answerUntilSilent(w http.ResponseWriter, r *http.Request, silent <-chan time.Time) {
	select {
	case <-silent:
		<-r.Context().Done()
		return
	case <-r.Context().Done():
		return
	case <-time.After(d.waitsBefore):
	}
	for writeAndFlush(w, `{"index":1,"snapshot":false,"endpoints":[]}`+"\n"); ; writeAndFlush(w, "\n") {
		select {
		case <-time.After(2 * time.Second):
		case <-silent:
			<-r.Context().Done()
			return
		}
	}
}

func writeAndFlush(w http.ResponseWriter, text string) {
	io.WriteString(w, text)
	w.(http.Flusher).Flush()
}

// A node hears of a drain that a silent watch did not bring in time, whenever the silence began and whatever the watch
// was about then: it may not send to hosts that drain for longer than maxDrainDelay.
func TestSilentWatchIsReplacedInTime(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name  string
		nodes int
		silentDiscovery
		maxDelay time.Duration // from the silence to the notification of the drain
	}{
		{"a few nodes, a call that was not answered", 6,
			silentDiscovery{silentAt: 400 * ms, waitsBefore: 3 * time.Second, waitsAfter: time.Second}, maxDrainDelay},
		{"after the first list", 6, silentDiscovery{silentAt: 100 * ms, waitsAfter: time.Second}, maxDrainDelay},
		{"between lines", 6, silentDiscovery{silentAt: 5500 * ms, waitsAfter: time.Second}, maxDrainDelay},
		{"right before a line", 6, silentDiscovery{silentAt: 5999 * ms, waitsAfter: time.Second}, maxDrainDelay},
		{"right after a line", 6, silentDiscovery{silentAt: 6001 * ms, waitsAfter: 3 * time.Second}, maxDrainDelay},
		{"350 nodes, between lines", 350, silentDiscovery{silentAt: 11 * time.Second, waitsAfter: time.Second}, maxDrainDelay},
		{"350 nodes, a call that was not answered", 350,
			silentDiscovery{silentAt: 5 * time.Second, waitsBefore: 3 * time.Second, waitsAfter: 300 * ms}, maxDrainDelay},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range 40 {
				synctest.Test(t, func(t *testing.T) {
					notified := make(chan time.Duration, 4)
					s := startFollower(t, uint64(seed), c.nodes, c.handler(time.Now(), notified))
					select {
					case at := <-notified:
						if delay := at - c.silentAt; delay > c.maxDelay {
							t.Errorf("seed %d: notified %v after the silence began", seed, delay)
						}
					case <-time.After(time.Minute):
						t.Errorf("seed %d: never notified", seed)
					}
					synctest.Wait()
					if a, _ := s.ask(t.Context(), node.Query{Question: node.GetStatistics}); a.Statistics.Unavailable != 1 {
						t.Errorf("seed %d: notified, and %d hosts avoided", seed, a.Statistics.Unavailable)
					}
				})
			}
		})
	}
}

// queueingDiscovery works through calls in turn, also those whose caller has gone, and loses some of them.
type queueingDiscovery struct {
	each time.Duration // for a call
	lost int           // of the first calls: taken and never answered
}

// handler answers and counts calls, and sends the time from the start at which a call was notified of the drain.
func (d queueingDiscovery) handler(start time.Time, calls *atomic.Int32, notified chan<- time.Duration) http.HandlerFunc {
	turn := make(chan struct{}, 1)
	return func(w http.ResponseWriter, r *http.Request) {
		if int(calls.Add(1)) <= d.lost {
			<-r.Context().Done()
			return
		}
		select {
		case turn <- struct{}{}:
		case <-r.Context().Done():
			return
		}
		select {
		case <-time.After(d.each):
		case <-r.Context().Done():
		}
		<-turn
		if _, err := io.WriteString(w, drainingLine); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		if r.Context().Err() == nil {
			notified <- time.Since(start)
		}
		<-r.Context().Done()
	}
}

// A call that waits in a queue is not given up, and one that got lost holds up no later one: neither may double the wait
// between calls, or have the node begin again and again at the end of a queue.
func TestCallBesideOneWithoutAnswer(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		name string
		queueingDiscovery
		maxDelay time.Duration // until the list is received, from the first call
		calls    int32
	}{
		{"at once", queueingDiscovery{}, 0, 1},
		{"a turn of 11 s", queueingDiscovery{each: 11 * s}, 11 * s, 3},
		{"one call lost", queueingDiscovery{lost: 1}, 4 * s, 2},
		{"four calls lost", queueingDiscovery{lost: 4}, 16 * s, 5},
		{"two calls lost and a turn of 3 s", queueingDiscovery{lost: 2, each: 3 * s}, 11 * s, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				notified := make(chan time.Duration, 4)
				var calls atomic.Int32
				s := startFollower(t, 1, 3, c.handler(time.Now(), &calls, notified))
				select {
				case at := <-notified:
					if at > c.maxDelay+firstCallWithin {
						t.Errorf("notified after %v, want %v", at, c.maxDelay)
					}
				case <-time.After(time.Minute):
					t.Error("never notified")
				}
				synctest.Wait()
				if a, _ := s.ask(t.Context(), node.Query{Question: node.GetStatistics}); a.Statistics.Unavailable != 1 {
					t.Errorf("notified, and %d hosts avoided", a.Statistics.Unavailable)
				}
				if got := calls.Load(); got != c.calls {
					t.Errorf("%d calls, want %d", got, c.calls)
				}
			})
		})
	}
}

// Of two calls beside each other the first to be answered stands, what the other brings later does not undo it, and a
// failure counts once none is left. No older list takes the place of a newer one.
func TestOverriddenCallIsIgnored(t *testing.T) {
	w := &discoveryWatch{}
	begin := func() context.Context {
		call := listCall{}
		call.ctx, call.end = context.WithCancelCause(t.Context())
		w.calls = append(w.calls, call)
		return call.ctx
	}
	first, second := begin(), begin()
	if in := w.failed(second, "reset"); in != nil || len(w.calls) != 1 {
		t.Errorf("one of two calls failed: %v, %d left", in, len(w.calls))
	}
	second = begin()
	if in := w.alive(second, false); in != (node.WatchAlive{}) || len(w.calls) != 1 || first.Err() == nil {
		t.Errorf("the second of two was answered: %v, %d left", in, len(w.calls))
	}
	for _, late := range []node.Input{w.alive(first, false), w.listReceived(first, endpoint.List{Index: 1}), w.failed(first, "reset")} {
		if late != nil {
			t.Errorf("a call that was overridden: %v", late)
		}
	}
	if _, ok := w.listReceived(second, endpoint.List{Index: 2}).(node.ListReceived); !ok {
		t.Error("the watch that stands was not heard")
	}
	w.stop(0)
	if _, ok := w.listReceived(second, endpoint.List{Index: 3}).(node.ListReceived); !ok {
		t.Error("what a silent watch still brought was not heard")
	}
}

// startFollower starts the loop of a node that serves nobody and follows the list of a discovery. The loop ends with the
// test.
func startFollower(t *testing.T, seed uint64, nodes int, handler http.HandlerFunc) *server {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	group, ctx := errgroup.WithContext(ctx)
	start := node.Start{MaxDescriptors: 100, Settings: placement.Settings{Seed: seed, Nodes: nodes, PollInterval: 10}}
	for i := range 8 {
		host := endpoint.Host{Name: fmt.Sprint("s-", i), Address: "h:1", Status: "SERVING"}
		start.CachedList.Hosts = append(start.CachedList.Hosts, host)
	}
	s := newServer(ctx, group, Config{}, zerolog.Nop())
	s.discovery.client = discovery.NewWithDialer(discoverytest.Dialer(t, handler), "discovery")
	s.core = node.New(s.clock.now(), start)
	ended := make(chan error, 1)
	go func() { ended <- s.loop(nil) }()
	t.Cleanup(func() {
		cancel()
		<-ended
		group.Wait()
	})
	return s
}
