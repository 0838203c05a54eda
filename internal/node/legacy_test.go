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
func (w *world) successor(mode string) *world {
	w.Helper()
	r, d, err := settings.Parse(fmt.Appendf(nil, settingsJSON, mode), 8)
	if err != nil {
		w.Fatal(err)
	}
	h := newWorld(w.T, mode, 0, 100)
	h.now, h.accepts, h.watches = w.now, 1001, nil
	h.n = New(h.now, Start{Settings: r, Listener: d, MaxDescriptors: w.n.sockets, DescriptorOverhead: 20, NotListening: true, Handover: crossed(w, w.asks(ClaimHandover, "").Handover)})
	h.do(TimerFired{})
	return h
}

func crossed[T any](w *world, in T) (out T) {
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
func (w *world) takenBy(h *world) {
	w.Helper()
	h.do(HandoverReceived{crossed(w, w.asks(TakeOver, "").Handover)})
	h.do(ListenerOpened{})
}

// carry brings what was passed and told from w to h, or back where it is lost; names gives each connection's
// number at h.
func (w *world) carry(h *world, lost bool) (names map[Conn]Conn) {
	w.Helper()
	names = map[Conn]Conn{}
	for ; len(w.passes) > 0; w.passes = w.passes[1:] {
		p := w.passes[0]
		if w.reads[p.Conn] != nil || w.reads[p.Host] != nil {
			w.Fatal("passed a connection that is still read")
		}
		if !lost {
			h.accepts += 2
			h.how[h.n.dialed+2] = ""
			h.do(ConnectionReceived{h.accepts, crossed(w, p.Transfer)})
			names[p.Conn], names[p.Host] = h.accepts, h.owned.Conn
		}
		w.do(ConnectionSent{p.Conn, !lost})
	}
	for ; len(w.news) > 0; w.news = w.news[1:] {
		h.do(PeerProcessChanged{crossed(w, w.news[0])})
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
		w := newWorld(t, "pass", 2, 100)
		client, host := w.established(chat)
		first := len(w.said[host])
		w.say(client, c.up, Open)
		w.say(host, c.down, Open)
		h := w.successor("pass")
		w.takenBy(h)
		names := w.carry(h, false)
		if len(names) != 2 || !w.n.alone() {
			t.Fatalf("%s: %d passed, %d left", c.name, len(names), len(w.n.conns))
		}
		if w.how[client] != "closed" || w.how[host] != "closed" {
			t.Errorf("%s: at the predecessor they are %s and %s", c.name, w.how[client], w.how[host])
		}
		h.say(names[client], c.upRest, Open)
		h.say(names[host], c.downRest, Open)
		if got, want := w.said[host][first:]+h.said[names[host]], c.up+c.upRest; got != want {
			t.Errorf("%s: the host got %.80q, wanted %.80q", c.name, got, want)
		}
		if got, want := w.said[client]+h.said[names[client]], "UP 77\r\n"+c.down+c.downRest; got != want {
			t.Errorf("%s: the client got %.80q, wanted %.80q", c.name, got, want)
		}
		w.balanced()
		if f := h.balanced(); f.Open != 1 || f.Accepted != 0 {
			t.Errorf("%s: the successor tells of %+v", c.name, f)
		}
		h.say(names[client], "", Ended)
		h.say(names[host], "", Ended)
		w.nothingLeft()
		h.nothingLeft()
	}
}

// What cannot go over stays and goes on where it is: it is ending, it is blocked, it was not sent, or the successor is
// gone.
func TestNotLifted(t *testing.T) {
	for _, c := range []struct {
		name  string
		do    func(w *world, client, host Conn)
		lost  bool
		stays bool
	}{
		{"not sent", func(*world, Conn, Conn) {}, true, true},
		{"its client has ended", func(w *world, client, _ Conn) { w.say(client, "", Ended) }, false, true},
		{"its host says that it ends", func(w *world, _, host Conn) { w.say(host, "BYE\r\n", Open) }, false, true},
		{"its client takes nothing", func(w *world, client, host Conn) {
			w.stalled[client] = true
			w.say(host, "M 1\r\n", Open)
		}, false, true},
		{"nothing in the way", func(*world, Conn, Conn) {}, false, false},
	} {
		w := newWorld(t, "pass", 1, 100)
		client, host := w.established(chat)
		c.do(w, client, host)
		h := w.successor("pass")
		w.takenBy(h)
		names := w.carry(h, c.lost)
		if stays := len(names) == 0; stays != c.stays {
			t.Errorf("%s: passed %v", c.name, names)
			continue
		}
		if !c.stays {
			continue
		}
		w.do(SuccessorGone{}) // and the successor with it: the predecessor takes clients again
		before := len(w.dials)
		if w.come("b2 c=chat,t=acme,d=2000"); len(w.dials) == before {
			t.Errorf("%s: the predecessor places nobody", c.name)
		}
		w.say(w.up(), "UP 2\r\n", Open)
		w.stalled = map[Conn]bool{}
		for _, held := range w.held {
			w.said[held.Conn] += "M 1\r\n"
			w.do(held)
		}
		if w.reads[host] != nil && w.how[host] == "" {
			w.say(host, "M 9\r\nBYE\r\n", Open)
			w.say(host, "", Ended)
			if !strings.HasSuffix(w.said[client], "M 9\r\nBYE\r\n") {
				t.Errorf("%s: the client got %q", c.name, w.said[client])
			}
		}
		w.balanced()
	}
}

// A flow in flight is answered where it was taken, and follows once it is established.
func TestInFlight(t *testing.T) {
	w := newWorld(t, "pass", 1, 100)
	client := w.come(chat)
	h := w.successor("pass")
	w.takenBy(h)
	w.say(w.up(), "UP 5\r\n", Open)
	if w.said[client] != "UP 5\r\n" {
		t.Fatalf("told %q", w.said[client])
	}
	if names := w.carry(h, false); len(names) != 2 || h.n.balance() != 1 {
		t.Fatalf("passed %v", names)
	}
	w.do(Shutdown{})
	if !w.exited {
		t.Error("nothing is left, and it stays")
	}
}

func (n *Node) balance() int { return n.figures.Open }

// What two processes that are one node know of each other.
func TestOneNode(t *testing.T) {
	stuck := func(t *testing.T) (w, h *world, client Conn) { // its connection stays at the predecessor
		w = newWorld(t, "pass", 3, 100)
		client, host := w.established("a1 c=chat,t=acme,d=2000")
		w.stalled[client] = true
		w.say(host, "M 1\r\n", Open)
		w.asks(DisableHost, "s-00000066")
		h = w.successor("pass")
		w.takenBy(h)
		w.carry(h, false)
		return w, h, client
	}
	id := func(c Conn) string { return fmt.Sprintf("OPEN %x ", 0x1000+c) }
	for _, c := range []struct {
		name string
		do   func(t *testing.T, w, h *world, client Conn)
	}{
		{"ready at once, from the predecessor's list", func(t *testing.T, w, h *world, _ Conn) {
			if !h.asks(IsReady, "").OK || h.ready != 1 || len(h.watches) > 1 || len(h.watches) == 1 && h.watches[0] != 6 {
				t.Errorf("ready said %d times, watches %v", h.ready, h.watches)
			}
		}},
		{"hosts out stay out", func(t *testing.T, w, h *world, _ Conn) {
			if f := h.asks(GetFigures, "").Figures; f.Listed != 3 || f.Unavailable != 1 {
				t.Errorf("%d listed, %d avoided", f.Listed, f.Unavailable)
			}
		}},
		{"a call at the successor reaches the predecessor", func(t *testing.T, w, h *world, _ Conn) {
			h.asks(EnableHost, "s-00000066")
			h.asks(DisableHost, "s-00000065")
			h.carry(w, false)
			if a, b := w.n.tell().Unavailable, h.n.tell().Unavailable; a != 1 || b != 1 || len(w.news) == 0 {
				t.Errorf("%d and %d avoided, %v", a, b, w.news)
			}
		}},
		{"a call at the predecessor reaches the successor, and comes to rest", func(t *testing.T, w, h *world, _ Conn) {
			w.asks(DisableHost, "s-00000065")
			w.carry(h, false)
			h.carry(w, false)
			w.carry(h, false)
			if a, b := w.n.tell().Unavailable, h.n.tell().Unavailable; a != 2 || b != 2 || len(w.news)+len(h.news) != 0 {
				t.Errorf("%d and %d avoided, %v %v", a, b, w.news, h.news)
			}
		}},
		{"the id of a flow at the predecessor is refused", func(t *testing.T, w, h *world, client Conn) {
			c := h.accept()
			h.say(c, id(client)+"b2 c=chat,d=900\r\n", Open)
			if h.said[c] != "BUSY\r\n" {
				t.Errorf("told %q", h.said[c])
			}
		}},
		{"packets that come by the successor find their host", func(t *testing.T, w, h *world, client Conn) {
			at := w.address[w.dials[0]]
			for try, line := range []string{id(client) + "a1 c=chat,t=acme,d=900,mid=1\r\n", id(client) + "a1 c=chat,t=acme,d=900,mid=1\r\n"} {
				h.say(h.accept(), line, Open)
				if got := h.address[h.dials[try]]; got != at {
					t.Errorf("sent to %s, it sits at %s", got, at)
				}
				if len(h.n.ids.sits) != 0 {
					t.Error("it still sits at the predecessor")
				}
			}
		}},
		{"what the predecessor holds counts against the limit, until it is gone", func(t *testing.T, w, h *world, _ Conn) {
			if h.n.lent != w.n.used()+20+flightSpare || w.n.used() < 2 {
				t.Errorf("%d lent, %d held", h.n.lent, w.n.used())
			}
			if h.do(PredecessorGone{}); h.n.lent != 0 {
				t.Errorf("%d lent by nobody", h.n.lent)
			}
		}},
		{"connections that did not come are forgotten in time", func(t *testing.T, w, h *world, _ Conn) {
			h.do(PredecessorGone{})
			if h.pass(sitsFor / 2); len(h.n.ids.sits) != 1 {
				t.Error("forgotten too soon")
			}
			if h.pass(sitsFor); len(h.n.ids.sits) != 0 {
				t.Error("not forgotten")
			}
		}},
		{"the end of one at the predecessor is told", func(t *testing.T, w, h *world, client Conn) {
			w.pass(1) // what does not go out is not waited for
			w.say(client, "", Broken)
			if w.carry(h, false); len(h.n.ids.sits) != 0 {
				t.Error("it still sits there")
			}
			c := h.accept()
			h.say(c, id(client)+"b2 c=chat,d=900\r\n", Open)
			if h.said[c] != "BUSY\r\n" {
				t.Errorf("its id is free for others: %q", h.said[c])
			}
		}},
		{"a third process learns all of both", func(t *testing.T, w, h *world, client Conn) {
			h.asks(DisableHost, "s-00000064")
			third := h.successor("pass")
			h.takenBy(third)
			h.carry(third, false)
			if third.n.tell().Unavailable != 2 || third.n.ids.sits[strings.Fields(id(client))[1]] == nil {
				t.Errorf("%+v, %v", third.n.tell(), third.n.ids.sits)
			}
		}},
		{"a successor that is gone gives the clients back", func(t *testing.T, w, h *world, _ Conn) {
			if w.do(SuccessorGone{}); w.n.limit != 100 || w.n.given {
				t.Errorf("limit %d, given %v", w.n.limit, w.n.given)
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
	w := newWorld(t, "pass", 3, 100)
	h := w.successor("pass")
	late := w.asks(TakeOver, "").Handover // said before the call below
	h.asks(DisableHost, "s-00000065")
	h.do(HandoverReceived{crossed(w, late)})
	if h.n.tell().Unavailable != 1 {
		t.Error("put back by what the predecessor had said before")
	}
}

// A successor of a node that had no list yet waits for its own.
func TestSuccessorWithoutList(t *testing.T) {
	w := newWorld(t, "pass", 0, 100)
	w.n.heard = false
	h := w.successor("pass")
	if h.ready != 0 || h.asks(IsReady, "").OK {
		t.Fatal("ready without a list")
	}
	if h.do(ListReceived{hostList(2)}); h.ready != 1 || h.asks(IsReady, "").OK {
		t.Fatal("could not serve, or was ready before its door was open")
	}
	if h.do(ListenerOpened{}); !h.asks(IsReady, "").OK {
		t.Fatal("not ready")
	}
}

// Both together never send a cold host more than the one would have: the predecessor has no part of it any more.
func TestColdBudgetIsShared(t *testing.T) {
	w := newWorld(t, "pass", 0, 1000)
	w.do(ListReceived{endpoint.List{Index: 9, Complete: true, Hosts: []endpoint.Host{{Name: "s-00000064", Address: "h0", Status: "SERVING",
		StartedAtMS: (w.now - 1) * 1e3}}}})
	w.n.module.SlowStartTime, w.n.module.SlowStartShare, w.n.module.OverloadWindow, w.n.module.OverloadMultiple = 100, 0.1, 1000, 2
	w.n.module.StartedAt = 0 // a window before this one at the least; its successor begins within it
	h := w.successor("pass")
	h.n.module.SlowStartTime, h.n.module.SlowStartShare, h.n.module.OverloadWindow, h.n.module.OverloadMultiple = 100, 0.1, 1000, 2
	for range 40 {
		w.come("a1 c=chat,d=900")
	}
	spent := len(w.dials)
	w.takenBy(h)
	for range 40 {
		w.come("a1 c=chat,d=900")
		h.come("a1 c=chat,d=900")
	}
	if spent == 0 || len(w.dials) != spent || len(h.dials) != 0 {
		t.Errorf("%d connects before; after it %d at the predecessor, %d at the successor", spent, len(w.dials)-spent, len(h.dials))
	}
}

// Hand-overs at any moment of random sequences: figures add up at both, and nothing is left of either.
func TestUpgradeAnyTime(t *testing.T) {
	for seed := range uint64(120) {
		chance := rand.New(rand.NewPCG(seed, 2))
		w := newWorld(t, "pass", 3, 100)
		shuffle(w, chance, 60)
		h := w.successor("pass")
		shuffle(w, chance, 10)
		w.takenBy(h)
		for range 10 {
			shuffle(w, chance, 4)
			w.carry(h, chance.IntN(3) == 0)
			shuffle(h, chance, 4)
			h.carry(w, false)
		}
		w.do(Shutdown{})
		for range 5 {
			w.pass(0.5)
			w.carry(h, false)
			h.now = w.now
			h.do(TimerFired{})
			w.balanced()
			h.balanced()
		}
		h.do(PredecessorGone{})
	}
}

// A predecessor asked to leave in the same moment moves nobody who is about to go over; who cannot go is moved then.
func TestLeaveWhileLifting(t *testing.T) {
	w := newWorld(t, "proxy", 1, 100)
	client, host := w.established(chat)
	stuck, far := w.established("b2 c=chat,t=acme,d=2000")
	w.stalled[stuck] = true
	w.say(far, "M 1\r\n", Open)
	w.say(host, "M 2\r\n", Open)
	h := w.successor("proxy")
	w.takenBy(h)
	w.do(Shutdown{})
	names := w.carry(h, false)
	if len(names) != 2 || strings.Contains(w.said[client], "MOVE") || w.exited {
		t.Fatalf("passed %v, told %q, exited %v", names, w.said[client], w.exited)
	}
	w.pass(1)
	w.stalled[stuck] = false
	for _, held := range w.held {
		w.do(held)
	}
	if !strings.HasSuffix(w.said[stuck], "MOVE\r\n") {
		t.Errorf("who stayed was told %q", w.said[stuck])
	}
}
