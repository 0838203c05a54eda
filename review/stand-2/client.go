package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// flow is what a client sent and what it got.
type flow struct {
	node       string
	id         string
	class      string
	wait       time.Duration // for which the client waits for UP
	connected  bool          // the node's machine accepted the connection
	sentAt     time.Time     // when the last byte of the line was written
	answer     string        // the first line, "" for none
	answeredAt time.Time     // when it, or the end of the connection, came
	end        string        // how an established flow ended: "client", "MOVE", "BYE", "closed", "reset", "silent"
	endedAt    time.Time
	lines      int           // lines answered
	slowest    time.Duration // the longest time for a line to come back
	wrong      string        // a line that is not the one expected
}

// flows collects the flows of a case.
type flows struct {
	mu  sync.Mutex
	all []*flow
	wg  sync.WaitGroup
}

func (c *flows) add(f *flow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, f)
}

// client describes what a client does.
type client struct {
	node  string // address
	class string
	wait  time.Duration
	stays time.Duration // for how long an established flow stays
	gap   time.Duration // between two lines of an established flow
	extra string        // further fields of the opening line
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// run runs one client and records it.
func (c client) run(r *record, all *flows) *flow {
	f := &flow{node: c.node, id: newID(), class: c.class, wait: c.wait}
	c.talk(f)
	r.addAt(f.sentAt, "client %s: c=%s d=%d at %s: %q after %.3f s, %d lines, end %q after %.3f s", f.id, f.class, f.wait.Milliseconds(),
		f.node, f.answer, f.answeredAt.Sub(f.sentAt).Seconds(), f.lines, f.end, f.endedAt.Sub(f.sentAt).Seconds())
	all.add(f)
	return f
}

func (c client) talk(f *flow) {
	f.sentAt = time.Now()
	conn, err := net.DialTimeout("tcp", c.node, c.wait)
	if err != nil {
		f.answeredAt = time.Now()
		f.answer = "no connection: " + err.Error()
		return
	}
	defer conn.Close()
	f.connected = true
	line := fmt.Sprintf("OPEN %s %016x c=%s,t=acme,d=%d,g=%016x%s\r\n", f.id, rand.Uint64(), c.class, c.wait.Milliseconds(),
		rand.Uint64N(8)+1, c.extra)
	f.sentAt = time.Now()
	if _, err := io.WriteString(conn, line); err != nil {
		f.answeredAt = time.Now()
		return
	}
	in := bufio.NewReader(conn)
	conn.SetReadDeadline(f.sentAt.Add(c.wait + 1500*time.Millisecond))
	answer, err := in.ReadString('\n')
	f.answeredAt = time.Now()
	f.answer = strings.TrimSpace(answer)
	if err != nil && f.answer == "" {
		f.answer = endOf(err)
		return
	}
	if !strings.HasPrefix(f.answer, "UP") {
		conn.(*net.TCPConn).CloseWrite()
		conn.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
		if more, _ := in.ReadString('\n'); more != "" {
			f.wrong = more
		}
		return
	}
	c.stay(f, conn, in)
}

// stay sends a line after each gap and expects it back.
func (c client) stay(f *flow, conn net.Conn, in *bufio.Reader) {
	leave := time.Now().Add(c.stays)
	defer func() { f.endedAt = time.Now() }()
	for number := 0; ; number++ {
		pause := min(c.gap, time.Until(leave))
		conn.SetReadDeadline(time.Now().Add(max(pause, 0)))
		line, err := in.ReadString('\n') // only MOVE, LOAD or the end is expected here
		if end := c.endBy(f, line, err, ""); end {
			return
		}
		if time.Now().After(leave) {
			f.end = "client"
			return
		}
		text := fmt.Sprintf("M %s %d", f.id, number)
		sent := time.Now()
		if _, err := io.WriteString(conn, text+"\r\n"); err != nil {
			f.end = endOf(err)
			return
		}
		conn.SetReadDeadline(sent.Add(9 * time.Second))
		for {
			line, err := in.ReadString('\n')
			if c.endBy(f, line, err, text) {
				return
			}
			if strings.TrimSpace(line) == text {
				break
			}
		}
		f.lines++
		f.slowest = max(f.slowest, time.Since(sent))
	}
}

// endBy notes how a flow ended, and reports whether it did.
func (c client) endBy(f *flow, line string, err error, expected string) bool {
	text := strings.TrimSpace(line)
	switch {
	case text == "MOVE" || text == "BYE":
		f.end = text
		return true
	case errors.Is(err, os.ErrDeadlineExceeded) && expected == "":
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		f.end = "silent"
		return true
	case err != nil:
		f.end = endOf(err)
		return true
	case text != expected && !strings.HasPrefix(text, "LOAD "):
		f.wrong = text
	}
	return false
}

func endOf(err error) string {
	switch {
	case errors.Is(err, io.EOF):
		return "closed"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "silent"
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return "reset"
	}
	return err.Error()
}

// ask sends PING to a node, as the front does, and reports whether it answers PONG.
func ask(node string) bool {
	conn, err := net.DialTimeout("tcp", node, 300*time.Millisecond)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(500 * time.Millisecond))
	io.WriteString(conn, "PING\r\n")
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line) == "PONG"
}

// listens reports whether a node's machine accepts connections.
func listens(node string) bool {
	conn, err := net.DialTimeout("tcp", node, 300*time.Millisecond)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}
