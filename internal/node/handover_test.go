package node

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"gorseledge/internal/discovery/endpoint"
)

// What two processes that are one node know of each other.
func TestPredecessorAndSuccessorActAsOneNode(t *testing.T) {
	stuck := func(t *testing.T) (w, h *testHarness, client Conn) { // its connection stays at the predecessor
		w = newHarness(t, "pass", 3, 100)
		client, host := w.establish("a1 c=chat,t=acme,d=2000")
		w.blocked[client] = true
		w.receive(host, "M 1\r\n", Open)
		w.query(DisableHost, "s-00000066")
		h = w.startSuccessor("pass")
		w.handOverTo(h)
		w.deliverTransfers(h, false)
		return w, h, client
	}
	id := func(c Conn) string { return fmt.Sprintf("OPEN %x ", 0x1000+c) }
	for _, c := range []struct {
		name string
		do   func(t *testing.T, w, h *testHarness, client Conn)
	}{
		{"ready at once, from the predecessor's list", func(t *testing.T, w, h *testHarness, _ Conn) {
			if !h.query(IsReady, "").OK || h.listenerRequests != 1 || len(h.watchIndices) > 1 || len(h.watchIndices) == 1 && h.watchIndices[0] != 6 {
				t.Errorf("ready said %d times, watches %v", h.listenerRequests, h.watchIndices)
			}
		}},
		{"hosts out stay out", func(t *testing.T, w, h *testHarness, _ Conn) {
			if f := h.query(GetFigures, "").Figures; f.Listed != 3 || f.Unavailable != 1 {
				t.Errorf("%d listed, %d avoided", f.Listed, f.Unavailable)
			}
		}},
		{"a call at the successor reaches the predecessor", func(t *testing.T, w, h *testHarness, _ Conn) {
			h.query(EnableHost, "s-00000066")
			h.query(DisableHost, "s-00000065")
			h.deliverTransfers(w, false)
			if a, b := w.node.currentFigures().Unavailable, h.node.currentFigures().Unavailable; a != 1 || b != 1 || len(w.updates) == 0 {
				t.Errorf("%d and %d avoided, %v", a, b, w.updates)
			}
		}},
		{"a call at the predecessor reaches the successor, and comes to rest", func(t *testing.T, w, h *testHarness, _ Conn) {
			w.query(DisableHost, "s-00000065")
			w.deliverTransfers(h, false)
			h.deliverTransfers(w, false)
			w.deliverTransfers(h, false)
			if a, b := w.node.currentFigures().Unavailable, h.node.currentFigures().Unavailable; a != 2 || b != 2 || len(w.updates)+len(h.updates) != 0 {
				t.Errorf("%d and %d avoided, %v %v", a, b, w.updates, h.updates)
			}
		}},
		{"the id of a flow at the predecessor is refused", func(t *testing.T, w, h *testHarness, client Conn) {
			c := h.accept()
			h.receive(c, id(client)+"b2 c=chat,d=900\r\n", Open)
			if h.written[c] != "BUSY\r\n" {
				t.Errorf("told %q", h.written[c])
			}
		}},
		{"packets that come by the successor find their host", func(t *testing.T, w, h *testHarness, client Conn) {
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
		{"what the predecessor holds counts against the limit, until it is gone", func(t *testing.T, w, h *testHarness, _ Conn) {
			if h.node.connections.reserved != w.node.connections.used()+20+inFlightReserve || w.node.connections.used() < 2 {
				t.Errorf("%d lent, %d held", h.node.connections.reserved, w.node.connections.used())
			}
			if h.apply(PredecessorGone{}); h.node.connections.reserved != 0 {
				t.Errorf("%d lent by nobody", h.node.connections.reserved)
			}
		}},
		{"connections that did not come are forgotten in time", func(t *testing.T, w, h *testHarness, _ Conn) {
			h.apply(PredecessorGone{})
			if h.advance(inheritedTimeout / 2); len(h.node.flows.ids.inherited) != 1 {
				t.Error("forgotten too soon")
			}
			if h.advance(inheritedTimeout); len(h.node.flows.ids.inherited) != 0 {
				t.Error("not forgotten")
			}
		}},
		{"the end of one at the predecessor is told", func(t *testing.T, w, h *testHarness, client Conn) {
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
		{"a third process learns all of both", func(t *testing.T, w, h *testHarness, client Conn) {
			h.query(DisableHost, "s-00000064")
			third := h.startSuccessor("pass")
			h.handOverTo(third)
			h.deliverTransfers(third, false)
			if third.node.currentFigures().Unavailable != 2 || third.node.flows.ids.inherited[strings.Fields(id(client))[1]] == nil {
				t.Errorf("%+v, %v", third.node.currentFigures(), third.node.flows.ids.inherited)
			}
		}},
		{"a successor that is gone gives the clients back", func(t *testing.T, w, h *testHarness, _ Conn) {
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
func TestQueryThatCrossesWithHandoverStands(t *testing.T) {
	w := newHarness(t, "pass", 3, 100)
	h := w.startSuccessor("pass")
	late := w.query(TakeOver, "").Handover // said before the call below
	h.query(DisableHost, "s-00000065")
	h.apply(HandoverReceived{exchangeJSON(w, late)})
	if h.node.currentFigures().Unavailable != 1 {
		t.Error("put back by what the predecessor had said before")
	}
}

// A successor of a node that had no list yet waits for its own.
func TestSuccessorWithoutListWaitsForItsOwn(t *testing.T) {
	w := newHarness(t, "pass", 0, 100)
	w.node.endpoints.listReceived = false
	h := w.startSuccessor("pass")
	if h.listenerRequests != 0 || h.query(IsReady, "").OK {
		t.Fatal("ready without a list")
	}
	if h.apply(ListReceived{hostList(2)}); h.listenerRequests != 1 || h.query(IsReady, "").OK {
		t.Fatal("could not serve, or was ready before its door was open")
	}
	if h.apply(ListenerOpened{}); !h.query(IsReady, "").OK {
		t.Fatal("not ready")
	}
}

// Both together never send a cold host more than the one would have: the predecessor has no part of it any more.
func TestSlowStartBudgetIsShared(t *testing.T) {
	w := newHarness(t, "pass", 0, 1000)
	w.apply(ListReceived{endpoint.List{Index: 9, Complete: true, Hosts: []endpoint.Host{{Name: "s-00000064", Address: "h0", Status: "SERVING",
		StartedAtMS: (w.now - 1) * 1e3}}}})
	w.node.balancer.SlowStartTime, w.node.balancer.SlowStartShare, w.node.balancer.OverloadWindow, w.node.balancer.OverloadMultiple = 100, 0.1, 1000, 2
	w.node.balancer.StartedAt = 0 // a window before this one at the least; its successor begins within it
	h := w.startSuccessor("pass")
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
func TestFiguresAddUpWhateverTheMomentOfAnUpgrade(t *testing.T) {
	for seed := range uint64(120) {
		chance := rand.New(rand.NewPCG(seed, 2))
		w := newHarness(t, "pass", 3, 100)
		applyRandomInputs(w, chance, 60)
		h := w.startSuccessor("pass")
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
