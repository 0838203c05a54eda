package node

import (
	"strings"
	"testing"
)

// A connection that goes over in the middle of lines loses none of them, and repeats or reorders none.
func TestTransferLosesNoBytes(t *testing.T) {
	for _, c := range []struct {
		name                           string
		fromClient, fromHost           string // received before the transfer
		laterFromClient, laterFromHost string // and after it
	}{
		{"quiet", "", "", "M 1\r\n", "M 2\r\n"},
		{"half a line each", "M 1\r\nM", "M 2\r\nLOA", " 3\r\n", "D 5\r\n"},
		{"the end of a line cut", "M 1\r", "M 2\r", "\nM 3\r\n", "\n"},
		{"nearly too long", strings.Repeat("x", 4000), strings.Repeat("y", 4000), "z\r\n", "z\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			predecessor := newHarness(t, "pass", 2, 100)
			client, host := predecessor.establish(chatRequest)
			openingBytes := len(predecessor.written[host])
			predecessor.receive(client, c.fromClient, StreamOpen)
			predecessor.receive(host, c.fromHost, StreamOpen)
			successor := predecessor.startSuccessor("pass")
			predecessor.handOverTo(successor)
			ids := predecessor.deliverTransfers(successor, false)
			if len(ids) != 2 || !predecessor.node.connections.onlyHealthChecksLeft() {
				t.Fatalf("%d sent, %d left", len(ids), len(predecessor.node.connections.byID))
			}
			clientState, hostState := predecessor.connectionState[client], predecessor.connectionState[host]
			if clientState != "closed" || hostState != "closed" {
				t.Errorf("at the predecessor they are %s and %s", clientState, hostState)
			}
			successor.receive(ids[client], c.laterFromClient, StreamOpen)
			successor.receive(ids[host], c.laterFromHost, StreamOpen)
			got := predecessor.written[host][openingBytes:] + successor.written[ids[host]]
			if want := c.fromClient + c.laterFromClient; got != want {
				t.Errorf("the host got %.80q, wanted %.80q", got, want)
			}
			got = predecessor.written[client] + successor.written[ids[client]]
			if want := "UP 77\r\n" + c.fromHost + c.laterFromHost; got != want {
				t.Errorf("the client got %.80q, wanted %.80q", got, want)
			}
			predecessor.checkedStatistics()
			if f := successor.checkedStatistics(); f.Open != 1 || f.Accepted != 0 {
				t.Errorf("the successor's figures are %+v", f)
			}
			successor.receive(ids[client], "", StreamEnded)
			successor.receive(ids[host], "", StreamEnded)
			predecessor.checkReleased()
			successor.checkReleased()
		})
	}
}

// A connection that cannot go over, as it is ending, is blocked or was not sent, goes on where it is.
func TestConnectionThatCannotGoOverStays(t *testing.T) {
	for _, c := range []struct {
		name  string
		event func(predecessor *testHarness, client, host ConnID)
		lost  bool
		stays bool
	}{
		{"not sent", func(*testHarness, ConnID, ConnID) {}, true, true},
		{"its client has ended", func(predecessor *testHarness, client, _ ConnID) {
			predecessor.receive(client, "", StreamEnded)
		}, false, true},
		{"its host has announced its end", func(predecessor *testHarness, _, host ConnID) {
			predecessor.receive(host, "BYE\r\n", StreamOpen)
		}, false, true},
		{"its client is blocked", func(predecessor *testHarness, client, host ConnID) {
			predecessor.blocked[client] = true
			predecessor.receive(host, "M 1\r\n", StreamOpen)
		}, false, true},
		{"nothing in the way", func(*testHarness, ConnID, ConnID) {}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			predecessor := newHarness(t, "pass", 1, 100)
			client, host := predecessor.establish(chatRequest)
			c.event(predecessor, client, host)
			successor := predecessor.startSuccessor("pass")
			predecessor.handOverTo(successor)
			ids := predecessor.deliverTransfers(successor, c.lost)
			if stays := len(ids) == 0; stays != c.stays {
				t.Errorf("sent %v", ids)
				return
			}
			if c.stays {
				checkGoesOnAtPredecessor(t, predecessor, client, host)
			}
		})
	}
}

