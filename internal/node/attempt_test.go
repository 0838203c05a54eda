package node

import (
	"errors"
	"strings"
	"testing"
)

// Each way in which a connect can end, and whether a once-only flow may go to another host after it.
func TestAttemptOutcomeDecidesRetry(t *testing.T) {
	text := func(s string, end End) func(*testHarness, Conn) {
		return func(w *testHarness, h Conn) { w.completeLastDial(); w.receive(h, s, end) }
	}
	cases := []struct {
		name  string
		event func(*testHarness, Conn)
		again bool // it never ran: a further connect
		says  string
	}{
		{"up", text("UP 9\r\n", Open), false, "UP 9\r\n"},
		{"served to its end before it was up", text("BYE\r\n", Ended), false, "ERR\r\n"},
		{"sent away by a draining host", text("MOVE\r\n", Ended), false, "ERR\r\n"},
		{"error", text("ERR\r\n", Open), false, "ERR\r\n"},
		{"turned away", text("BUSY\r\n", Open), true, ""},
		{"turned away with a time", text("BUSY 50\r\n", Ended), true, ""},
		{"not understood", text("SYNTAX\r\n", Ended), false, "ERR\r\n"},
		{"odd", text("\x00\xff\r\n", Open), false, "ERR\r\n"},
		{"over-long", text(strings.Repeat("x", 5000), Open), false, "ERR\r\n"},
		{"refused", failDial, true, ""},
		{"the node itself lacks a descriptor", func(w *testHarness, h Conn) {
			w.connectionState[h] = "failed"
			if w.apply(Dialed{h, errors.New("too many"), true}); w.node.balancer.Release(0) {
				w.Fatal("the flow is over")
			}
		}, true, ""},
		{"never comes up", func(w *testHarness, h Conn) { w.advance(0.3); w.apply(TimerFired{}); failDial(w, h) }, true, ""},
		{"broken before the last byte", func(w *testHarness, h Conn) {
			w.blocked[h] = true
			w.completeLastDial()
			w.apply(WriteDone{h, 7, true})
			w.receive(h, "", Broken)
		}, true, ""},
		{"broken after the last byte", text("", Broken), false, "ERR\r\n"},
		{"ended after the last byte", text("", Ended), false, "ERR\r\n"},
		{"half an answer", text("UP 9", Ended), false, "ERR\r\n"},
		{"nothing", func(w *testHarness, h Conn) { w.completeLastDial(); w.advance(2) }, false, "ERR\r\n"},
		{"a byte at a time that never ends", func(w *testHarness, h Conn) {
			w.completeLastDial()
			for range 25 {
				if w.advance(0.1); w.pendingReads[h] != nil {
					w.receive(h, "x", Open)
				}
			}
		}, false, "ERR\r\n"},
		{"nothing, and not even the line was taken", func(w *testHarness, h Conn) {
			w.blocked[h] = true
			w.completeLastDial()
			w.advance(1.995)
		}, false, "BUSY "},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newHarness(t, "proxy", 4, 100)
			client := w.openFlow(orderRequest)
			c.event(w, w.flowDials[0])
			if again := len(w.flowDials) > 1; again != c.again {
				t.Fatalf("a further connect %v, wanted %v; the client was told %q", again, c.again, w.written[client])
			}
			if got := w.written[client]; got != c.says && (c.says != "BUSY " || !strings.HasPrefix(got, c.says)) {
				t.Fatalf("the client was told %q, wanted %q", got, c.says)
			}
			if c.again && w.connectionState[w.flowDials[0]] != "closed" && w.connectionState[w.flowDials[0]] != "reset" {
				t.Fatalf("two connects are out: the first is %q", w.connectionState[w.flowDials[0]])
			}
		})
	}
}

// A first line goes on unchanged but for the time; the way to a further host says how long that one has.
func TestOpeningLineIsForwardedWithRemainingTime(t *testing.T) {
	w := newHarness(t, "proxy", 3, 100)
	w.openFlow(chatRequest + ",g=5c,r=1,zz=1")
	h := w.completeLastDial()
	if want := "OPEN 1003 a1 c=chat,t=acme,d=993,g=5c,r=1,zz=1\r\n"; !strings.HasPrefix(w.written[h],
		"OPEN 1003 a1 c=chat,t=acme,d=99") ||
		len(w.written[h]) != len(want) || !strings.HasSuffix(w.written[h], ",g=5c,r=1,zz=1\r\n") {
		t.Fatalf("the host was told %q", w.written[h])
	}
	w.advance(1.2)
	if second := w.completeLastDial(); second == h || w.connectionState[h] != "closed" || w.dialedAddress[second] == w.dialedAddress[h] {
		t.Fatalf("a silent host is given up for another: %v, first %s", w.flowDials, w.connectionState[h])
	}
}

