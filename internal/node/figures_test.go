package node

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

func (w *harness) query(q Question, host string) Reply {
	w.Helper()
	w.reply = Reply{Figures: Figures{Accepted: -1}}
	w.apply(Query{q, host})
	if w.reply.Figures.Accepted < 0 {
		w.Fatal("no answer")
	}
	return w.reply
}

// checkedFigures checks what must hold of the figures after any input.
func (w *harness) checkedFigures() Figures {
	w.Helper()
	f := w.node.currentFigures()
	sum := f.Waiting
	for _, t := range f.Types {
		sum += t.Established + t.Rejected + t.Aborted + t.ClientLeft
	}
	open, waiting := 0, 0
	for _, g := range w.node.flows.byIndex {
		if g != nil && !g.over {
			open++
			if !g.established {
				waiting++
			}
		}
	}
	if f.Accepted != sum || f.Open != open || f.Waiting != waiting {
		w.Fatalf("taken %d, answered, left and waiting %d; open %d, counted %d; waiting %d, counted %d", f.Accepted, sum, open,
			f.Open, waiting, f.Waiting)
	}
	return f
}

// Where each kind of end is counted, and that junk is no flow.
func TestFigures(t *testing.T) {
	const whole, none = "1 0 0 0", "0 0 0 0"
	for _, c := range []struct {
		name       string
		do         func(w *harness)
		tally      string // established, rejected, aborted, left
		dispatched int
		open       int
	}{
		{"nothing came", func(w *harness) {}, none, 0, 0},
		{"established", func(w *harness) { w.establish(chat) }, whole, 1, 1},
		{"established and ended", func(w *harness) {
			c, h := w.establish(chat)
			w.receive(c, "", Ended)
			w.receive(h, "", Ended)
		}, whole, 1, 0},
		{"rejected after a connect that never ran", func(w *harness) {
			w.openFlow(order)
			for range 3 {
				w.receive(w.completeLastDial(), "BUSY\r\n", Open)
			}
		}, "0 1 0 0", 3, 0},
		{"aborted", func(w *harness) { w.openFlow(order); w.receive(w.completeLastDial(), "ERR\r\n", Open) }, "0 0 1 0", 1, 0},
		{"nothing was reached", func(w *harness) {
			w.openFlow(chat)
			for range 3 {
				failDial(w, w.flowDials[len(w.flowDials)-1])
			}
		}, "0 1 0 0", 0, 0},
		{"a line that did not go out whole", func(w *harness) {
			w.openFlow(order)
			h := w.flowDials[0]
			w.blocked[h] = true
			w.completeDial(h)
			w.apply(WriteDone{h, 5, true})
			w.receive(h, "", Broken)
		}, none, 0, 1},
		{"the answer overtakes the word that its line is out", func(w *harness) {
			w.openFlow(order)
			h := w.flowDials[0]
			w.blocked[h] = true
			w.completeDial(h)
			w.receive(h, "ERR\r\n", Open)
		}, "0 0 1 0", 1, 0},
		{"the client does not wait", func(w *harness) { w.receive(w.openFlow(chat), "", Ended) }, "0 0 0 1", 0, 0},
		{"no more waiting than a line", func(w *harness) {
			w.receive(w.openFlow(chat), fmt.Sprintf("%5000d%5000d", 1, 2), Open)
		}, "0 0 1 0", 0, 0},
		{"junk", func(w *harness) {
			for _, text := range []string{"HELLO\r\n", "OPEN 1 a1 c=chat\r\n", "OPEN 1 a1 c=none,d=5\r\n", "OPEN 1 a1 c=chat,d=5\r\nM\r\n"} {
				w.receive(w.accept(), text, Open)
			}
			w.receive(w.accept(), "PING\r\n", Open)
		}, none, 0, 0},
		{"the id of another client's flow", func(w *harness) {
			w.establish(chat)
			c := w.accept()
			w.receive(c, fmt.Sprintf("OPEN %x b2 c=chat,d=900\r\n", 0x1000+w.lastAccepted-2), Open)
		}, whole, 1, 1},
		{"no descriptor for its host", func(w *harness) {
			c := w.accept()
			w.node.connections.limit = descriptorReserve
			w.receive(c, "OPEN 1 "+chat+"\r\n", Open)
		}, "0 1 0 0", 0, 0},
		{"open at a host that is not listed", func(w *harness) { w.openFlow(chat + ",at=s-77") }, "0 1 0 0", 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newHarness(t, "proxy", 3, 100)
			c.do(w)
			f := w.checkedFigures()
			var sum FlowCounts
			for _, t := range f.Types {
				sum.Established += t.Established
				sum.Rejected += t.Rejected
				sum.Aborted += t.Aborted
				sum.ClientLeft += t.ClientLeft
			}
			if got := fmt.Sprint(sum.Established, sum.Rejected, sum.Aborted, sum.ClientLeft); got != c.tally ||
				f.Dispatched != c.dispatched || f.Open != c.open || len(f.Types) != 3 {
				t.Errorf("%s, %d dispatched, %d open; wanted %s, %d, %d", got, f.Dispatched, f.Open, c.tally, c.dispatched, c.open)
			}
		})
	}
}

