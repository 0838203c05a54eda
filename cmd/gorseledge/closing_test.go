package main

import (
	"strings"
	"syscall"
	"testing"
	"time"
)

// What is under way when the node ends a connection is not lost: no answer by a close over unread bytes, no first line
// that was taken, and no line is passed on after the end.
func TestDataInFlightWhenConnectionCloses(t *testing.T) {
	n := startNode(t, "proxy", 1, 200)
	n.serveAtHost(0)
	t.Run("an answer is read, whatever the client says after its line", func(t *testing.T) {
		for range 20 {
			client := n.connect()
			client.send("HELLO\r\n" + strings.Repeat("x", 12000))
			client.expect("ERR", "<end>")
		}
	})
	t.Run("a client that says nothing is rejected, and what crosses that goes nowhere", func(t *testing.T) {
		client := n.connect()
		client.send("PING\r\n")
		client.expect("PONG", "BUSY")
		client.send(openingLine(900)) // the node's sending has ended or is about to
		client.expect("<end>")
		n.waitForLog(`"reason":"checked"`)
	})
	t.Run("a first line a byte at a time", func(t *testing.T) {
		client := n.connect()
		for i := range 3 {
			client.send("OPEN"[i : i+1])
			time.Sleep(50 * time.Millisecond) // slow, not a proof of anything
		}
		client.expect("BUSY", "<end>")
	})
	t.Run("half a line from a host that says no more", func(t *testing.T) {
		n := startNode(t, "proxy", 1, 200)
		client, host := n.establish()
		host.send("M 1\r\nM")
		client.expect("M 1")
		n.signal(syscall.SIGTERM)
		client.expect("MOVE", "<end>")
	})
}

func TestNoFurtherAttemptForAClientThatLeft(t *testing.T) {
	n := startNode(t, "proxy", 2, 200)
	client := n.connect()
	client.send(openingLine(60000))
	attempts := make(chan *testConn, 2)
	for i := range n.hosts {
		go func() {
			if conn, err := n.hosts[i].Accept(); err == nil {
				attempts <- n.newConn(conn)
			}
		}()
	}
	host := <-attempts
	if got := host.readLine(); !strings.HasPrefix(got, "OPEN ") {
		t.Fatalf("the host got %q", got)
	}
	client.Close()
	host.expect("<end>") // given up at once, and by then no other host is asked
	n.waitForLog(`"reason":"client-left"`, `"connects":1`)
	select {
	case <-attempts:
		t.Error("a further host was asked for a client that had left")
	default:
	}
}
