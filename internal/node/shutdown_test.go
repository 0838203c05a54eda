package node

import (
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
			w := newHarness(t, c.mode, 3, 100)
			open, _ := w.establish(chatRequest)
			waiting := w.openFlow(chatRequest)
			host := w.completeLastDial()
			w.apply(Shutdown{})
			w.advance(0.1)
			late := w.openFlow(chatRequest)
			w.receive(host, "UP 8\r\n", Open)
			w.advance(0.3)
			if w.written[open] != c.open || w.written[late] != c.late || w.written[waiting] != c.waitsFor || w.exited {
				t.Fatalf("told %q, %q and %q, exited %v", w.written[open], w.written[late], w.written[waiting], w.exited)
			}
			ping := w.accept()
			w.receive(ping, "PING\r\n", Ended)
			if w.written[ping] != "ERR\r\n" {
				t.Fatalf("ready while it leaves: %q", w.written[ping])
			}
			w.advance(1.3)
			if w.exited == c.stays {
				t.Fatalf("exited %v", w.exited)
			}
			if w.advance(0.7); w.exited == c.stays { // 2 s, the longest connect timeout, and the margin
				t.Fatalf("exited %v", w.exited)
			}
			if c.stays {
				if w.written[late] == "" {
					t.Fatal("a flow that was taken got no answer")
				}
				if late := w.openFlow(chatRequest); w.written[late] != "BUSY\r\n" {
					t.Fatalf("one that comes too late is told %q", w.written[late])
				}
				w.advance(5) // an exit would end what goes on elsewhere when the node is killed
				if w.exited || w.connectionState[open] != "" {
					t.Fatalf("exited %v, a held connection is %q", w.exited, w.connectionState[open])
				}
				w.receive(open, "", Broken)
				w.receive(waiting, "", Broken)
				if w.advance(0.1); !w.exited {
					t.Fatal("nothing is held, but it is still there")
				}
			}
		})
	}
}

// A SIGHUP or SIGTERM while the list is lost: a flow that waits still gets its one answer.
func TestSignalWhileDiscoveryIsOutLeavesFlowItsAnswer(t *testing.T) {
	for _, in := range []Input{DiscoveryMoved{}, Shutdown{}} {
		w := newHarness(t, "proxy", 1, 100)
		c := w.openFlow(chatRequest)
		w.apply(WatchFailed{Reason: "the end"})
		w.apply(in)
		w.receive(w.completeLastDial(), "UP 5\r\n", Open)
		if want := "UP 5\r\n"; !strings.HasPrefix(w.written[c], want) {
			t.Errorf("%T: told %q", in, w.written[c])
		}
	}
}
