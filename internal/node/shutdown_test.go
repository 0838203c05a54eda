package node

import (
	"fmt"
	"strings"
	"testing"
)

// A node asked to leave answers what it took and still takes what comes.
func TestShutdownAnswersAcceptedFlows(t *testing.T) {
	for _, c := range []struct {
		mode     string
		open     string // what an established client is told
		late     string // what one that comes now is told
		stays    bool   // until it is time, as connections are held
		reason   Reason
		waitsFor string
	}{
		{"proxy", "UP 77\r\nMOVE\r\n", "BUSY\r\n", false, MigratedAtShutdown, "UP 8\r\nMOVE\r\n"},
		{"pass", "UP 77\r\n", "", true, "", "UP 8\r\n"},
	} {
		t.Run(c.mode, func(t *testing.T) {
			harness := newHarness(t, c.mode, 3, 100)
			open, _ := harness.establish(chatRequest)
			waiting := harness.openFlow(chatRequest)
			host := harness.completeLastDial()
			harness.apply(Shutdown{})
			harness.advance(0.1)
			late := harness.openFlow(chatRequest)
			harness.receive(host, "UP 8\r\n", Open)
			harness.advance(0.3)
			if harness.written[open] != c.open || harness.written[late] != c.late || harness.written[waiting] != c.waitsFor || harness.exited {
				t.Fatalf("told %q, %q and %q, exited %v", harness.written[open], harness.written[late], harness.written[waiting], harness.exited)
			}
			ping := harness.accept()
			harness.receive(ping, "PING\r\n", Ended)
			if harness.written[ping] != "ERR\r\n" {
				t.Fatalf("ready while it leaves: %q", harness.written[ping])
			}
			harness.advance(1.3)
			if harness.exited == c.stays {
				t.Fatalf("exited %v", harness.exited)
			}
			harness.advance(0.7)
			if harness.exited == c.stays { // 2 s, the longest connect timeout, and the margin
				t.Fatalf("exited %v", harness.exited)
			}
			if c.stays {
				if harness.written[late] == "" {
					t.Fatal("a flow that was taken got no answer")
				}
				if late := harness.openFlow(chatRequest); harness.written[late] != "BUSY\r\n" {
					t.Fatalf("one that comes too late is told %q", harness.written[late])
				}
				harness.advance(5) // an exit would end what goes on elsewhere when the node is killed
				if harness.exited || harness.connectionState[open] != "" {
					t.Fatalf("exited %v, a held connection is %q", harness.exited, harness.connectionState[open])
				}
				harness.receive(open, "", Broken)
				harness.receive(waiting, "", Broken)
				harness.advance(0.1)
				if !harness.exited {
					t.Fatal("nothing is held, but it is still there")
				}
			}
		})
	}
}

// A SIGHUP or SIGTERM while the list is lost: a flow that waits still gets its one answer.
func TestSignalWhileDiscoveryIsOutLeavesFlowItsAnswer(t *testing.T) {
	for _, in := range []Input{DiscoveryMoved{}, Shutdown{}} {
		t.Run(fmt.Sprintf("%T", in), func(t *testing.T) {
			harness := newHarness(t, "proxy", 1, 100)
			c := harness.openFlow(chatRequest)
			harness.apply(WatchFailed{Reason: "the end"})
			harness.apply(in)
			harness.receive(harness.completeLastDial(), "UP 5\r\n", Open)
			if want := "UP 5\r\n"; !strings.HasPrefix(harness.written[c], want) {
				t.Errorf("%T: told %q", in, harness.written[c])
			}
		})
	}
}
