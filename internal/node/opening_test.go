package node

import (
	"strings"
	"testing"
)

// What a client gets for a first line, and the reason in the log.
func TestOpeningLineIsAnswered(t *testing.T) {
	cases := []struct {
		name, text string
		end        End
		says       string
		reason     Reason
	}{
		{"another word", "HELLO\r\n", Open, "ERR\r\n", BadLine},
		{"binary", "\x00\x01\xfe\n", Open, "ERR\r\n", BadLine},
		{"over-long", strings.Repeat("x", 9000), Open, "ERR\r\n", ClientProtocolError},
		{"over-long with an end", "OPEN 1 a1 c=chat,d=5,x=" + strings.Repeat("x", 4090) + "\r\n", Open, "ERR\r\n",
			ClientProtocolError},
		{"no timeout", "OPEN 1 a1 c=chat,t=acme\r\n", Open, "ERR\r\n", NoTimeout},
		{"unknown service type", "OPEN 1 a1 c=else,t=acme,d=5\r\n", Open, "ERR\r\n", UnknownType},
		{"open at an unknown host", "OPEN 1 a1 c=chat,t=acme,d=5,at=s-1\r\n", Open, "BUSY\r\n", UnknownHost},
		{"many first lines at once", strings.Repeat("OPEN 1 a1 c=chat,t=acme,d=5\r\n", 200), Open, "ERR\r\n",
			ClientProtocolError},
		{"many questions at once", strings.Repeat("PING\r\n", 400), Open,
			strings.Repeat("PONG\r\n", 11) + "ERR\r\n", ClientProtocolError},
		{"ready", "PING\r\nPING\r\n", Ended, "PONG\r\nPONG\r\n", ReadinessChecked},
		{"reset after the check", "PING\r\n", Broken, "PONG\r\n", ReadinessChecked},
		{"ended with nothing said", "", Ended, "", NoLine},
		{"half a line", "OPEN 1", Ended, "", NoLine},
		{"reset with nothing said", "", Broken, "", ClientReset},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newHarness(t, "proxy", 2, 100)
			conn := w.accept()
			w.receive(conn, c.text, c.end)
			if w.written[conn] != c.says || len(w.flowDials) > 0 {
				t.Fatalf("told %q with %d dials, wanted %q", w.written[conn], len(w.flowDials), c.says)
			}
			w.checkReleased()
			if got := w.endReasons(); len(got) != 1 || got[0] != c.reason {
				t.Fatalf("reasons %v, wanted %s", got, c.reason)
			}
		})
	}
	for text, reason := range map[string]Reason{"": NoLine, "OPEN 1 a1": NoLine, "PING\r\n": ReadinessChecked} {
		t.Run("no line in time after "+text, func(t *testing.T) {
			w := newHarness(t, "proxy", 2, 100)
			c := w.accept()
			w.receive(c, text, Open)
			if w.advance(1); len(w.records) != 0 || w.connectionState[c] != "" {
				t.Fatal("ended too soon")
			}
			w.advance(1.5) // within the three seconds in which an end is owed
			if !strings.HasSuffix(w.written[c], "BUSY\r\n") || w.connectionState[c] != "shut" {
				t.Fatalf("told %q, and the client's side is %q", w.written[c], w.connectionState[c])
			}
			w.receive(c, "OPEN 2 a1 c=chat,t=acme,d=500\r\n", Open) // in the moment of the end, which it has not seen yet
			if len(w.flowDials) > 0 || len(w.node.flows.byIndex) > 0 {
				t.Fatal("what came after the end was taken for a flow")
			}
			w.advance(1)
			if got := w.endReasons(); len(got) != 1 || got[0] != reason {
				t.Fatalf("reasons %v", got)
			}
		})
	}
	t.Run("much after the last words", func(t *testing.T) {
		w := newHarness(t, "proxy", 2, 100)
		c := w.accept()
		w.receive(c, "HELLO\r\n", Open)
		if w.receive(c, strings.Repeat("x", 60000), Open); w.connectionState[c] != "reset" {
			t.Fatalf("the client's side is %q", w.connectionState[c])
		}
		w.checkReleased()
	})
	t.Run("much before the answer", func(t *testing.T) {
		w := newHarness(t, "proxy", 2, 100)
		c := w.openFlow(chatRequest)
		h := w.completeLastDial()
		w.receive(c, strings.Repeat("x", bufferSize), Open)
		if w.connectionState[h] != "closed" || w.written[c] != "ERR\r\n" {
			t.Fatalf("the host's side is %q, the client was told %q", w.connectionState[h], w.written[c])
		}
		w.checkReleased()
	})
	t.Run("an unknown member is served", func(t *testing.T) {
		w := newHarness(t, "proxy", 2, 100)
		w.establish("a1 c=chat,t=nobody,d=2000")
	})
}
