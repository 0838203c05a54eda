package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"gorseledge/internal/discovery/endpoint"
)

const (
	// watchEventCapacity is the number of unread values that WatchOpened and WatchClosed each keep; further ones are dropped.
	watchEventCapacity = 16

	// watchKeepAlive is the time without a published list after which a watch receives an empty line.
	watchKeepAlive = time.Second
)

// Discovery is a discovery service. A new watch receives the last complete endpoint list and all changes published since
// then, and further lists as they are published. Use StartDiscovery; the zero value is not usable.
type Discovery struct {
	WatchOpened <-chan bool // receives a value for each watch that a node opens
	WatchClosed <-chan bool // receives a value for each watch that a node closes

	server      *httptest.Server
	watchOpened chan bool
	watchClosed chan bool

	mu           sync.Mutex    // protects the fields below
	published    [][]byte      // encoded lists, one line each
	lastComplete int           // index in published of the last complete list
	changed      chan struct{} // closed and replaced when a list is published
}

// StartDiscovery starts a discovery service without any published list. The caller must close it.
func StartDiscovery() *Discovery {
	opened := make(chan bool, watchEventCapacity)
	closed := make(chan bool, watchEventCapacity)
	d := &Discovery{
		WatchOpened: opened,
		WatchClosed: closed,
		watchOpened: opened,
		watchClosed: closed,
		changed:     make(chan struct{}),
	}
	d.server = httptest.NewServer(http.HandlerFunc(d.serveWatch))
	return d
}

// Address returns the host and port of the service.
func (d *Discovery) Address() string { return d.server.Listener.Addr().String() }

// Publish sends an endpoint list, complete or as a change, to all watches. It panics if the list cannot be encoded.
func (d *Discovery) Publish(list endpoint.List) {
	text, err := json.Marshal(list)
	if err != nil {
		panic(fmt.Sprintf("encoding an endpoint list: %v", err)) // impossible: a list contains only values that JSON can represent
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if list.Complete {
		d.lastComplete = len(d.published)
	}
	d.published = append(d.published, append(text, '\n'))
	close(d.changed)
	d.changed = make(chan struct{})
}

// Close ends the service and all watches.
func (d *Discovery) Close() {
	d.server.CloseClientConnections()
	d.server.Close()
}

// serveWatch sends lists to a watch until its client closes it.
func (d *Discovery) serveWatch(w http.ResponseWriter, r *http.Request) {
	notify(d.watchOpened)
	next := d.watchStart()
	for {
		lists, changed := d.publishedSince(next)
		for _, text := range lists {
			w.Write(text) // an error also ends the request's context
		}
		next += len(lists)
		w.(http.Flusher).Flush()
		select {
		case <-changed:
		case <-time.After(watchKeepAlive):
			io.WriteString(w, "\n")
		case <-r.Context().Done():
			notify(d.watchClosed)
			return
		}
	}
}

// watchStart returns the index of the first list that a new watch receives.
func (d *Discovery) watchStart() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastComplete
}

// publishedSince returns the lists published from index next on, and a channel that is closed when another is published.
func (d *Discovery) publishedSince(next int) (lists [][]byte, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.published[next:], d.changed
}

// notify sends to a channel unless its buffer is full.
func notify(events chan<- bool) {
	select {
	case events <- true:
	default:
	}
}
