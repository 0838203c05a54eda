package node

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/settings"
)

// successor makes a process that takes over from w; what goes over crosses as JSON.
func (w *harness) successor(mode string) *harness {
	w.Helper()
	r, d, err := settings.Parse(fmt.Appendf(nil, settingsJSON, mode), 8)
	if err != nil {
		w.Fatal(err)
	}
	h := newHarness(w.T, mode, 0, 100)
	h.now, h.lastAccepted, h.watchIndices = w.now, 1001, nil
	h.node = New(h.now, Start{Settings: r, Listener: d, MaxDescriptors: w.node.connections.configuredLimit, DescriptorOverhead: 20, NotListening: true, Handover: exchangeJSON(w, w.query(ClaimHandover, "").Handover)})
	h.apply(TimerFired{})
	return h
}

func exchangeJSON[T any](w *harness, in T) (out T) {
	w.Helper()
	text, err := json.Marshal(in)
	if err == nil {
		err = json.Unmarshal(text, &out)
	}
	if err != nil {
		w.Fatal(err)
	}
	return out
}

// take has a successor take the clients.
func (w *harness) handOverTo(h *harness) {
	w.Helper()
	h.apply(HandoverReceived{exchangeJSON(w, w.query(TakeOver, "").Handover)})
	h.apply(ListenerOpened{})
}

// deliverTransfers brings what was passed and told from w to h, or back where it is lost; names gives each connection's
// number at h.
func (w *harness) deliverTransfers(h *harness, lost bool) (names map[Conn]Conn) {
	w.Helper()
	names = map[Conn]Conn{}
	for ; len(w.transfers) > 0; w.transfers = w.transfers[1:] {
		p := w.transfers[0]
		if w.pendingReads[p.Conn] != nil || w.pendingReads[p.Host] != nil {
			w.Fatal("passed a connection that is still read")
		}
		if !lost {
			h.lastAccepted += 2
			h.state[h.node.connections.lastDialed+2] = ""
			h.apply(ConnectionReceived{h.lastAccepted, exchangeJSON(w, p.Transfer)})
			names[p.Conn], names[p.Host] = h.lastAccepted, h.boundHost.Conn
		}
		w.apply(ConnectionSent{p.Conn, !lost})
	}
	for ; len(w.updates) > 0; w.updates = w.updates[1:] {
		h.apply(PeerProcessChanged{exchangeJSON(w, w.updates[0])})
	}
	return names
}

