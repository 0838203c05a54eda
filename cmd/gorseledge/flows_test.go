package main

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gorseledge/internal/discovery/endpoint"
)

// flowCase is an exchange between a client and a host over an established flow.
type flowCase struct {
	name   string
	do     func(client, host *testConn)
	reason string // reason of the flow's end in the node's log
}

var establishedFlows = []flowCase{
	{"served", func(client, host *testConn) {
		client.send("M 1\r\nM")
		host.expect("M 1")
		client.send(" 2\r\n")
		host.expect("M 2")
		host.send("M 1\r\nLOAD 5\r\nM 2\r\nBYE\r\n")
		host.Close()
		client.expect("M 1", "LOAD 5", "M 2", "BYE", "<end>")
	}, "served"},
	{"host resets", func(client, host *testConn) {
		host.Conn.(*net.TCPConn).SetLinger(0)
		host.Close()
		client.expect("<reset>")
	}, "host-reset"},
	{"client resets", func(client, host *testConn) {
		client.Conn.(*net.TCPConn).SetLinger(0)
		client.Close()
		host.expect("<reset>")
	}, "client-reset"},
	{"client closes its write side, host's last lines still arrive", func(client, host *testConn) {
		client.Conn.(*net.TCPConn).CloseWrite()
		host.expect("<end>")
		host.send("M 9\r\nBYE\r\n")
		host.Close()
		client.expect("M 9", "BYE", "<end>")
	}, "client-ended"},
	{"host has its client connect elsewhere", func(client, host *testConn) {
		host.send("MOVE\r\n")
		host.Close()
		client.expect("MOVE", "<end>")
	}, "sent-away"},
	{"500 kB in both directions at once", exchangeInBothDirections, "served"},
}

// exchangeInBothDirections has both sides send half a megabyte to each other at the same time. The host then ends the flow.
func exchangeInBothDirections(client, host *testConn) {
	text := strings.Repeat(strings.Repeat("x", 1000)+"\r\n", 500)
	done := make(chan error, 4)
	for _, side := range []*testConn{client, host} {
		go func() {
			_, err := io.WriteString(side, text)
			done <- err
		}()
		go func() {
			_, err := io.ReadFull(side.reader, make([]byte, len(text)))
			done <- err
		}()
	}
	for range cap(done) {
		if err := <-done; err != nil {
			client.t.Error(err)
		}
	}
	host.send("BYE\r\n")
	host.Close()
	client.expect("BYE", "<end>")
}

// If one side's end were not passed on, the other side would wait for a peer that is gone. However an established flow
// ends, the other side sees the end, and the node logs its reason.
func TestEstablishedFlowEndsWithItsReason(t *testing.T) {
	for _, c := range establishedFlows {
		t.Run(c.name, func(t *testing.T) {
			n := startNode(t, "proxy", 1, 200) // a new node for each case, since it remembers how hosts behaved
			client, host := n.establish()
			c.do(client, host)
			n.waitForLog(`"reason":"` + c.reason + `"`)
		})
	}
}

// An opening line that reached the host changed would open another flow than the client asked for; only the timeout may
// differ. An invalid one must be answered ERR and logged with its reason.
func TestOpeningLine(t *testing.T) {
	t.Run("passed on with only the timeout changed", func(t *testing.T) {
		n := startNode(t, "proxy", 1, 200)
		client := n.connect()
		text := openingLine(900)
		client.send(text)
		host, got := n.acceptAtHost(0)
		const beforeTimeout = 23 // bytes of the line before the client's timeout
		want := strings.TrimSpace(text)
		if len(got) != len(want) || got[:beforeTimeout] != want[:beforeTimeout] || !strings.HasSuffix(got, ",zz=5") {
			t.Fatalf("the host received %q, want %q with another timeout", got, want)
		}
		host.send("BUSY\r\n")
		if got := client.readLine(); !strings.HasPrefix(got, "BUSY ") {
			t.Fatalf("answered %q, want BUSY with a time", got)
		}
		client.expect("<end>")
	})
	t.Run("answered ERR if invalid", func(t *testing.T) {
		n := startNode(t, "proxy", 1, 200)
		for text, reason := range map[string]string{"HELLO\r\n": "bad-line", "OPEN 1 a1 c=chat\r\n": "no-timeout",
			"OPEN 1 a1 c=odd,d=5\r\n": "unknown-type", strings.Repeat("y", 5000): "client-odd"} {
			client := n.connect()
			client.send(text)
			client.expect("ERR", "<end>")
			n.waitForLog(`"reason":"` + reason + `"`)
		}
	})
}

// A node that ignored a change of the endpoint list would send new flows to a host that is about to stop.
func TestDrainingHostGetsNoNewFlow(t *testing.T) {
	n := startNode(t, "proxy", 1, 200)
	n.serveAtHost(0)
	if got := n.placeFlow(); got != "UP 1" {
		t.Fatalf("answered %q, want UP 1", got)
	}
	n.discovery.Publish(endpoint.List{Index: 2, Hosts: []endpoint.Host{{Name: "s-00000064", Status: "DRAINING"}}})
	for end := time.Now().Add(waitTimeout); !strings.HasPrefix(n.placeFlow(), "BUSY"); {
		if time.Now().After(end) {
			t.Fatalf("the draining host still gets new flows after %v", waitTimeout)
		}
	}
}
