package main

import (
	"bufio"
	"net"
	"strings"
	"sync"
	"time"
)

// run is one opening line that a host has received completely.
type run struct {
	id    string
	host  string
	first time.Time // when the line's first byte was read
}

// host is a stand-in for a server: it answers each opening line with UP, and each line after it with the same line.
type host struct {
	name     string
	record   *record
	listener net.Listener
	runs     *runs
}

// runs collects what all hosts have run.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(one run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, one)
}

func (r *runs) list() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.all...)
}

func startHost(name, address string, r *record, all *runs) (*host, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	h := &host{name: name, record: r, listener: listener, runs: all}
	go h.accept()
	return h, nil
}

func (h *host) address() string { return h.listener.Addr().String() }

func (h *host) accept() {
	for {
		c, err := h.listener.Accept()
		if err != nil {
			return
		}
		go h.serve(c)
	}
}

func (h *host) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	established := false
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		first := time.Now()
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch {
		case established:
			if _, err := c.Write([]byte(line)); err != nil {
				return
			}
		case word == "PING" || word == "STATS":
			if _, err := c.Write([]byte("PONG\r\n")); err != nil {
				return
			}
		case word == "OPEN":
			id, _, _ := strings.Cut(rest, " ")
			h.record.at(first, "host %s: runs %s: %s", h.name, id, strings.TrimSpace(line))
			h.runs.add(run{id: id, host: h.name, first: first})
			established = true
			if _, err := c.Write([]byte("UP " + h.name + "\r\n")); err != nil {
				return
			}
		default:
			c.Write([]byte("SYNTAX\r\n"))
			return
		}
	}
}
