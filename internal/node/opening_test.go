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
		end    StreamState
		reply  string
		reason Reason
	}{
		{"another word", "HELLO\r\n", StreamOpen, "ERR\r\n", BadLine},
		{"binary", "\x00\x01\xfe\n", StreamOpen, "ERR\r\n", BadLine},
		{"line too long", strings.Repeat("x", 9000), StreamOpen, "ERR\r\n", ClientProtocolError},
		{"line too long with an end", tooLong, StreamOpen, "ERR\r\n", ClientProtocolError},
		{"no timeout", "OPEN 1 a1 c=chat,t=acme\r\n", StreamOpen, "ERR\r\n", NoTimeout},
		{"unknown service type", "OPEN 1 a1 c=else,t=acme,d=5\r\n", StreamOpen, "ERR\r\n", UnknownType},
		{"open at an unknown host", "OPEN 1 a1 c=chat,t=acme,d=5,at=s-1\r\n", StreamOpen, "BUSY\r\n", UnknownHost},
		{"many opening lines at once", strings.Repeat("OPEN 1 a1 c=chat,t=acme,d=5\r\n", 200), StreamOpen, "ERR\r\n",
			ClientProtocolError},
		{"many readiness checks at once", strings.Repeat("PING\r\n", 400), StreamOpen,
			strings.Repeat("PONG\r\n", 11) + "ERR\r\n", ClientProtocolError},
		{"ready", "PING\r\nPING\r\n", StreamEnded, "PONG\r\nPONG\r\n", ReadinessChecked},
		{"reset after the check", "PING\r\n", StreamBroken, "PONG\r\n", ReadinessChecked},
		{"ended with nothing sent", "", StreamEnded, "", NoLine},
		{"half a line", "OPEN 1", StreamEnded, "", NoLine},
		{"reset with nothing sent", "", StreamBroken, "", ClientReset},
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
			harness.receive(client, text, StreamOpen)
			harness.advance(1)
			if len(harness.records) != 0 || harness.connectionState[client] != "" {
				t.Fatal("ended too soon")
			}
			harness.advance(1.5) // within the three seconds in which an end is owed
			state := harness.connectionState[client]
			if !strings.HasSuffix(harness.written[client], "BUSY\r\n") || state != "write closed" {
				t.Fatalf("sent %q, and the client's side is %q", harness.written[client], state)
			}
			harness.receive(client, "OPEN 2 a1 c=chat,t=acme,d=500\r\n", StreamOpen) // before it has seen the end
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
		harness.receive(client, "HELLO\r\n", StreamOpen)
		harness.receive(client, strings.Repeat("x", 60000), StreamOpen)
		if harness.connectionState[client] != "reset" {
			t.Fatalf("the client's side is %q", harness.connectionState[client])
		}
		harness.checkReleased()
	})
	t.Run("before the answer", func(t *testing.T) {
		harness := newHarness(t, "proxy", 2, 100)
		client := harness.openFlow(chatRequest)
		host := harness.completeLastDial()
		harness.receive(client, strings.Repeat("x", bufferSize), StreamOpen)
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