// checkGoesOnAtPredecessor checks that a predecessor whose successor is gone places flows again and forwards what
// comes on a connection that stayed.
func checkGoesOnAtPredecessor(t *testing.T, predecessor *testHarness, client, host ConnID) {
	t.Helper()
	predecessor.apply(SuccessorGone{})
	before := len(predecessor.flowDials)
	predecessor.openFlow("b2 c=chat,t=acme,d=2000")
	if len(predecessor.flowDials) == before {
		t.Errorf("the predecessor places no flow")
	}
	predecessor.receive(predecessor.completeLastDial(), "UP 2\r\n", StreamOpen)
	predecessor.blocked = map[ConnID]bool{}
	for _, done := range predecessor.blockedWrites {
		predecessor.written[done.Conn] += "M 1\r\n"
		predecessor.apply(done)
	}
	if predecessor.pendingReads[host] != nil && predecessor.connectionState[host] == "" {
		predecessor.receive(host, "M 9\r\nBYE\r\n", StreamOpen)
		predecessor.receive(host, "", StreamEnded)
		if !strings.HasSuffix(predecessor.written[client], "M 9\r\nBYE\r\n") {
			t.Errorf("the client got %q", predecessor.written[client])
		}
	}
	predecessor.checkedStatistics()
}

// A flow in flight is answered where it was accepted, and goes over once it is established.
func TestFlowInFlightIsTransferredOnceEstablished(t *testing.T) {
	predecessor := newHarness(t, "pass", 1, 100)
	client := predecessor.openFlow(chatRequest)
	successor := predecessor.startSuccessor("pass")
	predecessor.handOverTo(successor)
	predecessor.receive(predecessor.completeLastDial(), "UP 5\r\n", StreamOpen)
	if predecessor.written[client] != "UP 5\r\n" {
		t.Fatalf("sent %q", predecessor.written[client])
	}
	ids := predecessor.deliverTransfers(successor, false)
	if len(ids) != 2 || successor.node.statistics.Open != 1 {
		t.Fatalf("sent %v", ids)
	}
	predecessor.apply(Shutdown{})
	if !predecessor.exited {
		t.Error("nothing is left, and it does not exit")
	}
}

// A predecessor that shuts down in the moment of a transfer does not migrate what is about to go over; a connection
// that cannot go over is migrated then.
func TestShutdownLeavesTransfersAlone(t *testing.T) {
	predecessor := newHarness(t, "proxy", 1, 100)
	client, host := predecessor.establish(chatRequest)
	blockedClient, blockedHost := predecessor.establish("b2 c=chat,t=acme,d=2000")
	predecessor.blocked[blockedClient] = true
	predecessor.receive(blockedHost, "M 1\r\n", StreamOpen)
	predecessor.receive(host, "M 2\r\n", StreamOpen)
	successor := predecessor.startSuccessor("proxy")
	predecessor.handOverTo(successor)
	predecessor.apply(Shutdown{})
	ids := predecessor.deliverTransfers(successor, false)
	got := predecessor.written[client]
	if len(ids) != 2 || strings.Contains(got, "MOVE") || predecessor.exited {
		t.Fatalf("sent %v, the client was sent %q, exited %v", ids, got, predecessor.exited)
	}
	predecessor.advance(1)
	predecessor.blocked[blockedClient] = false
	for _, done := range predecessor.blockedWrites {
		predecessor.apply(done)
	}
	if !strings.HasSuffix(predecessor.written[blockedClient], "MOVE\r\n") {
		t.Errorf("the client that stayed was sent %q", predecessor.written[blockedClient])
	}
}
