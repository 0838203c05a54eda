package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// host is a stand-in for a server that holds connections, as PROTOCOL.md has it: it answers OPEN with UP and a receipt, and
// each further line with the same line.
type host struct {
	name     string
	address  string
	zone     string
	record   *record
	listener net.Listener

	answer  atomic.Value // func(attempt) string: the answer to OPEN, "" for none
	hung    atomic.Bool  // nothing is answered
	ended   atomic.Bool
	mu      sync.Mutex
	conns   map[net.Conn]bool
	arrived []attempt
}

// attempt is one OPEN line that a host received.
type attempt struct {
	host      string
	id        string
	line      string
	firstByte time.Time
	lastByte  time.Time
	over      time.Time // when the host answered or the node ended its sending
	answer    string
}

func startHost(r *record, name string) *host {
	h := &host{name: name, zone: "a", record: r, conns: map[net.Conn]bool{}}
	h.answer.Store(func(attempt) string { return "UP " + name })
	h.address = freeAddress()
	h.listen()
	return h
}

func (h *host) listen() {
	listener, err := net.Listen("tcp", h.address)
	if err != nil {
		cannotRun("host: %v", err)
	}
	h.listener = listener
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			h.mu.Lock()
			h.conns[conn] = true
			h.mu.Unlock()
			go func() {
				defer func() {
					conn.Close()
					h.mu.Lock()
					delete(h.conns, conn)
					h.mu.Unlock()
				}()
				h.serve(conn)
			}()
		}
	}()
}

// die resets all connections and refuses new ones, as a process that dies.
func (h *host) die() {
	h.listener.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	for conn := range h.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// open returns how many connections the host has.
func (h *host) open() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.conns)
}

func (h *host) attempts() []attempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]attempt{}, h.arrived...)
}

// endpoint returns the host's entry for the list.
func (h *host) endpoint(status string) endpoint {
	return endpoint{Name: h.name, Address: h.address, Zone: h.zone, Type: "m2", Group: 1, Status: status, Weight: 1}
}

func (h *host) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	if _, err := in.Peek(1); err != nil {
		return
	}
	first := time.Now()
	line, err := in.ReadString('\n')
	if err != nil {
		return
	}
	last := time.Now()
	text := strings.TrimRight(line, "\r\n")
	if text == "PING" || strings.HasPrefix(text, "STATS") {
		for !h.hung.Load() {
			if _, err := fmt.Fprint(conn, "PONG\r\n"); err != nil {
				return
			}
			if line, err = in.ReadString('\n'); err != nil {
				return
			}
		}
		time.Sleep(10 * time.Second)
		return
	}
	words := strings.Fields(text)
	if len(words) < 4 || words[0] != "OPEN" {
		fmt.Fprint(conn, "SYNTAX\r\n")
		h.record.add("host %s: SYNTAX %q", h.name, text)
		return
	}
	a := attempt{host: h.name, id: words[1], line: text, firstByte: first, lastByte: last}
	delay := time.Duration(0)
	if !h.hung.Load() {
		a.answer = h.answer.Load().(func(attempt) string)(a)
		if rest, slow := strings.CutPrefix(a.answer, "AFTER "); slow { // AFTER MS ANSWER
			ms, answer, _ := strings.Cut(rest, " ")
			number, _ := strconv.Atoi(ms)
			delay, a.answer = time.Duration(number)*time.Millisecond, answer
		}
	}
	h.mu.Lock()
	h.arrived = append(h.arrived, a)
	at := len(h.arrived) - 1
	h.mu.Unlock()
	h.record.addAt(first, "host %s: %s, answers %q", h.name, text, a.answer)
	over := func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.arrived[at].over.IsZero() {
			h.arrived[at].over = time.Now()
		}
	}
	defer over()
	lines := make(chan string, 1000)
	go func() { // reads, so that the end of the node's sending is seen at once
		defer close(lines)
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				over()
				return
			}
			lines <- line
		}
	}()
	if a.answer == "" {
		for range lines { // until the node gives up
		}
		return
	}
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-lines:
			return
		}
	}
	if a.answer == "RESET" {
		over()
		conn.(*net.TCPConn).SetLinger(0)
		return
	}
	over()
	fmt.Fprintf(conn, "%s\r\n", a.answer)
	if !strings.HasPrefix(a.answer, "UP") {
		return
	}
	for line := range lines {
		for h.hung.Load() {
			time.Sleep(5 * time.Millisecond)
		}
		if _, err := fmt.Fprint(conn, line); err != nil {
			return
		}
	}
}
