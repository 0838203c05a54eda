package node

import (
	"strings"
	"testing"
)

// connectionEnd is a way in which an established connection ends.
type connectionEnd struct {
	name        string
	event       func(harness *testHarness, client, host ConnID)
	toClient    string // what the client is sent after the UP line
	toHost      string // what the host is sent after the opening line
	clientState string // final state of the client's connection
	hostState   string // final state of the host's connection
	reason      Reason
}

var longLine = strings.Repeat("z", 4000) + "\r\n"

var hostEnds = []connectionEnd{
	{"served", func(harness *testHarness, client, host ConnID) {
		harness.receive(client, "M 1\r\n", StreamOpen)
		harness.receive(host, "M 1\r\nBYE\r\n", StreamEnded)
	}, "M 1\r\nBYE\r\n", "M 1\r\n", "write closed", "closed", Served},
	{"migrated by its host", func(harness *testHarness, _, host ConnID) {
		harness.receive(host, "MOVE\r\n", StreamEnded)
	}, "MOVE\r\n", "", "write closed", "closed", MigratedByHost},
	{"host resets", func(harness *testHarness, _, host ConnID) {
		harness.receive(host, "M 2\r\nM", StreamBroken)
	}, "M 2\r\n", "", "reset", "closed", HostReset},
	{"host closes without BYE", func(harness *testHarness, _, host ConnID) {
		harness.receive(host, "", StreamEnded)
	}, "", "", "write closed", "closed", HostEnded},
	{"host sends BYE but does not close", func(harness *testHarness, _, host ConnID) {
		harness.receive(host, "BYE\r\n", StreamOpen)
		harness.advance(1.01)
	}, "BYE\r\n", "", "write closed", "closed", Served},
	{"line too long from the host", func(harness *testHarness, _, host ConnID) {
		harness.receive(host, strings.Repeat("q", 4097), StreamOpen)
	}, "", "", "write closed", "reset", HostProtocolError},
	{"host is silent while a line is unanswered", func(harness *testHarness, client, _ ConnID) {
		harness.receive(client, "M 1\r\n", StreamOpen)
		harness.advance(suspectAfter + confirmTimeout + 0.1)
	}, "MOVE\r\n", "M 1\r\n", "write closed", "closed", HostSilent},
	{"host is silent after part of a line", func(harness *testHarness, client, host ConnID) {
		harness.receive(client, "M 1\r\n", StreamOpen)
		harness.advance(0.1)
		harness.receive(host, "M", StreamOpen)
		harness.advance(connectionSilentAfter + confirmTimeout + 0.1)
	}, "MOVE\r\n", "M 1\r\n", "write closed", "closed", HostSilent},
}

var clientEnds = []connectionEnd{
	{"client closes, host answers and closes", func(harness *testHarness, client, host ConnID) {
		harness.receive(client, "M 1\r\n", StreamEnded)
		if harness.connectionState[host] != "write closed" {
			harness.Fatalf("the host's connection is %q, want %q", harness.connectionState[host], "write closed")
		}
		harness.receive(host, "M 1\r\n", StreamOpen)
		harness.receive(host, "BYE\r\n", StreamEnded)
	}, "M 1\r\nBYE\r\n", "M 1\r\n", "closed", "closed", ClientEnded},
	{"client closes, host stays open", func(harness *testHarness, client, _ ConnID) {
		harness.receive(client, "", StreamEnded)
		harness.advance(hostEndTimeout + 0.1)
	}, "", "", "closed", "closed", ClientEnded},
	{"client resets", func(harness *testHarness, client, _ ConnID) {
		harness.receive(client, "", StreamBroken)
	}, "", "", "closed", "reset", ClientReset},
	{"line too long from the client", func(harness *testHarness, client, _ ConnID) {
		harness.receive(client, strings.Repeat("q", 4097), StreamOpen)
	}, "", "", "write closed", "reset", ClientProtocolError},
	{"writes to the client fail", func(harness *testHarness, client, host ConnID) {
		harness.blocked[client] = true
		harness.receive(host, "M 1\r\n", StreamOpen)
		harness.apply(WriteDone{client, 0, true})
		harness.advance(failedWriteGrace + 0.05)
	}, "", "", "closed", "reset", ClientReset},
}

