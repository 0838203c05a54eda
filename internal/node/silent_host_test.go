package node

import (
	"slices"
	"strings"
	"testing"
)

// A host that says nothing to anybody is left by all, also by those who asked it nothing; a line that waits
// alone is no sign of that, nor is what came while the node itself was held up.
func TestSilentHostLosesAllItsFlows(t *testing.T) {
	for _, c := range []struct {
		name    string
		meet    func(w *testHarness, client, host, other, same Conn)
		reasons []Reason
	}{
		{"it answers a probe", func(w *testHarness, client, _, _, _ Conn) {
			for end := w.now + 1; w.now < end; w.advance(0.01) {
				for _, p := range w.healthChecks {
					if w.connectionState[p] == "dialed" {
						w.receive(w.completeDial(p), "PONG\r\n", Open)
					}
				}
			}
		}, nil},
		{"gone", func(w *testHarness, client, _, _, _ Conn) { w.advance(1) }, []Reason{HostSilent, HostSilent}},
		{"the node was held up", func(w *testHarness, client, host, _, _ Conn) {
			w.now += 2
			w.apply(TimerFired{})
			w.receive(host, "LOAD 9\r\n", Open)
			w.advance(0.2)
		}, nil},
		{"one line waits", func(w *testHarness, client, _, other, same Conn) {
			for end := w.now + connectionSilentAfter; w.now < end; w.advance(suspectAfter - 0.1) {
				if len(w.records) > 0 {
					w.Fatalf("ended too soon: %v", w.endReasons())
				}
				w.receive(other, "M\r\n", Open)
				w.receive(same, "M\r\n", Open)
			}
			w.advance(suspectAfter)
		}, []Reason{HostSilent}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newHarness(t, "proxy", 1, 100)
			client, host := w.establish(chatRequest)
			other, same := w.establish("a2 c=chat,t=acme,d=2000")
			w.advance(0.1)
			w.receive(client, "M\r\n", Open)
			c.meet(w, client, host, other, same)
			for i, to := range []Conn{client, other} {
				if moved := strings.HasSuffix(w.written[to], "MOVE\r\n"); moved != (i < len(c.reasons)) {
					t.Errorf("told %q", w.written[to])
				}
			}
			if w.advance(lingerTimeout + 0.1); !slices.Equal(w.endReasons(), c.reasons) {
				t.Errorf("reasons %v, wanted %v", w.endReasons(), c.reasons)
			}
		})
	}
}

// A line comes back after half a second, in which the host was slow or this node was held up. Guards against
// a node that was stopped, or has too little CPU, taking sound hosts for jammed.
func TestOwnLagIsNotBlamedOnHost(t *testing.T) {
	for _, heldUp := range []bool{false, true} {
		w := newHarness(t, "proxy", 1, 100)
		client, host := w.establish(chatRequest)
		w.receive(client, "M\r\n", Open)
		if heldUp {
			w.now += 0.5
		} else {
			w.advance(0.5)
		}
		w.receive(host, "M\r\n", Open)
		w.advance(0.1)
		if w.openFlow(chatRequest); (len(w.flowDials) == 1) == heldUp { // the one of before: a jammed host takes nothing new
			t.Errorf("held up %v: %d dials", heldUp, len(w.flowDials))
		}
	}
}