// A client that is gone before its answer: nothing is left out for it.
func TestClientThatLeavesCancelsItsAttempt(t *testing.T) {
	for _, end := range []End{Ended, Broken} {
		w := newHarness(t, "proxy", 3, 100)
		client := w.openFlow(orderRequest)
		host := w.completeLastDial()
		w.receive(client, "", end)
		if w.connectionState[host] != "closed" || w.written[client] != "" || len(w.flowDials) != 1 {
			t.Fatalf("the host's side is %q, the client was told %q, %d dials", w.connectionState[host], w.written[client],
				len(w.flowDials))
		}
		w.checkReleased()
		if got := w.endReasons(); len(got) != 1 || got[0] != ClientLeft {
			t.Fatalf("reasons %v", got)
		}
	}
}

// A connection that was open before goes on at its host, and the module hears of it.
func TestRestoredFlowStaysAtItsHost(t *testing.T) {
	for _, c := range []struct {
		name   string
		event  func(w *testHarness, h Conn)
		says   string
		reason Reason
	}{
		{"taken up", func(w *testHarness, h Conn) { w.completeLastDial(); w.receive(h, "UP 5\r\n", Open) }, "UP 5\r\n", ""},
		{"refused", failDial, "BUSY\r\n", NotRestored},
		{"error", func(w *testHarness, h Conn) { w.completeLastDial(); w.receive(h, "ERR\r\n", Open) }, "ERR\r\n", NotRestored},
		{"nothing", func(w *testHarness, h Conn) { w.completeLastDial(); w.advance(2.1) }, "ERR\r\n", NotRestored},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newHarness(t, "pass", 5, 100)
			client := w.openFlow(chatRequest + ",at=s-00000067")
			if len(w.flowDials) != 1 || w.dialedAddress[w.flowDials[0]] != "h3" {
				t.Fatalf("dialed %v", w.dialedAddress)
			}
			c.event(w, w.flowDials[0])
			if w.written[client] != c.says || len(w.flowDials) != 1 {
				t.Fatalf("told %q after %d dials, wanted %q", w.written[client], len(w.flowDials), c.says)
			}
			if c.reason == "" {
				w.receive(w.flowDials[0], "BYE\r\n", Ended)
				c.reason = Served
			}
			w.checkReleased()
			if got := w.endReasons(); len(got) != 1 || got[0] != c.reason {
				t.Fatalf("reasons %v, wanted %s", got, c.reason)
			}
		})
	}
}

// A client that goes while its flow waits gets no attempt, first or further, also where its going is seen only by the
// socket, behind bytes that are not read yet; the one that is out is given up, and its descriptor freed.
func TestClientGoneEndsItsAttempts(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(w *testHarness, h Conn)
	}{
		{"while it is dialed", func(w *testHarness, h Conn) {}},
		{"while the host says nothing", func(w *testHarness, h Conn) { w.completeDial(h) }},
	} {
		w := newHarness(t, "proxy", 3, 100)
		client := w.openFlow(chatRequest)
		h := w.flowDials[0]
		c.before(w, h)
		w.apply(ClientGone{client})
		if w.connectionState[h] != "closed" || w.connectionState[client] != "closed" || len(w.flowDials) != 1 {
			t.Errorf("%s: the host's side is %q, the client's %q, after %d dials", c.name, w.connectionState[h], w.connectionState[client], len(w.flowDials))
		}
		w.apply(ClientGone{client}) // seen twice
		w.advance(5)
		if got := w.endReasons(); len(got) != 1 || got[0] != ClientLeft || len(w.flowDials) != 1 {
			t.Errorf("%s: reasons %v after %d dials", c.name, got, len(w.flowDials))
		}
		w.checkReleased()
	}
	w := newHarness(t, "proxy", 3, 100)
	client, host := w.establish(chatRequest)
	if w.apply(ClientGone{client}); w.connectionState[client] != "" || w.connectionState[host] != "" { // its last lines are still to be passed on
		t.Error("an established connection was cut off")
	}
}
