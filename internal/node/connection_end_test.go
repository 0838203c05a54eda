package node

import (
	"fmt"
	"strings"
	"testing"
)

// connectionEnd is a way in which an established connection ends.
type connectionEnd struct {
	name        string
	event       func(harness *testHarness, client, host ConnID)
	toClient    string // what the client is sent after the receipt
	toHost      string // what the host is sent after the opening line
	clientState string // final state of each connection
	hostState   string
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
	{"host ends without announcing it", func(harness *testHarness, _, host ConnID) {
		harness.receive(host, "", StreamEnded)
	}, "", "", "write closed", "closed", HostEnded},
	{"host announces its end but does not end", func(harness *testHarness, _, host ConnID) {
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
	{"client ends, host answers", func(harness *testHarness, client, host ConnID) {
		harness.receive(client, "M 1\r\n", StreamEnded)
		if harness.connectionState[host] != "write closed" {
			harness.Fatalf("the host's connection is %q", harness.connectionState[host])
		}
		harness.receive(host, "M 1\r\n", StreamOpen)
		harness.receive(host, "BYE\r\n", StreamEnded)
	}, "M 1\r\nBYE\r\n", "M 1\r\n", "closed", "closed", ClientEnded},
	{"client ends, host does not", func(harness *testHarness, client, _ ConnID) {
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
	{"joined and partial lines", func(harness *testHarness, client, host ConnID) {
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

// If the end of one connection did not reach the other, a peer would wait on a dead flow; if it came too early, the last
// lines would be lost. The end of one side ends the other in the same way, after the whole lines sent before it.
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
		t.Errorf("the client was sent %.60q, wanted %.60q", got, c.toClient)
	}
	if got := strings.TrimPrefix(harness.written[host], first); got != c.toHost {
		t.Errorf("the host was sent %.60q, wanted %.60q", got, c.toHost)
	}
	clientState, hostState := harness.connectionState[client], harness.connectionState[host]
	if clientState != c.clientState || hostState != c.hostState {
		t.Errorf("client's connection %q, host's connection %q, wanted %q and %q", clientState, hostState, c.clientState,
			c.hostState)
	}
	harness.checkReleased()
	if got := harness.endReasons(); len(got) != 1 || got[0] != c.reason {
		t.Errorf("reasons %v, wanted %s", got, c.reason)
	}
}

// A host that ends its flows in order would get no new ones if each end counted as an overload. Only a broken connection
// keeps the balancer from sending the next flow to the host.
func TestOnlyBrokenConnectionCountsAsOverload(t *testing.T) {
	for end, usedAgain := range map[StreamState]bool{StreamEnded: true, StreamBroken: false} {
		t.Run(fmt.Sprintf("end %d", end), func(t *testing.T) {
			harness := newHarness(t, "proxy", 1, 100)
			_, host := harness.establish(chatRequest)
			harness.receive(host, "", end)
			harness.advance(0.1)
			harness.openFlow(chatRequest)
			if (len(harness.flowDials) == 2) != usedAgain {
				t.Errorf("%d dials, wanted the host to be used again %v", len(harness.flowDials), usedAgain)
			}
		})
	}
}
