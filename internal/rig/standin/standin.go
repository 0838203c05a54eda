// Package standin plays what a node deals with: hosts, discovery and clients, on loopback sockets.
package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"gorseledge/internal/discovery/roster"
)

// Hosts are stand-ins for hosts: each takes every flow and sends every line back.
type Hosts struct {
	listeners []net.Listener
	mu        sync.Mutex
	conns     map[net.Conn]bool
	group     sync.WaitGroup
	served    int
}

// StartHosts starts that many.
func StartHosts(n int) (*Hosts, error) {
	h := &Hosts{conns: map[net.Conn]bool{}}
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
		h.conns[c] = true
		h.mu.Unlock()
		h.group.Go(func() {
			h.serve(i, c)
			h.mu.Lock()
			delete(h.conns, c)
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
			h.mu.Lock()
			h.served++
			h.mu.Unlock()
			line = fmt.Sprintf("UP h%d\r\n", i)
		case strings.HasPrefix(line, "PING"), strings.HasPrefix(line, "STATS"):
			line = "PONG\r\n"
		}
		if _, err := io.WriteString(c, line); err != nil {
			return
		}
	}
}

// List gives the hosts as discovery tells them.
func (h *Hosts) List(index int64) roster.List {
	l := roster.List{Index: index, Whole: true}
	for i, ln := range h.listeners {
		l.Hosts = append(l.Hosts, roster.Host{Name: fmt.Sprintf("s-%08x", 100+i), Address: ln.Addr().String(),
			Zone: "a", Status: "SERVING", Weight: 1})
	}
	return l
}

// Served is how many flows the hosts took.
func (h *Hosts) Served() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.served
}

// Close ends the hosts and waits until nothing of them runs.
func (h *Hosts) Close() {
	for _, ln := range h.listeners {
		ln.Close()
	}
	h.mu.Lock()
	for c := range h.conns {
		c.Close()
	}
	h.mu.Unlock()
	h.group.Wait()
}

// Discovery tells a list to whoever watches.
type Discovery struct {
	server  *http.Server
	ln      net.Listener
	mu      sync.Mutex
	list    roster.List
	changed chan struct{}
	done    chan struct{}
}

// StartDiscovery starts it.
func StartDiscovery(list roster.List) (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{ln: ln, list: list, changed: make(chan struct{}), done: make(chan struct{})}
	d.server = &http.Server{Handler: http.HandlerFunc(d.watch)}
	go func() {
		defer close(d.done)
		d.server.Serve(ln)
	}()
	return d, nil
}

// Address is where nodes reach it.
func (d *Discovery) Address() string { return d.ln.Addr().String() }

// Tell changes the list.
func (d *Discovery) Tell(list roster.List) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = list
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Discovery) watch(w http.ResponseWriter, r *http.Request) {
	for told := int64(-1); ; {
		d.mu.Lock()
		list, changed := d.list, d.changed
		d.mu.Unlock()
		text := []byte("")
		if list.Index != told {
			told = list.Index
			text, _ = json.Marshal(list)
		}
		if _, err := w.Write(append(text, '\n')); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-changed:
		case <-time.After(time.Second):
		case <-r.Context().Done():
			return
		}
	}
}

// Close ends it.
func (d *Discovery) Close() {
	d.server.Close()
	<-d.done
}

// Answer is how a flow ended for its client.
type Answer string

// The answers. Cut and Silent are none.
const (
	Up     Answer = "up"
	Busy   Answer = "busy"
	Failed Answer = "failed"
	Cut    Answer = "cut"    // the connection ended with no answer
	Silent Answer = "silent" // no answer came in time
	NoDoor Answer = "no door"
)

// Flow is one client's flow through a node: the first line, the answer and, where it is up, lines that come back.
type Flow struct {
	Answer  Answer
	Answers int     // final answers: one, or the node is at fault
	Lines   int     // that came back
	Ended   string  // how an established connection ended: "client", "move", "cut"
	Took    float64 // seconds to the answer
}

// Play plays one flow at a node's address. It gives up within the timeout and grace seconds more.
func Play(ctx context.Context, address, id string, key uint64, timeout, grace float64, lines int, gap time.Duration) (f Flow) {
	began := time.Now()
	dialer := net.Dialer{Timeout: time.Duration(timeout * 1e9)}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		f.Answer = NoDoor
		return f
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	c.SetDeadline(began.Add(time.Duration((timeout + grace) * 1e9)))
	fmt.Fprintf(c, "OPEN %s %x c=chat,d=%d\r\n", id, key, int(timeout*1e3))
	in := bufio.NewReader(c)
	line, err := in.ReadString('\n')
	f.Took = time.Since(began).Seconds()
	var late net.Error
	switch word, _, _ := strings.Cut(strings.TrimSpace(line), " "); {
	case err != nil && asTimeout(err, &late):
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
		default:
			f.Lines++
		}
		select {
		case <-time.After(gap):
		case <-ctx.Done():
		}
	}
	f.Ended = "client"
	return f
}

func asTimeout(err error, as *net.Error) bool {
	e, ok := err.(net.Error)
	*as = e
	return ok && e.Timeout()
}
