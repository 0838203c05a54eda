package node

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

func (w *world) asks(q Question, host string) Reply {
	w.Helper()
	w.answer = Reply{Figures: Figures{Accepted: -1}}
	w.do(Query{q, host})
	if w.answer.Figures.Accepted < 0 {
		w.Fatal("no answer")
	}
	return w.answer
}

// balanced checks what must hold of the figures after any input.
func (w *world) balanced() Figures {
	w.Helper()
	f := w.n.tell()
	sum := f.Waiting
	for _, t := range f.Types {
		sum += t.Established + t.Rejected + t.Aborted + t.ClientLeft
	}
	open, waiting := 0, 0
	for _, g := range w.n.flows {
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
		do         func(w *world)
		tally      string // established, rejected, aborted, left
		dispatched int
		open       int
	}{
		{"nothing came", func(w *world) {}, none, 0, 0},
		{"established", func(w *world) { w.established(chat) }, whole, 1, 1},
		{"established and ended", func(w *world) {
			c, h := w.established(chat)
			w.say(c, "", Ended)
			w.say(h, "", Ended)
		}, whole, 1, 0},
		{"rejected after a connect that never ran", func(w *world) {
			w.come(order)
			for range 3 {
				w.say(w.up(), "BUSY\r\n", Open)
			}
		}, "0 1 0 0", 3, 0},
		{"aborted", func(w *world) { w.come(order); w.say(w.up(), "ERR\r\n", Open) }, "0 0 1 0", 1, 0},
		{"nothing was reached", func(w *world) {
			w.come(chat)
			for range 3 {
				refuse(w, w.dials[len(w.dials)-1])
			}
		}, "0 1 0 0", 0, 0},
		{"a line that did not go out whole", func(w *world) {
			w.come(order)
			h := w.dials[0]
			w.stalled[h] = true
			w.dialed(h)
			w.do(WriteDone{h, 5, true})
			w.say(h, "", Broken)
		}, none, 0, 1},
		{"the answer overtakes the word that its line is out", func(w *world) {
			w.come(order)
			h := w.dials[0]
			w.stalled[h] = true
			w.dialed(h)
			w.say(h, "ERR\r\n", Open)
		}, "0 0 1 0", 1, 0},
		{"the client does not wait", func(w *world) { w.say(w.come(chat), "", Ended) }, "0 0 0 1", 0, 0},
		{"no more waiting than a line", func(w *world) {
			w.say(w.come(chat), fmt.Sprintf("%5000d%5000d", 1, 2), Open)
		}, "0 0 1 0", 0, 0},
		{"junk", func(w *world) {
			for _, text := range []string{"HELLO\r\n", "OPEN 1 a1 c=chat\r\n", "OPEN 1 a1 c=none,d=5\r\n", "OPEN 1 a1 c=chat,d=5\r\nM\r\n"} {
				w.say(w.accept(), text, Open)
			}
			w.say(w.accept(), "PING\r\n", Open)
		}, none, 0, 0},
		{"the id of another client's flow", func(w *world) {
			w.established(chat)
			c := w.accept()
			w.say(c, fmt.Sprintf("OPEN %x b2 c=chat,d=900\r\n", 0x1000+w.accepts-2), Open)
		}, whole, 1, 1},
		{"no descriptor for its host", func(w *world) {
			c := w.accept()
			w.n.limit = spareFew
			w.say(c, "OPEN 1 "+chat+"\r\n", Open)
		}, "0 1 0 0", 0, 0},
		{"open at a host that is not listed", func(w *world) { w.come(chat + ",at=s-77") }, "0 1 0 0", 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, "proxy", 3, 100)
			c.do(w)
			f := w.balanced()
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

// shuffle plays a random sequence of what clients, hosts and operators may do, and checks the figures after each.
func shuffle(w *world, chance *rand.Rand, steps int) {
	var clients, hosts []Conn
	pick := func(from []Conn) Conn { return from[chance.IntN(len(from))] }
	for range steps {
		switch chance.IntN(9) {
		case 0, 1:
			clients = append(clients, w.come([]string{chat, order, "b3 c=mail,d=700", "HELLO"}[chance.IntN(4)]))
		case 2, 3:
			for _, h := range w.dials {
				if w.how[h] == "dialed" {
					w.stalled[h] = chance.IntN(4) == 0
					w.dialed(h)
					hosts = append(hosts, h)
				}
			}
		case 4:
			if len(hosts) > 0 {
				if h := pick(hosts); w.reads[h] != nil && w.n.conns[h] != nil {
					w.say(h, []string{"UP 1\r\n", "UP 2\r\n", "BUSY\r\n", "ERR\r\n", "MOVE\r\n", "BYE\r\n", "U"}[chance.IntN(7)],
						End(max(0, chance.IntN(5)-2)))
				}
			}
		case 5:
			if len(clients) > 0 {
				if c := pick(clients); w.reads[c] != nil && w.n.conns[c] != nil {
					w.say(c, []string{"", "M 1\r\n"}[chance.IntN(2)], End(chance.IntN(3)))
				}
			}
		case 6:
			for _, held := range w.held {
				if w.n.conns[held.Conn] != nil {
					held.Failed = chance.IntN(2) == 0
					w.do(held)
				}
			}
			w.held = w.held[:0]
		case 7:
			w.now += 0.3 * chance.Float64()
			w.do(TimerFired{})
		case 8:
			w.asks([]Question{DisableHost, EnableHost}[chance.IntN(2)], fmt.Sprintf("s-%08x", 100+chance.IntN(4)))
		}
		w.balanced()
	}
}

// The figures add up after every step of random sequences, a node asked to leave included.
func TestFiguresAddUp(t *testing.T) {
	for seed := range uint64(200) {
		w := newWorld(t, []string{"proxy", "pass"}[seed%2], 3, 100)
		chance := rand.New(rand.NewPCG(seed, 1))
		shuffle(w, chance, 120)
		if seed%3 == 0 {
			w.do(Shutdown{})
			shuffle(w, chance, 40)
		}
		w.pass(12)
		if f := w.balanced(); f.Waiting != 0 {
			t.Fatalf("seed %d: %d wait for ever", seed, f.Waiting)
		}
	}
}

// A host taken out by hand gets nothing more from the answer on; a name that was never listed leaves no trace.
func TestHosts(t *testing.T) {
	w := newWorld(t, "pass", 2, 100)
	if a := w.asks(DisableHost, "s-00000065"); !a.OK {
		t.Fatal("a listed host is not known")
	}
	for range 30 {
		c := w.come(fmt.Sprintf("%x c=chat,d=900", w.accepts))
		if h := w.dials[len(w.dials)-1]; w.address[h] != "h0" {
			t.Fatalf("sent to %s", w.address[h])
		}
		w.say(c, "", Ended)
	}
	if f := w.asks(GetFigures, "").Figures; f.Listed != 2 || f.Unavailable != 1 {
		t.Errorf("%d listed, %d avoided", f.Listed, f.Unavailable)
	}
	for i := range 50 {
		if w.asks(DisableHost, fmt.Sprint("s-none", i)).OK || w.asks(EnableHost, fmt.Sprint("s-none", i)).OK {
			t.Fatal("a host never listed is known")
		}
	}
	if len(w.n.hosts) != 2 || len(w.n.byName) != 2 {
		t.Errorf("%d hosts kept", len(w.n.hosts))
	}
	w.do(ListReceived{hostList(1)}) // one that has left the list is known all the same
	if !w.asks(EnableHost, "s-00000065").OK {
		t.Error("a host that was listed is not known")
	}
	if !w.asks(IsReady, "").OK {
		t.Error("not ready")
	}
	if w.do(Shutdown{}); w.asks(IsReady, "").OK {
		t.Error("ready though it leaves")
	}
}
