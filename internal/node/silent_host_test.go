package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// A host that says nothing to anybody is left by all, also by those who asked it nothing; a line that waits
// alone is no sign of that, nor is what came while the node itself was held up.
func TestSilentHostLosesAllItsFlows(t *testing.T) {
	for _, c := range []struct {
		name    string
		meet    func(harness *testHarness, client, host, other, same Conn)
		reasons []Reason
	}{
		{"it answers a probe", func(harness *testHarness, client, _, _, _ Conn) {
			for end := harness.now + 1; harness.now < end; harness.advance(0.01) {
				for _, p := range harness.healthChecks {
					if harness.connectionState[p] == "dialed" {
						harness.receive(harness.completeDial(p), "PONG\r\n", Open)
					}
				}
			}
		}, nil},
		{"gone", func(harness *testHarness, client, _, _, _ Conn) { harness.advance(1) }, []Reason{HostSilent, HostSilent}},
		{"the node was held up", func(harness *testHarness, client, host, _, _ Conn) {
			harness.now += 2
			harness.apply(TimerFired{})
			harness.receive(host, "LOAD 9\r\n", Open)
			harness.advance(0.2)
		}, nil},
		{"one line waits", func(harness *testHarness, client, _, other, same Conn) {
			for end := harness.now + connectionSilentAfter; harness.now < end; harness.advance(suspectAfter - 0.1) {
				if len(harness.records) > 0 {
					harness.Fatalf("ended too soon: %v", harness.endReasons())
				}
				harness.receive(other, "M\r\n", Open)
				harness.receive(same, "M\r\n", Open)
			}
			harness.advance(suspectAfter)
		}, []Reason{HostSilent}},
	} {
		t.Run(c.name, func(t *testing.T) {
			harness := newHarness(t, "proxy", 1, 100)
			client, host := harness.establish(chatRequest)
			other, same := harness.establish("a2 c=chat,t=acme,d=2000")
			harness.advance(0.1)
			harness.receive(client, "M\r\n", Open)
			c.meet(harness, client, host, other, same)
			for i, to := range []Conn{client, other} {
				if moved := strings.HasSuffix(harness.written[to], "MOVE\r\n"); moved != (i < len(c.reasons)) {
					t.Errorf("told %q", harness.written[to])
				}
			}
			harness.advance(lingerTimeout + 0.1)
			if !slices.Equal(harness.endReasons(), c.reasons) {
				t.Errorf("reasons %v, wanted %v", harness.endReasons(), c.reasons)
			}
		})
	}
}

// A line comes back after half a second, in which the host was slow or this node was held up. Guards against
// a node that was stopped, or has too little CPU, taking sound hosts for jammed.
func TestOwnLagIsNotBlamedOnHost(t *testing.T) {
	for _, heldUp := range []bool{false, true} {
		t.Run(fmt.Sprintf("node held up %v", heldUp), func(t *testing.T) {
			harness := newHarness(t, "proxy", 1, 100)
			client, host := harness.establish(chatRequest)
			harness.receive(client, "M\r\n", Open)
			if heldUp {
				harness.now += 0.5
			} else {
				harness.advance(0.5)
			}
			harness.receive(host, "M\r\n", Open)
			harness.advance(0.1)
			harness.openFlow(chatRequest)
			if (len(harness.flowDials) == 1) == heldUp { // the one of before: a jammed host takes nothing new
				t.Errorf("held up %v: %d dials", heldUp, len(harness.flowDials))
			}
		})
	}
}
