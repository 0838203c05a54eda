package node

import (
	"strings"
	"testing"
)

// A connection may be transferred in the middle of a line, with bytes in the buffers of both processes. No byte is lost,
// repeated or reordered.
func TestTransferLosesNoBytes(t *testing.T) {
	for _, c := range []struct {
		name                           string
		fromClient, fromHost           string // received before the transfer
		laterFromClient, laterFromHost string // received after the transfer
	}{
		{"no input before the transfer", "", "", "M 1\r\n", "M 2\r\n"},
		{"incomplete line from each side", "M 1\r\nM", "M 2\r\nLOA", " 3\r\n", "D 5\r\n"},
		{"split line ending", "M 1\r", "M 2\r", "\nM 3\r\n", "\n"},
		{"line close to the maximum length", strings.Repeat("x", 4000), strings.Repeat("y", 4000), "z\r\n", "z\r\n"},
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
				t.Fatalf("%d connections sent, %d left", len(ids), len(predecessor.node.connections.byID))
			}
			clientState, hostState := predecessor.connectionState[client], predecessor.connectionState[host]
			if clientState != "closed" || hostState != "closed" {
				t.Errorf("the predecessor's connections are %s and %s, wanted them closed", clientState, hostState)
			}
			successor.receive(ids[client], c.laterFromClient, StreamOpen)
			successor.receive(ids[host], c.laterFromHost, StreamOpen)
			got := predecessor.written[host][openingBytes:] + successor.written[ids[host]]
			if want := c.fromClient + c.laterFromClient; got != want {
				t.Errorf("the host was sent %.80q, wanted %.80q", got, want)
			}
			got = predecessor.written[client] + successor.written[ids[client]]
			if want := "UP 77\r\n" + c.fromHost + c.laterFromHost; got != want {
				t.Errorf("the client was sent %.80q, wanted %.80q", got, want)
			}
			predecessor.checkedStatistics()
			if f := successor.checkedStatistics(); f.Open != 1 || f.Accepted != 0 {
				t.Errorf("the successor's statistics are %+v, wanted 1 open and 0 accepted", f)
			}
			successor.receive(ids[client], "", StreamEnded)
			successor.receive(ids[host], "", StreamEnded)
			predecessor.checkReleased()
			successor.checkReleased()
		})
	}
}

// A connection that is ending or blocked, or whose transfer fails, cannot be transferred, and must not be lost for that.
// It stays open at the predecessor.
func TestConnectionThatCannotGoOverStays(t *testing.T) {
	for _, c := range []struct {
		name  string
		event func(predecessor *testHarness, client, host ConnID)
		lost  bool
		stays bool
	}{
		{"transfer fails", func(*testHarness, ConnID, ConnID) {}, true, true},
		{"client has ended", func(predecessor *testHarness, client, _ ConnID) {
			predecessor.receive(client, "", StreamEnded)
		}, false, true},
		{"host has announced its end", func(predecessor *testHarness, _, host ConnID) {
			predecessor.receive(host, "BYE\r\n", StreamOpen)
		}, false, true},
		{"client is blocked", func(predecessor *testHarness, client, host ConnID) {
			predecessor.blocked[client] = true
			predecessor.receive(host, "M 1\r\n", StreamOpen)
		}, false, true},
		{"connection can be transferred", func(*testHarness, ConnID, ConnID) {}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			predecessor := newHarness(t, "pass", 1, 100)
			client, host := predecessor.establish(chatRequest)
			c.event(predecessor, client, host)
			successor := predecessor.startSuccessor("pass")
			predecessor.handOverTo(successor)
			ids := predecessor.deliverTransfers(successor, c.lost)
			if stays := len(ids) == 0; stays != c.stays {
				t.Errorf("transferred %v, wanted the connection to stay %v", ids, c.stays)
				return
			}
			if c.stays {
				checkStaysAtPredecessor(t, predecessor, client, host)
			}
		})
	}
}

// checkStaysAtPredecessor checks that a predecessor whose successor has exited places flows again, and forwards the input
// of a connection that stayed.
func checkStaysAtPredecessor(t *testing.T, predecessor *testHarness, client, host ConnID) {
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
			t.Errorf("the client was sent %q", predecessor.written[client])
		}
	}
	predecessor.checkedStatistics()
}

// A flow that waits for its answer at the handover must not be lost. The predecessor answers it, and transfers it once it
// is established.
func TestFlowInFlightIsTransferredOnceEstablished(t *testing.T) {
	predecessor := newHarness(t, "pass", 1, 100)
	client := predecessor.openFlow(chatRequest)
	successor := predecessor.startSuccessor("pass")
	predecessor.handOverTo(successor)
	predecessor.receive(predecessor.completeLastDial(), "UP 5\r\n", StreamOpen)
	if predecessor.written[client] != "UP 5\r\n" {
		t.Fatalf("the client was sent %q", predecessor.written[client])
	}
	ids := predecessor.deliverTransfers(successor, false)
	if len(ids) != 2 || successor.node.statistics.Open != 1 {
		t.Fatalf("transferred %v, wanted two connections and one open flow", ids)
	}
	predecessor.apply(Shutdown{})
	if !predecessor.exited {
		t.Error("the predecessor does not exit although nothing is left")
	}
}

// A predecessor usually shuts down while transfers are still pending, and migrating these flows would disconnect their
// clients for no reason. It migrates only the connections that cannot be transferred.
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
		t.Fatalf("transferred %v, the client was sent %q, exited %v", ids, got, predecessor.exited)
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
