package main

import (
	"strings"
	"syscall"
	"testing"
	"time"
)

// When the node closes a connection, data in flight could be lost or misdirected: an answer is lost if the socket is
// closed with bytes unread, and a line that arrives too late could still be passed on to a host.
func TestDataInFlightWhenConnectionCloses(t *testing.T) {
	n := startNode(t, "proxy", 1, 200)
	n.serveAtHost(0)
	t.Run("answer arrives although the client has sent more", func(t *testing.T) {
		for range 20 {
			client := n.connect()
			client.send("HELLO\r\n" + strings.Repeat("x", 12000))
			client.expect("ERR", "<end>")
		}
	})
	t.Run("opening line that crosses the rejection of an idle client is dropped", func(t *testing.T) {
		client := n.connect()
		client.send("PING\r\n")
		client.expect("PONG", "BUSY")
		client.send(openingLine(900)) // the node has closed its write side or is about to
		client.expect("<end>")
		n.waitForLog(`"reason":"checked"`)
	})
	t.Run("opening line one byte at a time", func(t *testing.T) {
		client := n.connect()
		for i := range 3 {
			client.send("OPEN"[i : i+1])
			time.Sleep(50 * time.Millisecond) // only makes the client slow; the test does not depend on the duration
		}
		client.expect("BUSY", "<end>")
	})
	t.Run("half a line from a host that sends no more", func(t *testing.T) {
		n := startNode(t, "proxy", 1, 200)
		client, host := n.establish()
		host.send("M 1\r\nM")
		client.expect("M 1")
		n.signal(syscall.SIGTERM)
		client.expect("MOVE", "<end>")
	})
}

// A client that leaves while its flow is being placed could cause attempts at further hosts, each of which opens a flow
// without a client. The attempt in progress ends at once, and no further host is dialed.
func TestNoFurtherAttemptForClientThatLeft(t *testing.T) {
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
		t.Fatalf("the host received %q, want an opening line", got)
	}
	client.Close()
	host.expect("<end>") // the attempt has ended, so another one would have begun by now
	n.waitForLog(`"reason":"client-left"`, `"connects":1`)
	select {
	case <-attempts:
		t.Error("a further host was dialed for a client that had left")
	default:
	}
}