var forwardedBeforeEnd = []connectionEnd{
	{"several lines in one read, one line in two reads", func(harness *testHarness, client, host ConnID) {
		harness.receive(client, "A\r\nB\r\nC", StreamOpen)
		harness.receive(client, "D\r\n", StreamOpen)
		harness.receive(host, "LOAD 5\r\nX", StreamOpen)
		harness.receive(host, "Y\r\nBYE\r\n", StreamEnded)
	}, "LOAD 5\r\nXY\r\nBYE\r\n", "A\r\nB\r\nCD\r\n", "write closed", "closed", Served},
	{"more than a buffer holds", func(harness *testHarness, client, host ConnID) {
		for range 5 {
			harness.receive(client, longLine, StreamOpen)
			harness.receive(host, longLine, StreamOpen)
		}
		harness.receive(host, "BYE\r\n", StreamEnded)
	}, strings.Repeat(longLine, 5) + "BYE\r\n", strings.Repeat(longLine, 5), "write closed", "closed", Served},
}

// If the node did not end the other connection of a flow after one has ended, the other peer would wait on a dead flow. If
// it ended the other connection too early, the last lines would be lost. The end of one side ends the other, after the
// whole lines that were sent before the end.
func TestEndOfOneSideReachesTheOther(t *testing.T) {
	for _, cases := range [][]connectionEnd{hostEnds, clientEnds, forwardedBeforeEnd} {
		for _, c := range cases {
			t.Run(c.name, func(t *testing.T) { checkConnectionEnd(t, c) })
		}
	}
}

func checkConnectionEnd(t *testing.T, c connectionEnd) {
	t.Helper()
	harness := newHarness(t, "proxy", 3, 100)
	client, host := harness.establish(chatRequest)
	first := harness.written[host]
	c.event(harness, client, host)
	if got := strings.TrimPrefix(harness.written[client], "UP 77\r\n"); got != c.toClient {
		t.Errorf("the client was sent %.60q, want %.60q", got, c.toClient)
	}
	if got := strings.TrimPrefix(harness.written[host], first); got != c.toHost {
		t.Errorf("the host was sent %.60q, want %.60q", got, c.toHost)
	}
	clientState, hostState := harness.connectionState[client], harness.connectionState[host]
	if clientState != c.clientState || hostState != c.hostState {
		t.Errorf("client's connection %q, host's connection %q, want %q and %q", clientState, hostState, c.clientState,
			c.hostState)
	}
	harness.checkReleased()
	if got := harness.endReasons(); len(got) != 1 || got[0] != c.reason {
		t.Errorf("reasons %v, want %s", got, c.reason)
	}
}

// If an orderly close by a host counted as a sign of overload, the host would get no new flows after each one that it ends.
// Only a reset counts, and keeps the balancer from sending the next flow to the host.
func TestOnlyBrokenConnectionCountsAsOverload(t *testing.T) {
	for _, c := range []struct {
		name      string
		end       StreamState
		usedAgain bool
	}{
		{"orderly close", StreamEnded, true},
		{"reset", StreamBroken, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			harness := newHarness(t, "proxy", 1, 100)
			_, host := harness.establish(chatRequest)
			harness.receive(host, "", c.end)
			harness.advance(0.1)
			harness.openFlow(chatRequest)
			if (len(harness.flowDials) == 2) != c.usedAgain {
				t.Errorf("%d dials, want 2 if and only if the host is to be used again: %v", len(harness.flowDials), c.usedAgain)
			}
		})
	}
}
