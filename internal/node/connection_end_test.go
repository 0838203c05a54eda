package node

import (
	"strings"
	"testing"
)

// How each side's end reaches the other, and what is passed on before.
func TestEndOfOneSideReachesTheOther(t *testing.T) {
	long := strings.Repeat("z", 4000) + "\r\n"
	cases := []struct {
		name     string
		do       func(w *testHarness, c, h Conn)
		toClient string // after the receipt
		toHost   string // after the first line
		c, h     string // how each side's connection ends
		reason   Reason
	}{
		{"served", func(w *testHarness, c, h Conn) { w.receive(c, "M 1\r\n", Open); w.receive(h, "M 1\r\nBYE\r\n", Ended) },
			"M 1\r\nBYE\r\n", "M 1\r\n", "shut", "closed", Served},
		{"sent away by its host", func(w *testHarness, c, h Conn) { w.receive(h, "MOVE\r\n", Ended) },
			"MOVE\r\n", "", "shut", "closed", MigratedByHost},
		{"host resets", func(w *testHarness, c, h Conn) { w.receive(h, "M 2\r\nM", Broken) }, "M 2\r\n", "", "reset",
			"closed", HostReset},
		{"host ends without a word", func(w *testHarness, c, h Conn) { w.receive(h, "", Ended) }, "", "", "shut", "closed",
			HostEnded},
		{"host says bye but stays", func(w *testHarness, c, h Conn) { w.receive(h, "BYE\r\n", Open); w.advance(1.01) },
			"BYE\r\n", "", "shut", "closed", Served},
		{"client ends, host answers", func(w *testHarness, c, h Conn) {
			w.receive(c, "M 1\r\n", Ended)
			if w.connectionState[h] != "shut" {
				w.Fatalf("the host's side is %q", w.connectionState[h])
			}
			w.receive(h, "M 1\r\n", Open)
			w.receive(h, "BYE\r\n", Ended)
		}, "M 1\r\nBYE\r\n", "M 1\r\n", "closed", "closed", ClientEnded},
		{"client ends, host does not", func(w *testHarness, c, h Conn) { w.receive(c, "", Ended); w.advance(hostEndTimeout + 0.1) },
			"", "", "closed", "closed", ClientEnded},
		{"client resets", func(w *testHarness, c, h Conn) { w.receive(c, "", Broken) }, "", "", "closed", "reset",
			ClientReset},
		{"joined and partial lines", func(w *testHarness, c, h Conn) {
			w.receive(c, "A\r\nB\r\nC", Open)
			w.receive(c, "D\r\n", Open)
			w.receive(h, "LOAD 5\r\nX", Open)
			w.receive(h, "Y\r\nBYE\r\n", Ended)
		}, "LOAD 5\r\nXY\r\nBYE\r\n", "A\r\nB\r\nCD\r\n", "shut", "closed", Served},
		{"more than a ring holds", func(w *testHarness, c, h Conn) {
			for range 5 {
				w.receive(c, long, Open)
				w.receive(h, long, Open)
			}
			w.receive(h, "BYE\r\n", Ended)
		}, strings.Repeat(long, 5) + "BYE\r\n", strings.Repeat(long, 5), "shut", "closed", Served},
		{"over-long from the client", func(w *testHarness, c, h Conn) { w.receive(c, strings.Repeat("q", 4097), Open) },
			"", "", "shut", "reset", ClientProtocolError},
		{"over-long from the host", func(w *testHarness, c, h Conn) { w.receive(h, strings.Repeat("q", 4097), Open) },
			"", "", "shut", "reset", HostProtocolError},
		{"host is silent while a line waits", func(w *testHarness, c, h Conn) {
			w.receive(c, "M 1\r\n",
				Open)
			w.advance(suspectAfter + confirmTimeout + 0.1)
		},
			"MOVE\r\n", "M 1\r\n", "shut", "closed", HostSilent},
		{"host is silent in the midst of a line", func(w *testHarness, c, h Conn) {
			w.receive(c, "M 1\r\n", Open)
			w.advance(0.1)
			w.receive(h, "M", Open)
			w.advance(connectionSilentAfter + confirmTimeout + 0.1)
		}, "MOVE\r\n", "M 1\r\n", "shut", "closed", HostSilent},
		{"writes to the client fail", func(w *testHarness, c, h Conn) {
			w.blocked[c] = true
			w.receive(h, "M 1\r\n", Open)
			w.apply(WriteDone{c, 0, true})
			w.advance(failedWriteGrace + 0.05)
		}, "", "", "closed", "reset", ClientReset},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newHarness(t, "proxy", 3, 100)
			client, host := w.establish(chatRequest)
			first := w.written[host]
			c.do(w, client, host)
			if got := strings.TrimPrefix(w.written[client], "UP 77\r\n"); got != c.toClient {
				t.Errorf("the client got %.60q, wanted %.60q", got, c.toClient)
			}
			if got := strings.TrimPrefix(w.written[host], first); got != c.toHost {
				t.Errorf("the host got %.60q, wanted %.60q", got, c.toHost)
			}
			if w.connectionState[client] != c.c || w.connectionState[host] != c.h {
				t.Errorf("client's side %q, host's side %q, wanted %q and %q", w.connectionState[client], w.connectionState[host], c.c, c.h)
			}
			w.checkReleased()
			if got := w.endReasons(); len(got) != 1 || got[0] != c.reason {
				t.Errorf("reasons %v, wanted %s", got, c.reason)
			}
		})
	}
}

// A stream that its host ends in good order is no sign of a jam there; one that breaks is.
func TestOrderlyEndIsNoSignOfOverload(t *testing.T) {
	for end, again := range map[End]bool{Ended: true, Broken: false} {
		w := newHarness(t, "proxy", 1, 100)
		_, host := w.establish(chatRequest)
		w.receive(host, "", end)
		w.advance(0.1)
		if w.openFlow(chatRequest); (len(w.flowDials) == 2) != again {
			t.Errorf("end %d: %d dials", end, len(w.flowDials))
		}
	}
}
