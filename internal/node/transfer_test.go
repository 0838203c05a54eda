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
		w := newHarness(t, "pass", 2, 100)
		client, host := w.establish(chatRequest)
		first := len(w.written[host])
		w.receive(client, c.up, Open)
		w.receive(host, c.down, Open)
		h := w.startSuccessor("pass")
		w.handOverTo(h)
		names := w.deliverTransfers(h, false)
		if len(names) != 2 || !w.node.connections.onlyHealthChecksLeft() {
			t.Fatalf("%s: %d passed, %d left", c.name, len(names), len(w.node.connections.byID))
		}
		if w.connectionState[client] != "closed" || w.connectionState[host] != "closed" {
			t.Errorf("%s: at the predecessor they are %s and %s", c.name, w.connectionState[client], w.connectionState[host])
		}
		h.receive(names[client], c.upRest, Open)
		h.receive(names[host], c.downRest, Open)
		if got, want := w.written[host][first:]+h.written[names[host]], c.up+c.upRest; got != want {
			t.Errorf("%s: the host got %.80q, wanted %.80q", c.name, got, want)
		}
		if got, want := w.written[client]+h.written[names[client]], "UP 77\r\n"+c.down+c.downRest; got != want {
			t.Errorf("%s: the client got %.80q, wanted %.80q", c.name, got, want)
		}
		w.checkedFigures()
		if f := h.checkedFigures(); f.Open != 1 || f.Accepted != 0 {
			t.Errorf("%s: the successor tells of %+v", c.name, f)
		}
		h.receive(names[client], "", Ended)
		h.receive(names[host], "", Ended)
		w.checkReleased()
		h.checkReleased()
	}
}

// What cannot go over stays and goes on where it is: it is ending, it is blocked, it was not sent, or the successor is
// gone.
func TestConnectionThatCannotGoOverStays(t *testing.T) {
	for _, c := range []struct {
		name  string
		do    func(w *testHarness, client, host Conn)
		lost  bool
		stays bool
	}{
		{"not sent", func(*testHarness, Conn, Conn) {}, true, true},
		{"its client has ended", func(w *testHarness, client, _ Conn) { w.receive(client, "", Ended) }, false, true},
		{"its host says that it ends", func(w *testHarness, _, host Conn) { w.receive(host, "BYE\r\n", Open) }, false, true},
		{"its client takes nothing", func(w *testHarness, client, host Conn) {
			w.blocked[client] = true
			w.receive(host, "M 1\r\n", Open)
		}, false, true},
		{"nothing in the way", func(*testHarness, Conn, Conn) {}, false, false},
	} {
		w := newHarness(t, "pass", 1, 100)
		client, host := w.establish(chatRequest)
		c.do(w, client, host)
		h := w.startSuccessor("pass")
		w.handOverTo(h)
		names := w.deliverTransfers(h, c.lost)
		if stays := len(names) == 0; stays != c.stays {
			t.Errorf("%s: passed %v", c.name, names)
			continue
		}
		if !c.stays {
			continue
		}
		w.apply(SuccessorGone{}) // and the successor with it: the predecessor takes clients again
		before := len(w.flowDials)
		if w.openFlow("b2 c=chat,t=acme,d=2000"); len(w.flowDials) == before {
			t.Errorf("%s: the predecessor places nobody", c.name)
		}
		w.receive(w.completeLastDial(), "UP 2\r\n", Open)
		w.blocked = map[Conn]bool{}
		for _, held := range w.blockedWrites {
			w.written[held.Conn] += "M 1\r\n"
			w.apply(held)
		}
		if w.pendingReads[host] != nil && w.connectionState[host] == "" {
			w.receive(host, "M 9\r\nBYE\r\n", Open)
			w.receive(host, "", Ended)
			if !strings.HasSuffix(w.written[client], "M 9\r\nBYE\r\n") {
				t.Errorf("%s: the client got %q", c.name, w.written[client])
			}
		}
		w.checkedFigures()
	}
}

// A flow in flight is answered where it was taken, and follows once it is established.
func TestFlowInFlightIsTransferredOnceEstablished(t *testing.T) {
	w := newHarness(t, "pass", 1, 100)
	client := w.openFlow(chatRequest)
	h := w.startSuccessor("pass")
	w.handOverTo(h)
	w.receive(w.completeLastDial(), "UP 5\r\n", Open)
	if w.written[client] != "UP 5\r\n" {
		t.Fatalf("told %q", w.written[client])
	}
	if names := w.deliverTransfers(h, false); len(names) != 2 || h.node.openFlows() != 1 {
		t.Fatalf("passed %v", names)
	}
	w.apply(Shutdown{})
	if !w.exited {
		t.Error("nothing is left, and it stays")
	}
}

// A predecessor asked to leave in the same moment moves nobody who is about to go over; who cannot go is moved then.
func TestShutdownLeavesTransfersAlone(t *testing.T) {
	w := newHarness(t, "proxy", 1, 100)
	client, host := w.establish(chatRequest)
	stuck, far := w.establish("b2 c=chat,t=acme,d=2000")
	w.blocked[stuck] = true
	w.receive(far, "M 1\r\n", Open)
	w.receive(host, "M 2\r\n", Open)
	h := w.startSuccessor("proxy")
	w.handOverTo(h)
	w.apply(Shutdown{})
	names := w.deliverTransfers(h, false)
	if len(names) != 2 || strings.Contains(w.written[client], "MOVE") || w.exited {
		t.Fatalf("passed %v, told %q, exited %v", names, w.written[client], w.exited)
	}
	w.advance(1)
	w.blocked[stuck] = false
	for _, held := range w.blockedWrites {
		w.apply(held)
	}
	if !strings.HasSuffix(w.written[stuck], "MOVE\r\n") {
		t.Errorf("who stayed was told %q", w.written[stuck])
	}
}
