package node

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// Where each kind of end is counted, and that junk is no flow.
func TestFlowIsCountedByItsAnswer(t *testing.T) {
	const whole, none = "1 0 0 0", "0 0 0 0"
	for _, c := range []struct {
		name       string
		do         func(w *testHarness)
		tally      string // established, rejected, aborted, left
		dispatched int
		open       int
	}{
		{"nothing came", func(w *testHarness) {}, none, 0, 0},
		{"established", func(w *testHarness) { w.establish(chatRequest) }, whole, 1, 1},
		{"established and ended", func(w *testHarness) {
			c, h := w.establish(chatRequest)
			w.receive(c, "", Ended)
			w.receive(h, "", Ended)
		}, whole, 1, 0},
		{"rejected after a connect that never ran", func(w *testHarness) {
			w.openFlow(orderRequest)
			for range 3 {
				w.receive(w.completeLastDial(), "BUSY\r\n", Open)
			}
		}, "0 1 0 0", 3, 0},
		{"aborted", func(w *testHarness) { w.openFlow(orderRequest); w.receive(w.completeLastDial(), "ERR\r\n", Open) }, "0 0 1 0", 1, 0},
		{"nothing was reached", func(w *testHarness) {
			w.openFlow(chatRequest)
			for range 3 {
				failDial(w, w.flowDials[len(w.flowDials)-1])
			}
		}, "0 1 0 0", 0, 0},
		{"a line that did not go out whole", func(w *testHarness) {
			w.openFlow(orderRequest)
			h := w.flowDials[0]
			w.blocked[h] = true
			w.completeDial(h)
			w.apply(WriteDone{h, 5, true})
			w.receive(h, "", Broken)
		}, none, 0, 1},
		{"the answer overtakes the word that its line is out", func(w *testHarness) {
			w.openFlow(orderRequest)
			h := w.flowDials[0]
			w.blocked[h] = true
			w.completeDial(h)
			w.receive(h, "ERR\r\n", Open)
		}, "0 0 1 0", 1, 0},
		{"the client does not wait", func(w *testHarness) { w.receive(w.openFlow(chatRequest), "", Ended) }, "0 0 0 1", 0, 0},
		{"no more waiting than a line", func(w *testHarness) {
			w.receive(w.openFlow(chatRequest), fmt.Sprintf("%5000d%5000d", 1, 2), Open)
		}, "0 0 1 0", 0, 0},
		{"junk", func(w *testHarness) {
			for _, text := range []string{"HELLO\r\n", "OPEN 1 a1 c=chat\r\n", "OPEN 1 a1 c=none,d=5\r\n", "OPEN 1 a1 c=chat,d=5\r\nM\r\n"} {
				w.receive(w.accept(), text, Open)
			}
			w.receive(w.accept(), "PING\r\n", Open)
		}, none, 0, 0},
		{"the id of another client's flow", func(w *testHarness) {
			w.establish(chatRequest)
			c := w.accept()
			w.receive(c, fmt.Sprintf("OPEN %x b2 c=chat,d=900\r\n", 0x1000+w.lastAccepted-2), Open)
		}, whole, 1, 1},
		{"no descriptor for its host", func(w *testHarness) {
			c := w.accept()
			w.node.connections.limit = descriptorReserve
			w.receive(c, "OPEN 1 "+chatRequest+"\r\n", Open)
		}, "0 1 0 0", 0, 0},
		{"open at a host that is not listed", func(w *testHarness) { w.openFlow(chatRequest + ",at=s-77") }, "0 1 0 0", 0, 0},
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

// The figures add up after every step of random sequences, a node asked to leave included.
func TestFiguresAddUpAfterAnyInput(t *testing.T) {
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
