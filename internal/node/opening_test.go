package node

import (
	"strings"
	"testing"
)

// Clients and operators rely on a definite answer and reason for each invalid first line. The first line of a client, or
// the end of its stream instead of one, determines its answer and the reason in the log.
func TestOpeningLineIsAnswered(t *testing.T) {
	tooLong := "OPEN 1 a1 c=chat,d=5,x=" + strings.Repeat("x", 4090) + "\r\n"
	for _, c := range []struct {
		name   string
		text   string
		end    StreamState
		reply  string
		reason Reason
	}{
		{"unknown word", "HELLO\r\n", StreamOpen, "ERR\r\n", BadLine},
		{"binary", "\x00\x01\xfe\n", StreamOpen, "ERR\r\n", BadLine},
		{"line too long", strings.Repeat("x", 9000), StreamOpen, "ERR\r\n", ClientProtocolError},
		{"complete line that is too long", tooLong, StreamOpen, "ERR\r\n", ClientProtocolError},
		{"no timeout", "OPEN 1 a1 c=chat,t=acme\r\n", StreamOpen, "ERR\r\n", NoTimeout},
		{"unknown service type", "OPEN 1 a1 c=else,t=acme,d=5\r\n", StreamOpen, "ERR\r\n", UnknownType},
		{"open at an unknown host", "OPEN 1 a1 c=chat,t=acme,d=5,at=s-1\r\n", StreamOpen, "BUSY\r\n", UnknownHost},
		{"many opening lines at once", strings.Repeat("OPEN 1 a1 c=chat,t=acme,d=5\r\n", 200), StreamOpen, "ERR\r\n",
			ClientProtocolError},
		{"many readiness checks at once", strings.Repeat("PING\r\n", 400), StreamOpen,
			strings.Repeat("PONG\r\n", 11) + "ERR\r\n", ClientProtocolError},
		{"readiness checks", "PING\r\nPING\r\n", StreamEnded, "PONG\r\nPONG\r\n", ReadinessChecked},
		{"reset after the check", "PING\r\n", StreamBroken, "PONG\r\n", ReadinessChecked},
		{"ended without a line", "", StreamEnded, "", NoLine},
		{"ended after part of a line", "OPEN 1", StreamEnded, "", NoLine},
		{"reset without a line", "", StreamBroken, "", ClientReset},
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

// A client that sends its opening line too late could start a flow on a connection that the node is already ending. Such
// a client is rejected, and what it sends after that starts no flow.
func TestClientWithoutOpeningLineIsRejected(t *testing.T) {
	for text, reason := range map[string]Reason{"": NoLine, "OPEN 1 a1": NoLine, "PING\r\n": ReadinessChecked} {
		t.Run("no line in time after "+text, func(t *testing.T) {
			harness := newHarness(t, "proxy", 2, 100)
			client := harness.accept()
			harness.receive(client, text, StreamOpen)
			harness.advance(1)
			if len(harness.records) != 0 || harness.connectionState[client] != "" {
				t.Fatal("the connection ended too soon")
			}
			harness.advance(1.5) // the node must end the connection within three seconds
			state := harness.connectionState[client]
			if !strings.HasSuffix(harness.written[client], "BUSY\r\n") || state != "write closed" {
				t.Fatalf("the client was sent %q, and its connection is %q", harness.written[client], state)
			}
			harness.receive(client, "OPEN 2 a1 c=chat,t=acme,d=500\r\n", StreamOpen) // sent before the client sees the end
			if len(harness.flowDials) > 0 || len(harness.node.flows.byIndex) > 0 {
				t.Fatal("an opening line after the rejection started a flow")
			}
			harness.advance(1)
			if got := harness.endReasons(); len(got) != 1 || got[0] != reason {
				t.Fatalf("reasons %v, wanted %s", got, reason)
			}
		})
	}
}

// A client that keeps sending without waiting for its answer would take up the node's time, or hide its own disconnect
// behind a full buffer. Its connection is ended.
func TestClientInputWithoutAnswerIsLimited(t *testing.T) {
	t.Run("after the final answer", func(t *testing.T) {
		harness := newHarness(t, "proxy", 2, 100)
		client := harness.accept()
		harness.receive(client, "HELLO\r\n", StreamOpen)
		harness.receive(client, strings.Repeat("x", 60000), StreamOpen)
		if harness.connectionState[client] != "reset" {
			t.Fatalf("the client's connection is %q, wanted a reset", harness.connectionState[client])
		}
		harness.checkReleased()
	})
	t.Run("before the answer", func(t *testing.T) {
		harness := newHarness(t, "proxy", 2, 100)
		client := harness.openFlow(chatRequest)
		host := harness.completeLastDial()
		harness.receive(client, strings.Repeat("x", bufferSize), StreamOpen)
		if harness.connectionState[host] != "closed" || harness.written[client] != "ERR\r\n" {
			t.Fatalf("the host's connection is %q, the client was sent %q", harness.connectionState[host],
				harness.written[client])
		}
		harness.checkReleased()
	})
}

// Clients of a new tenant must not fail until the settings name it. A tenant that is not in the settings is served,
// without a quota.
func TestUnknownTenantIsServed(t *testing.T) {
	harness := newHarness(t, "proxy", 2, 100)
	harness.establish("a1 c=chat,t=nobody,d=2000")
}
