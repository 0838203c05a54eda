package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// flow is what a client sent and what it was answered.
type flow struct {
	id       string
	sent     time.Time // when the opening line was written
	answer   string    // the first line that came back; empty for none
	answered time.Time
	ending   string // of an established flow: client, move, bye, end, reset
}

// request describes a client's flow.
type request struct {
	address string
	class   string
	timeout time.Duration // the client gives up waiting after this time
	late    time.Duration // for how long after that it still reads an answer
	life    time.Duration // of the established connection
	every   time.Duration // between two lines of the client
}

// open runs one client: it opens a flow, sends lines while it is established, and closes it.
func open(r *record, q request) flow {
	f := flow{id: fmt.Sprintf("%016x", rand.Uint64())}
	c, err := net.DialTimeout("tcp", q.address, q.timeout)
	if err != nil {
		r.now("client %s: no connection: %v", f.id, err)
		return f
	}
	defer c.Close()
	f.sent = time.Now()
	line := fmt.Sprintf("OPEN %s %016x c=%s,t=red,d=%d,g=%016x", f.id, rand.Uint64(), q.class, q.timeout.Milliseconds(),
		rand.Uint64N(8)+1)
	fmt.Fprintf(c, "%s\r\n", line)
	c.SetReadDeadline(f.sent.Add(q.timeout + q.late))
	in := bufio.NewReader(c)
	text, err := in.ReadString('\n')
	if err != nil {
		r.at(f.sent, "client %s: sent %s; no answer: %v", f.id, line, err)
		return f
	}
	f.answered = time.Now()
	f.answer = strings.TrimSpace(text)
	r.at(f.sent, "client %s: sent %s; answered after %.4f s: %s", f.id, line, f.answered.Sub(f.sent).Seconds(), f.answer)
	if !strings.HasPrefix(f.answer, "UP") || q.life == 0 {
		return f
	}
	f.ending = stay(c, in, q)
	if f.ending != "client" {
		r.now("client %s: ended by %s", f.id, f.ending)
	}
	return f
}

// stay sends a line from time to time on an established connection, until its life is over or it is ended.
func stay(c net.Conn, in *bufio.Reader, q request) string {
	end := time.Now().Add(q.life)
	for i := 0; time.Now().Before(end); i++ {
		fmt.Fprintf(c, "M %d\r\n", i)
		c.SetReadDeadline(time.Now().Add(8 * time.Second))
		text, err := in.ReadString('\n')
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return "silence"
		case err != nil && strings.Contains(err.Error(), "reset"):
			return "reset"
		case err != nil:
			return "end"
		}
		switch strings.TrimSpace(text) {
		case "MOVE":
			return "move"
		case "BYE":
			return "bye"
		}
		time.Sleep(q.every)
	}
	return "client"
}

// stream opens a flow after each pause until the returned function is called, which waits for the flows' ends.
func (s *setup) stream(q request, pause time.Duration) func() {
	var clients sync.WaitGroup
	ended := make(chan struct{})
	clients.Go(func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(pause):
			}
			clients.Go(func() { open(s.record, q) })
		}
	})
	return sync.OnceFunc(func() {
		close(ended)
		clients.Wait()
	})
}
