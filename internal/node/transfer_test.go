package node

import (
	"strings"
	"testing"
)

// An open connection goes over in the middle of lines, and nothing of it is lost, repeated or out of order.
func TestTransferLosesNoBytes(t *testing.T) {
	for _, c := range []struct {
		name             string
		up, down         string // said before
		upRest, downRest string // and after
	}{
		{"quiet", "", "", "M 1\r\n", "M 2\r\n"},
		{"half a line each", "M 1\r\nM", "M 2\r\nLOA", " 3\r\n", "D 5\r\n"},
		{"the end of a line cut", "M 1\r", "M 2\r", "\nM 3\r\n", "\n"},
		{"nearly too long", strings.Repeat("x", 4000), strings.Repeat("y", 4000), "z\r\n", "z\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			predecessor := newHarness(t, "pass", 2, 100)
			client, host := predecessor.establish(chatRequest)
			first := len(predecessor.written[host])
			predecessor.receive(client, c.up, Open)
			predecessor.receive(host, c.down, Open)
			successor := predecessor.startSuccessor("pass")
			predecessor.handOverTo(successor)
			names := predecessor.deliverTransfers(successor, false)
			if len(names) != 2 || !predecessor.node.connections.onlyHealthChecksLeft() {
				t.Fatalf("%d passed, %d left", len(names), len(predecessor.node.connections.byID))
			}
			if predecessor.connectionState[client] != "closed" || predecessor.connectionState[host] != "closed" {
				t.Errorf("at the predecessor they are %s and %s", predecessor.connectionState[client], predecessor.connectionState[host])
			}
			successor.receive(names[client], c.upRest, Open)
			successor.receive(names[host], c.downRest, Open)
			if got, want := predecessor.written[host][first:]+successor.written[names[host]], c.up+c.upRest; got != want {
				t.Errorf("the host got %.80q, wanted %.80q", got, want)
			}
			if got, want := predecessor.written[client]+successor.written[names[client]], "UP 77\r\n"+c.down+c.downRest; got != want {
				t.Errorf("the client got %.80q, wanted %.80q", got, want)
			}
			predecessor.checkedFigures()
			if f := successor.checkedFigures(); f.Open != 1 || f.Accepted != 0 {
				t.Errorf("the successor tells of %+v", f)
			}
			successor.receive(names[client], "", Ended)
			successor.receive(names[host], "", Ended)
			predecessor.checkReleased()
			successor.checkReleased()
		})
	}
}

// What cannot go over stays and goes on where it is: it is ending, it is blocked, it was not sent, or the successor is
// gone.
func TestConnectionThatCannotGoOverStays(t *testing.T) {
	for _, c := range []struct {
		name  string
		do    func(predecessor *testHarness, client, host Conn)
		lost  bool
		stays bool
	}{
		{"not sent", func(*testHarness, Conn, Conn) {}, true, true},
		{"its client has ended", func(predecessor *testHarness, client, _ Conn) { predecessor.receive(client, "", Ended) }, false, true},
		{"its host says that it ends", func(predecessor *testHarness, _, host Conn) { predecessor.receive(host, "BYE\r\n", Open) }, false, true},
		{"its client takes nothing", func(predecessor *testHarness, client, host Conn) {
			predecessor.blocked[client] = true
			predecessor.receive(host, "M 1\r\n", Open)
		}, false, true},
		{"nothing in the way", func(*testHarness, Conn, Conn) {}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			predecessor := newHarness(t, "pass", 1, 100)
			client, host := predecessor.establish(chatRequest)
			c.do(predecessor, client, host)
			successor := predecessor.startSuccessor("pass")
			predecessor.handOverTo(successor)
			names := predecessor.deliverTransfers(successor, c.lost)
			if stays := len(names) == 0; stays != c.stays {
				t.Errorf("passed %v", names)
				return
			}
			if !c.stays {
				return
			}
			predecessor.apply(SuccessorGone{}) // and the successor with it: the predecessor takes clients again
			before := len(predecessor.flowDials)
			predecessor.openFlow("b2 c=chat,t=acme,d=2000")
			if len(predecessor.flowDials) == before {
				t.Errorf("the predecessor places nobody")
			}
			predecessor.receive(predecessor.completeLastDial(), "UP 2\r\n", Open)
			predecessor.blocked = map[Conn]bool{}
			for _, held := range predecessor.blockedWrites {
				predecessor.written[held.Conn] += "M 1\r\n"
				predecessor.apply(held)
			}
			if predecessor.pendingReads[host] != nil && predecessor.connectionState[host] == "" {
				predecessor.receive(host, "M 9\r\nBYE\r\n", Open)
				predecessor.receive(host, "", Ended)
				if !strings.HasSuffix(predecessor.written[client], "M 9\r\nBYE\r\n") {
					t.Errorf("the client got %q", predecessor.written[client])
				}
			}
			predecessor.checkedFigures()
		})
	}
}

// A flow in flight is answered where it was taken, and follows once it is established.
func TestFlowInFlightIsTransferredOnceEstablished(t *testing.T) {
	predecessor := newHarness(t, "pass", 1, 100)
	client := predecessor.openFlow(chatRequest)
	successor := predecessor.startSuccessor("pass")
	predecessor.handOverTo(successor)
	predecessor.receive(predecessor.completeLastDial(), "UP 5\r\n", Open)
	if predecessor.written[client] != "UP 5\r\n" {
		t.Fatalf("told %q", predecessor.written[client])
	}
	if names := predecessor.deliverTransfers(successor, false); len(names) != 2 || successor.node.openFlows() != 1 {
		t.Fatalf("passed %v", names)
	}
	predecessor.apply(Shutdown{})
	if !predecessor.exited {
		t.Error("nothing is left, and it stays")
	}
}

// A predecessor asked to leave in the same moment moves nobody who is about to go over; who cannot go is moved then.
func TestShutdownLeavesTransfersAlone(t *testing.T) {
	predecessor := newHarness(t, "proxy", 1, 100)
	client, host := predecessor.establish(chatRequest)
	stuck, far := predecessor.establish("b2 c=chat,t=acme,d=2000")
	predecessor.blocked[stuck] = true
	predecessor.receive(far, "M 1\r\n", Open)
	predecessor.receive(host, "M 2\r\n", Open)
	successor := predecessor.startSuccessor("proxy")
	predecessor.handOverTo(successor)
	predecessor.apply(Shutdown{})
	names := predecessor.deliverTransfers(successor, false)
	if len(names) != 2 || strings.Contains(predecessor.written[client], "MOVE") || predecessor.exited {
		t.Fatalf("passed %v, told %q, exited %v", names, predecessor.written[client], predecessor.exited)
	}
	predecessor.advance(1)
	predecessor.blocked[stuck] = false
	for _, held := range predecessor.blockedWrites {
		predecessor.apply(held)
	}
	if !strings.HasSuffix(predecessor.written[stuck], "MOVE\r\n") {
		t.Errorf("who stayed was told %q", predecessor.written[stuck])
	}
}
