package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// silenceCase is what happens after a client has sent a line that its host does not answer. Another client of the same
// host has sent nothing.
type silenceCase struct {
	name    string
	event   func(harness *testHarness, host, otherClient, otherHost ConnID)
	reasons []Reason // of the clients that are migrated, the one that waits first
}

var silenceCases = []silenceCase{
	{"the host answers a health check", func(harness *testHarness, _, _, _ ConnID) {
		for end := harness.now + 1; harness.now < end; harness.advance(0.01) {
			for _, check := range harness.healthChecks {
				if harness.connectionState[check] == "dialed" {
					harness.receive(harness.completeDial(check), "PONG\r\n", StreamOpen)
				}
			}
		}
	}, nil},
	{"the host is gone", func(harness *testHarness, _, _, _ ConnID) {
		harness.advance(1)
	}, []Reason{HostSilent, HostSilent}},
	{"the node was held up", func(harness *testHarness, host, _, _ ConnID) {
		harness.now += 2
		harness.apply(TimerFired{})
		harness.receive(host, "LOAD 9\r\n", StreamOpen)
		harness.advance(0.2)
	}, nil},
	{"one line waits", func(harness *testHarness, _, otherClient, otherHost ConnID) {
		for end := harness.now + connectionSilentAfter; harness.now < end; harness.advance(suspectAfter - 0.1) {
			if len(harness.records) > 0 {
				harness.Fatalf("ended too soon: %v", harness.endReasons())
			}
			harness.receive(otherClient, "M\r\n", StreamOpen)
			harness.receive(otherHost, "M\r\n", StreamOpen)
		}
		harness.advance(suspectAfter)
	}, []Reason{HostSilent}},
}

// A host that sends nothing on any connection loses all its flows, also those that sent it nothing. One line without an
// answer is no sign of that, nor is what came while the node itself was held up.
func TestSilentHostLosesAllItsFlows(t *testing.T) {
	for _, c := range silenceCases {
		t.Run(c.name, func(t *testing.T) {
			harness := newHarness(t, "proxy", 1, 100)
			client, host := harness.establish(chatRequest)
			otherClient, otherHost := harness.establish("a2 c=chat,t=acme,d=2000")
			harness.advance(0.1)
			harness.receive(client, "M\r\n", StreamOpen)
			c.event(harness, host, otherClient, otherHost)
			for i, conn := range []ConnID{client, otherClient} {
				migrated := strings.HasSuffix(harness.written[conn], "MOVE\r\n")
				if migrated != (i < len(c.reasons)) {
					t.Errorf("sent %q", harness.written[conn])
				}
			}
			harness.advance(lingerTimeout + 0.1)
			if !slices.Equal(harness.endReasons(), c.reasons) {
				t.Errorf("reasons %v, wanted %v", harness.endReasons(), c.reasons)
			}
		})
	}
}

// A line that is answered after half a second is a sign of an overloaded host, unless this node was held up meanwhile.
func TestOwnLagIsNotBlamedOnHost(t *testing.T) {
	for _, heldUp := range []bool{false, true} {
		t.Run(fmt.Sprintf("node held up %v", heldUp), func(t *testing.T) {
			harness := newHarness(t, "proxy", 1, 100)
			client, host := harness.establish(chatRequest)
			harness.receive(client, "M\r\n", StreamOpen)
			if heldUp {
				harness.now += 0.5
			} else {
				harness.advance(0.5)
			}
			harness.receive(host, "M\r\n", StreamOpen)
			harness.advance(0.1)
			harness.openFlow(chatRequest)
			takesNoNewFlow := len(harness.flowDials) == 1
			if takesNoNewFlow == heldUp {
				t.Errorf("%d dials", len(harness.flowDials))
			}
		})
	}
}