// applyRandomInputs plays a random sequence of what clients, hosts and operators may do, and checks the figures after each.
func applyRandomInputs(w *harness, chance *rand.Rand, steps int) {
	var clients, hosts []Conn
	pick := func(from []Conn) Conn { return from[chance.IntN(len(from))] }
	for range steps {
		switch chance.IntN(9) {
		case 0, 1:
			clients = append(clients, w.openFlow([]string{chat, order, "b3 c=mail,d=700", "HELLO"}[chance.IntN(4)]))
		case 2, 3:
			for _, h := range w.flowDials {
				if w.state[h] == "dialed" {
					w.blocked[h] = chance.IntN(4) == 0
					w.completeDial(h)
					hosts = append(hosts, h)
				}
			}
		case 4:
			if len(hosts) > 0 {
				if h := pick(hosts); w.pendingReads[h] != nil && w.node.connections.byID[h] != nil {
					w.receive(h, []string{"UP 1\r\n", "UP 2\r\n", "BUSY\r\n", "ERR\r\n", "MOVE\r\n", "BYE\r\n", "U"}[chance.IntN(7)],
						End(max(0, chance.IntN(5)-2)))
				}
			}
		case 5:
			if len(clients) > 0 {
				if c := pick(clients); w.pendingReads[c] != nil && w.node.connections.byID[c] != nil {
					w.receive(c, []string{"", "M 1\r\n"}[chance.IntN(2)], End(chance.IntN(3)))
				}
			}
		case 6:
			for _, held := range w.blockedWrites {
				if w.node.connections.byID[held.Conn] != nil {
					held.Failed = chance.IntN(2) == 0
					w.apply(held)
				}
			}
			w.blockedWrites = w.blockedWrites[:0]
		case 7:
			w.now += 0.3 * chance.Float64()
			w.apply(TimerFired{})
		case 8:
			w.query([]Question{DisableHost, EnableHost}[chance.IntN(2)], fmt.Sprintf("s-%08x", 100+chance.IntN(4)))
		}
		w.checkedFigures()
	}
}

// The figures add up after every step of random sequences, a node asked to leave included.
func TestFiguresAddUp(t *testing.T) {
	for seed := range uint64(200) {
		w := newHarness(t, []string{"proxy", "pass"}[seed%2], 3, 100)
		chance := rand.New(rand.NewPCG(seed, 1))
		applyRandomInputs(w, chance, 120)
		if seed%3 == 0 {
			w.apply(Shutdown{})
			applyRandomInputs(w, chance, 40)
		}
		w.advance(12)
		if f := w.checkedFigures(); f.Waiting != 0 {
			t.Fatalf("seed %d: %d wait for ever", seed, f.Waiting)
		}
	}
}

// A host taken out by hand gets nothing more from the answer on; a name that was never listed leaves no trace.
func TestHosts(t *testing.T) {
	w := newHarness(t, "pass", 2, 100)
	if a := w.query(DisableHost, "s-00000065"); !a.OK {
		t.Fatal("a listed host is not known")
	}
	for range 30 {
		c := w.openFlow(fmt.Sprintf("%x c=chat,d=900", w.lastAccepted))
		if h := w.flowDials[len(w.flowDials)-1]; w.dialedAddress[h] != "h0" {
			t.Fatalf("sent to %s", w.dialedAddress[h])
		}
		w.receive(c, "", Ended)
	}
	if f := w.query(GetFigures, "").Figures; f.Listed != 2 || f.Unavailable != 1 {
		t.Errorf("%d listed, %d avoided", f.Listed, f.Unavailable)
	}
	for i := range 50 {
		if w.query(DisableHost, fmt.Sprint("s-none", i)).OK || w.query(EnableHost, fmt.Sprint("s-none", i)).OK {
			t.Fatal("a host never listed is known")
		}
	}
	if len(w.node.endpoints.hosts) != 2 || len(w.node.endpoints.byName) != 2 {
		t.Errorf("%d hosts kept", len(w.node.endpoints.hosts))
	}
	w.apply(ListReceived{hostList(1)}) // one that has left the list is known all the same
	if !w.query(EnableHost, "s-00000065").OK {
		t.Error("a host that was listed is not known")
	}
	if !w.query(IsReady, "").OK {
		t.Error("not ready")
	}
	if w.apply(Shutdown{}); w.query(IsReady, "").OK {
		t.Error("ready though it leaves")
	}
}
