package node

import (
	"strings"
	"testing"
)

// A client's first line, or the end that comes in its place, decides its answer and the reason in the log.
func TestOpeningLineIsAnswered(t *testing.T) {
	tooLong := "OPEN 1 a1 c=chat,d=5,x=" + strings.Repeat("x", 4090) + "\r\n"
	for _, c := range []struct {
		name   string
		text   string
		end    End
		reply  string
		reason Reason
	}{
		{"another word", "HELLO\r\n", Open, "ERR\r\n", BadLine},
		{"binary", "\x00\x01\xfe\n", Open, "ERR\r\n", BadLine},
		{"line too long", strings.Repeat("x", 9000), Open, "ERR\r\n", ClientProtocolError},
		{"line too long with an end", tooLong, Open, "ERR\r\n", ClientProtocolError},
		{"no timeout", "OPEN 1 a1 c=chat,t=acme\r\n", Open, "ERR\r\n", NoTimeout},
		{"unknown service type", "OPEN 1 a1 c=else,t=acme,d=5\r\n", Open, "ERR\r\n", UnknownType},
		{"open at an unknown host", "OPEN 1 a1 c=chat,t=acme,d=5,at=s-1\r\n", Open, "BUSY\r\n", UnknownHost},
		{"many opening lines at once", strings.Repeat("OPEN 1 a1 c=chat,t=acme,d=5\r\n", 200), Open, "ERR\r\n",
			ClientProtocolError},
		{"many readiness checks at once", strings.Repeat("PING\r\n", 400), Open,
			strings.Repeat("PONG\r\n", 11) + "ERR\r\n", ClientProtocolError},
		{"ready", "PING\r\nPING\r\n", Ended, "PONG\r\nPONG\r\n", ReadinessChecked},
		{"reset after the check", "PING\r\n", Broken, "PONG\r\n", ReadinessChecked},
		{"ended with nothing sent", "", Ended, "", NoLine},
		{"half a line", "OPEN 1", Ended, "", NoLine},
		{"reset with nothing sent", "", Broken, "", ClientReset},
	} {
		t.Run(c.name, func(t *testing.T) {
			harness := newHarness(t, "proxy", 2, 100)
			client := harness.accept()
			harness.receive(client, c.text, c.end)
			if harness.written[client] != c.reply || len(harness.flowDials) > 0 {
				t.Fatalf("sent %q with %d dials, wanted %q", harness.written[client], len(harness.flowDials), c.reply)
			}
			harness.checkReleased()
			if got := harness.endReasons(); len(got) != 1 || got[0] != c.reason {
				t.Fatalf("reasons %v, wanted %s", got, c.reason)
			}
		})
	}
}

// A client whose opening line does not come in time is rejected, and what it sends after that is no flow.
func TestClientWithoutOpeningLineIsRejected(t *testing.T) {
	for text, reason := range map[string]Reason{"": NoLine, "OPEN 1 a1": NoLine, "PING\r\n": ReadinessChecked} {
		t.Run("no line in time after "+text, func(t *testing.T) {
			harness := newHarness(t, "proxy", 2, 100)
			client := harness.accept()
			harness.receive(client, text, Open)
			harness.advance(1)
			if len(harness.records) != 0 || harness.connectionState[client] != "" {
				t.Fatal("ended too soon")
			}
			harness.advance(1.5) // within the three seconds in which an end is owed
			state := harness.connectionState[client]
			if !strings.HasSuffix(harness.written[client], "BUSY\r\n") || state != "write closed" {
				t.Fatalf("sent %q, and the client's side is %q", harness.written[client], state)
			}
			harness.receive(client, "OPEN 2 a1 c=chat,t=acme,d=500\r\n", Open) // before it has seen the end
			if len(harness.flowDials) > 0 || len(harness.node.flows.byIndex) > 0 {
				t.Fatal("what came after the end was taken for a flow")
			}
			harness.advance(1)
			if got := harness.endReasons(); len(got) != 1 || got[0] != reason {
				t.Fatalf("reasons %v", got)
			}
		})
	}
}

// A client that sends much without waiting for its answer is ended.
func TestClientInputWithoutAnswerIsLimited(t *testing.T) {
	t.Run("after the final answer", func(t *testing.T) {
		harness := newHarness(t, "proxy", 2, 100)
		client := harness.accept()
		harness.receive(client, "HELLO\r\n", Open)
		harness.receive(client, strings.Repeat("x", 60000), Open)
		if harness.connectionState[client] != "reset" {
			t.Fatalf("the client's side is %q", harness.connectionState[client])
		}
		harness.checkReleased()
	})
	t.Run("before the answer", func(t *testing.T) {
		harness := newHarness(t, "proxy", 2, 100)
		client := harness.openFlow(chatRequest)
		host := harness.completeLastDial()
		harness.receive(client, strings.Repeat("x", bufferSize), Open)
		if harness.connectionState[host] != "closed" || harness.written[client] != "ERR\r\n" {
			t.Fatalf("the host's side is %q, the client was sent %q", harness.connectionState[host],
				harness.written[client])
		}
		harness.checkReleased()
	})
}

// A tenant that the settings do not have is served, without a quota.
func TestUnknownTenantIsServed(t *testing.T) {
	harness := newHarness(t, "proxy", 2, 100)
	harness.establish("a1 c=chat,t=nobody,d=2000")
}