// An open connection goes over in the middle of lines, and nothing of it is lost, repeated or out of order.
func TestLift(t *testing.T) {
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
		client, host := w.establish(chat)
		first := len(w.written[host])
		w.receive(client, c.up, Open)
		w.receive(host, c.down, Open)
		h := w.successor("pass")
		w.handOverTo(h)
		names := w.deliverTransfers(h, false)
		if len(names) != 2 || !w.node.connections.onlyHealthChecksLeft() {
			t.Fatalf("%s: %d passed, %d left", c.name, len(names), len(w.node.connections.byID))
		}
		if w.state[client] != "closed" || w.state[host] != "closed" {
			t.Errorf("%s: at the predecessor they are %s and %s", c.name, w.state[client], w.state[host])
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
func TestNotLifted(t *testing.T) {
	for _, c := range []struct {
		name  string
		do    func(w *harness, client, host Conn)
		lost  bool
		stays bool
	}{
		{"not sent", func(*harness, Conn, Conn) {}, true, true},
		{"its client has ended", func(w *harness, client, _ Conn) { w.receive(client, "", Ended) }, false, true},
		{"its host says that it ends", func(w *harness, _, host Conn) { w.receive(host, "BYE\r\n", Open) }, false, true},
		{"its client takes nothing", func(w *harness, client, host Conn) {
			w.blocked[client] = true
			w.receive(host, "M 1\r\n", Open)
		}, false, true},
		{"nothing in the way", func(*harness, Conn, Conn) {}, false, false},
	} {
		w := newHarness(t, "pass", 1, 100)
		client, host := w.establish(chat)
		c.do(w, client, host)
		h := w.successor("pass")
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
		if w.pendingReads[host] != nil && w.state[host] == "" {
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
func TestInFlight(t *testing.T) {
	w := newHarness(t, "pass", 1, 100)
	client := w.openFlow(chat)
	h := w.successor("pass")
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

func (n *Node) openFlows() int { return n.figures.Open }

// What two processes that are one node know of each other.
func TestOneNode(t *testing.T) {
	stuck := func(t *testing.T) (w, h *harness, client Conn) { // its connection stays at the predecessor
		w = newHarness(t, "pass", 3, 100)
		client, host := w.establish("a1 c=chat,t=acme,d=2000")
		w.blocked[client] = true
		w.receive(host, "M 1\r\n", Open)
		w.query(DisableHost, "s-00000066")
		h = w.successor("pass")
		w.handOverTo(h)
		w.deliverTransfers(h, false)
		return w, h, client
	}
	id := func(c Conn) string { return fmt.Sprintf("OPEN %x ", 0x1000+c) }
	for _, c := range []struct {
		name string
		do   func(t *testing.T, w, h *harness, client Conn)
	}{
		{"ready at once, from the predecessor's list", func(t *testing.T, w, h *harness, _ Conn) {
			if !h.query(IsReady, "").OK || h.openRequests != 1 || len(h.watchIndices) > 1 || len(h.watchIndices) == 1 && h.watchIndices[0] != 6 {
				t.Errorf("ready said %d times, watches %v", h.openRequests, h.watchIndices)
			}
		}},
		{"hosts out stay out", func(t *testing.T, w, h *harness, _ Conn) {
			if f := h.query(GetFigures, "").Figures; f.Listed != 3 || f.Unavailable != 1 {
				t.Errorf("%d listed, %d avoided", f.Listed, f.Unavailable)
			}
		}},
		{"a call at the successor reaches the predecessor", func(t *testing.T, w, h *harness, _ Conn) {
			h.query(EnableHost, "s-00000066")
			h.query(DisableHost, "s-00000065")
			h.deliverTransfers(w, false)
			if a, b := w.node.currentFigures().Unavailable, h.node.currentFigures().Unavailable; a != 1 || b != 1 || len(w.updates) == 0 {
				t.Errorf("%d and %d avoided, %v", a, b, w.updates)
			}
		}},
		{"a call at the predecessor reaches the successor, and comes to rest", func(t *testing.T, w, h *harness, _ Conn) {
			w.query(DisableHost, "s-00000065")
			w.deliverTransfers(h, false)
			h.deliverTransfers(w, false)
			w.deliverTransfers(h, false)
			if a, b := w.node.currentFigures().Unavailable, h.node.currentFigures().Unavailable; a != 2 || b != 2 || len(w.updates)+len(h.updates) != 0 {
				t.Errorf("%d and %d avoided, %v %v", a, b, w.updates, h.updates)
			}
		}},
		{"the id of a flow at the predecessor is refused", func(t *testing.T, w, h *harness, client Conn) {
			c := h.accept()
			h.receive(c, id(client)+"b2 c=chat,d=900\r\n", Open)
			if h.written[c] != "BUSY\r\n" {
				t.Errorf("told %q", h.written[c])
			}
		}},
		{"packets that come by the successor find their host", func(t *testing.T, w, h *harness, client Conn) {
			at := w.dialedAddress[w.flowDials[0]]
			for try, line := range []string{id(client) + "a1 c=chat,t=acme,d=900,mid=1\r\n", id(client) + "a1 c=chat,t=acme,d=900,mid=1\r\n"} {
				h.receive(h.accept(), line, Open)
				if got := h.dialedAddress[h.flowDials[try]]; got != at {
					t.Errorf("sent to %s, it sits at %s", got, at)
				}
				if len(h.node.flows.ids.inherited) != 0 {
					t.Error("it still sits at the predecessor")
				}
			}
		}},
		{"what the predecessor holds counts against the limit, until it is gone", func(t *testing.T, w, h *harness, _ Conn) {
			if h.node.connections.reserved != w.node.connections.used()+20+inFlightReserve || w.node.connections.used() < 2 {
				t.Errorf("%d lent, %d held", h.node.connections.reserved, w.node.connections.used())
			}
			if h.apply(PredecessorGone{}); h.node.connections.reserved != 0 {
				t.Errorf("%d lent by nobody", h.node.connections.reserved)
			}
		}},
		{"connections that did not come are forgotten in time", func(t *testing.T, w, h *harness, _ Conn) {
			h.apply(PredecessorGone{})
			if h.advance(inheritedTimeout / 2); len(h.node.flows.ids.inherited) != 1 {
				t.Error("forgotten too soon")
			}
			if h.advance(inheritedTimeout); len(h.node.flows.ids.inherited) != 0 {
				t.Error("not forgotten")
			}
		}},
		{"the end of one at the predecessor is told", func(t *testing.T, w, h *harness, client Conn) {
			w.advance(1) // what does not go out is not waited for
			w.receive(client, "", Broken)
			if w.deliverTransfers(h, false); len(h.node.flows.ids.inherited) != 0 {
				t.Error("it still sits there")
			}
			c := h.accept()
			h.receive(c, id(client)+"b2 c=chat,d=900\r\n", Open)
			if h.written[c] != "BUSY\r\n" {
				t.Errorf("its id is free for others: %q", h.written[c])
			}
		}},
		{"a third process learns all of both", func(t *testing.T, w, h *harness, client Conn) {
			h.query(DisableHost, "s-00000064")
			third := h.successor("pass")
			h.handOverTo(third)
			h.deliverTransfers(third, false)
			if third.node.currentFigures().Unavailable != 2 || third.node.flows.ids.inherited[strings.Fields(id(client))[1]] == nil {
				t.Errorf("%+v, %v", third.node.currentFigures(), third.node.flows.ids.inherited)
			}
		}},
		{"a successor that is gone gives the clients back", func(t *testing.T, w, h *harness, _ Conn) {
			if w.apply(SuccessorGone{}); w.node.connections.limit != 100 || w.node.upgrade.clientsHandedOver {
				t.Errorf("limit %d, given %v", w.node.connections.limit, w.node.upgrade.clientsHandedOver)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, h, client := stuck(t)
			c.do(t, w, h, client)
		})
	}
}

// A call that crosses with the predecessor's word is not undone by it.
func TestCallsCross(t *testing.T) {
	w := newHarness(t, "pass", 3, 100)
	h := w.successor("pass")
	late := w.query(TakeOver, "").Handover // said before the call below
	h.query(DisableHost, "s-00000065")
	h.apply(HandoverReceived{exchangeJSON(w, late)})
	if h.node.currentFigures().Unavailable != 1 {
		t.Error("put back by what the predecessor had said before")
	}
}

// A successor of a node that had no list yet waits for its own.
func TestSuccessorWithoutList(t *testing.T) {
	w := newHarness(t, "pass", 0, 100)
	w.node.endpoints.listReceived = false
	h := w.successor("pass")
	if h.openRequests != 0 || h.query(IsReady, "").OK {
		t.Fatal("ready without a list")
	}
	if h.apply(ListReceived{hostList(2)}); h.openRequests != 1 || h.query(IsReady, "").OK {
		t.Fatal("could not serve, or was ready before its door was open")
	}
	if h.apply(ListenerOpened{}); !h.query(IsReady, "").OK {
		t.Fatal("not ready")
	}
}

// Both together never send a cold host more than the one would have: the predecessor has no part of it any more.
func TestColdBudgetIsShared(t *testing.T) {
	w := newHarness(t, "pass", 0, 1000)
	w.apply(ListReceived{endpoint.List{Index: 9, Complete: true, Hosts: []endpoint.Host{{Name: "s-00000064", Address: "h0", Status: "SERVING",
		StartedAtMS: (w.now - 1) * 1e3}}}})
	w.node.balancer.SlowStartTime, w.node.balancer.SlowStartShare, w.node.balancer.OverloadWindow, w.node.balancer.OverloadMultiple = 100, 0.1, 1000, 2
	w.node.balancer.StartedAt = 0 // a window before this one at the least; its successor begins within it
	h := w.successor("pass")
	h.node.balancer.SlowStartTime, h.node.balancer.SlowStartShare, h.node.balancer.OverloadWindow, h.node.balancer.OverloadMultiple = 100, 0.1, 1000, 2
	for range 40 {
		w.openFlow("a1 c=chat,d=900")
	}
	spent := len(w.flowDials)
	w.handOverTo(h)
	for range 40 {
		w.openFlow("a1 c=chat,d=900")
		h.openFlow("a1 c=chat,d=900")
	}
	if spent == 0 || len(w.flowDials) != spent || len(h.flowDials) != 0 {
		t.Errorf("%d connects before; after it %d at the predecessor, %d at the successor", spent, len(w.flowDials)-spent, len(h.flowDials))
	}
}

// Hand-overs at any moment of random sequences: figures add up at both, and nothing is left of either.
func TestUpgradeAnyTime(t *testing.T) {
	for seed := range uint64(120) {
		chance := rand.New(rand.NewPCG(seed, 2))
		w := newHarness(t, "pass", 3, 100)
		applyRandomInputs(w, chance, 60)
		h := w.successor("pass")
		applyRandomInputs(w, chance, 10)
		w.handOverTo(h)
		for range 10 {
			applyRandomInputs(w, chance, 4)
			w.deliverTransfers(h, chance.IntN(3) == 0)
			applyRandomInputs(h, chance, 4)
			h.deliverTransfers(w, false)
		}
		w.apply(Shutdown{})
		for range 5 {
			w.advance(0.5)
			w.deliverTransfers(h, false)
			h.now = w.now
			h.apply(TimerFired{})
			w.checkedFigures()
			h.checkedFigures()
		}
		h.apply(PredecessorGone{})
	}
}

// A predecessor asked to leave in the same moment moves nobody who is about to go over; who cannot go is moved then.
func TestLeaveWhileLifting(t *testing.T) {
	w := newHarness(t, "proxy", 1, 100)
	client, host := w.establish(chat)
	stuck, far := w.establish("b2 c=chat,t=acme,d=2000")
	w.blocked[stuck] = true
	w.receive(far, "M 1\r\n", Open)
	w.receive(host, "M 2\r\n", Open)
	h := w.successor("proxy")
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
