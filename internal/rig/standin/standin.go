// Package standin plays what a node deals with: hosts, discovery and clients, on loopback sockets.
package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"time"

	"gorseledge/internal/discovery/endpoint"
)

// Hosts are stand-ins for hosts: each takes every flow and sends every line back.
type Hosts struct {
	listeners   []net.Listener
	mu          sync.Mutex
	connections map[net.Conn]bool
	flows       map[string]net.Conn // by the id of the first line
	group       sync.WaitGroup
}

// StartHosts starts that many.
func StartHosts(n int) (*Hosts, error) {
	h := &Hosts{connections: map[net.Conn]bool{}, flows: map[string]net.Conn{}}
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			h.Close()
			return nil, err
		}
		h.listeners = append(h.listeners, ln)
		h.group.Go(func() { h.accept(i, ln) })
	}
	return h, nil
}

func (h *Hosts) accept(i int, ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		h.connections[c] = true
		h.mu.Unlock()
		h.group.Go(func() {
			h.serve(i, c)
			h.mu.Lock()
			delete(h.connections, c)
			h.mu.Unlock()
		})
	}
}

func (h *Hosts) serve(i int, c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		switch {
		case strings.HasPrefix(line, "OPEN "):
			id := h.addFlow(c, line)
			defer h.removeFlow(c, id)
			line = fmt.Sprintf("UP h%d\r\n", i)
		case strings.HasPrefix(line, "PING"), strings.HasPrefix(line, "STATS"):
			line = "PONG\r\n"
		}
		if _, err := io.WriteString(c, line); err != nil {
			return
		}
	}
}

// EndpointList gives the hosts as discovery tells them.
func (h *Hosts) EndpointList(index int64) endpoint.List {
	l := endpoint.List{Index: index, Complete: true}
	for i, ln := range h.listeners {
		l.Hosts = append(l.Hosts, endpoint.Host{Name: fmt.Sprintf("s-%08x", 100+i), Address: ln.Addr().String(),
			Zone: "a", Status: "SERVING", Weight: 1})
	}
	return l
}

// Close ends the hosts and waits until nothing of them runs.
func (h *Hosts) Close() {
	for _, ln := range h.listeners {
		ln.Close()
	}
	h.mu.Lock()
	for c := range h.connections {
		c.Close()
	}
	h.mu.Unlock()
	h.group.Wait()
}

// Discovery tells lists to whoever watches: the last whole one and what changed since, then what comes.
type Discovery struct {
	WatchOpened  <-chan bool // brings a word for each call
	WatchClosed  <-chan bool // and one for each watch that was given up
	server       *httptest.Server
	mu           sync.Mutex
	published    [][]byte // a list each
	lastComplete int      // where the last whole one stands
	changed      chan struct{}
	watchOpened  chan bool
	watchClosed  chan bool
}

// StartDiscovery starts it; nothing is told yet.
func StartDiscovery() *Discovery {
	asked, left := make(chan bool, 16), make(chan bool, 16)
	d := &Discovery{WatchOpened: asked, WatchClosed: left, changed: make(chan struct{}), watchOpened: asked, watchClosed: left}
	d.server = httptest.NewServer(http.HandlerFunc(d.watch))
	return d
}

// Address is where nodes reach it.
func (d *Discovery) Address() string { return d.server.Listener.Addr().String() }

// Publish tells a list.
func (d *Discovery) Publish(list endpoint.List) {
	text, err := json.Marshal(list)
	if err != nil {
		panic(err) // a list is plain figures and words
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

func (d *Discovery) watch(w http.ResponseWriter, r *http.Request) {
	select {
	case d.watchOpened <- true:
	default:
	}
	d.mu.Lock()
	next := d.lastComplete
	d.mu.Unlock()
	for {
		d.mu.Lock()
		told, more := d.published[next:], d.changed
		d.mu.Unlock()
		for _, text := range told {
			w.Write(text)
		}
		next += len(told)
		w.(http.Flusher).Flush()
		select {
		case <-more:
		case <-time.After(time.Second):
			io.WriteString(w, "\n")
		case <-r.Context().Done():
			select {
			case d.watchClosed <- true:
			default:
			}
			return
		}
	}
}

// Close ends it, and the watches.
func (d *Discovery) Close() {
	d.server.CloseClientConnections()
	d.server.Close()
}

// Answer is how a flow ended for its client.
type Answer string

// The answers. Cut and Silent are none.
const (
	Up           Answer = "up"
	Busy         Answer = "busy"
	Failed       Answer = "failed"
	Cut          Answer = "cut"    // the connection ended with no answer
	Silent       Answer = "silent" // no answer came in time
	NotListening Answer = "no door"
)

// Flow is one client's flow through a node: the first line, the answer and, where it is up, lines that come back.
type Flow struct {
	Answer  Answer
	Answers int    // final answers: one, or the node is at fault
	Ended   string // how an established connection ended: "client", "move", "cut"
}

// RunFlow plays one flow at a node's address. It gives up within the timeout and grace seconds more.
func RunFlow(ctx context.Context, address, id string, key uint64, timeout, grace float64, lines int, gap time.Duration) (f Flow) {
	began := time.Now()
	dialer := net.Dialer{Timeout: time.Duration(timeout * 1e9)}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		f.Answer = NotListening
		return f
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	c.SetDeadline(began.Add(time.Duration((timeout + grace) * 1e9)))
	fmt.Fprintf(c, "OPEN %s %x c=chat,d=%d\r\n", id, key, int(timeout*1e3))
	in := bufio.NewReader(c)
	line, err := in.ReadString('\n')
	switch word, _, _ := strings.Cut(strings.TrimSpace(line), " "); {
	case errors.Is(err, os.ErrDeadlineExceeded):
		f.Answer = Silent
		return f
	case err != nil:
		f.Answer = Cut
		return f
	case word == "UP":
		f.Answer = Up
	case word == "BUSY":
		f.Answer = Busy
	default:
		f.Answer = Failed
	}
	f.Answers = 1
	if f.Answer != Up {
		return f
	}
	for n := range lines {
		c.SetDeadline(time.Now().Add(time.Duration(grace*1e9) + 5*time.Second))
		if _, err := fmt.Fprintf(c, "M %d\r\n", n); err != nil {
			f.Ended = "cut"
			return f
		}
		line, err := in.ReadString('\n')
		switch text := strings.TrimSpace(line); {
		case err != nil:
			f.Ended = "cut"
			return f
		case text == "MOVE" || text == "BYE":
			f.Ended = "move"
			return f
		case strings.HasPrefix(text, "UP") || strings.HasPrefix(text, "BUSY") || strings.HasPrefix(text, "ERR"):
			f.Answers++
		}
		select {
		case <-time.After(gap):
		case <-ctx.Done():
		}
	}
	f.Ended = "client"
	return f
}
