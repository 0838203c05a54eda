package admin

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gorseledge/internal/node"
)

// readyCall is a complete call.
const readyCall = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"

// Callers that send nothing, or only part of a call, could use up all connections and lock operators out. Their
// connections are closed in favor of new ones, and otherwise after a time-out.
func TestSilentCallersMakeRoom(t *testing.T) {
	var asked atomic.Int32
	address := serve(t, 16, func(context.Context, node.Query) (node.Reply, bool) {
		asked.Add(1)
		return node.Reply{OK: true}, true
	})
	for i := range 200 {
		conn := dial(t, address)
		io.WriteString(conn, []string{"", "GET /-/rea", "GET /-/ready HTTP/1.1\r\nHost: x\r\n"}[i%3])
		if i%20 != 19 {
			continue
		}
		start := time.Now()
		response, _ := call(t, address, readyCall)
		if took := time.Since(start); response.StatusCode != http.StatusOK || took > time.Second {
			t.Fatalf("after %d silent callers: status %d in %v", i+1, response.StatusCode, took)
		}
	}
	if asked.Load() != 10 {
		t.Errorf("the node received %d queries, want 10", asked.Load())
	}
	last := dial(t, address) // no later caller needs its connection: the read time-out ends it
	if n, err := io.Copy(io.Discard, last); err != nil && !strings.Contains(err.Error(), "reset") {
		t.Errorf("silent connection: %d bytes, then error %v", n, err)
	}
}

// Many new callers could have the connection of a complete call closed before it is answered. However many there are,
// they wait until the answer is sent.
func TestCompleteCallIsNotEndedForOthers(t *testing.T) {
	asked, free := make(chan bool, 8), make(chan bool)
	address := serve(t, 2, func(context.Context, node.Query) (node.Reply, bool) {
		asked <- true
		<-free
		return node.Reply{OK: true}, true
	})
	codes := make(chan string, 3)
	for range cap(codes) {
		conn := dial(t, address)
		io.WriteString(conn, readyCall)
		go func() {
			text, _ := bufio.NewReader(conn).ReadString('\n')
			codes <- text
		}()
	}
	<-asked
	<-asked // both connections carry a complete call
	for range 20 {
		dial(t, address)
	}
	close(free)
	for range cap(codes) {
		if got := <-codes; got != "HTTP/1.1 200 OK\r\n" {
			t.Errorf("answered %q", got)
		}
	}
}
