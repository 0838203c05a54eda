package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// silenceCase is an event after a client has sent a line that its host does not answer. Another client of the same host
// has sent nothing.
type silenceCase struct {
	name    string
	event   func(harness *testHarness, host, otherClient, otherHost ConnID)
	reasons []Reason // end reasons of the migrated clients, beginning with the one that waits for an answer
}

var silenceCases = []silenceCase{
	{"host answers a health check", func(harness *testHarness, _, _, _ ConnID) {
		for end := harness.now + 1; harness.now < end; harness.advance(0.01) {
			for _, check := range harness.healthChecks {
				if harness.connectionState[check] == "dialed" {
					harness.receive(harness.completeDial(check), "PONG\r\n", StreamOpen)
				}
			}
		}
	}, nil},
	{"host is silent on all connections", func(harness *testHarness, _, _, _ ConnID) {
		harness.advance(1)
	}, []Reason{HostSilent, HostSilent}},
	{"node itself was delayed", func(harness *testHarness, host, _, _ ConnID) {
		harness.now += 2
		harness.apply(TimerFired{})
		harness.receive(host, "LOAD 9\r\n", StreamOpen)
		harness.advance(0.2)
	}, nil},
	{"host is silent on one connection", func(harness *testHarness, _, otherClient, otherHost ConnID) {
		for end := harness.now + connectionSilentAfter; harness.now < end; harness.advance(suspectAfter - 0.1) {
			if len(harness.records) > 0 {
				harness.Fatalf("a connection ended too soon: %v", harness.endReasons())
			}
			harness.receive(otherClient, "M\r\n", StreamOpen)
			harness.receive(otherHost, "M\r\n", StreamOpen)
		}
		harness.advance(suspectAfter)
	}, []Reason{HostSilent}},
}

// Clients of a host that has failed would wait for seconds if each connection had to time out on its own. A host that
// sends nothing on any connection loses all its flows, also those that sent it nothing. Silence on a single connection,
// or while the node itself was delayed, does not count as the host's silence.
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
					t.Errorf("client %d was sent %q, wanted it migrated %v", i, harness.written[conn], i < len(c.reasons))
				}
			}
			harness.advance(lingerTimeout + 0.1)
			if !slices.Equal(harness.endReasons(), c.reasons) {
				t.Errorf("reasons %v, wanted %v", harness.endReasons(), c.reasons)
			}
		})
	}
}

// A node that is delayed itself measures long delays for all its hosts, and would avoid hosts that are not overloaded.
// An answer after half a second counts as an overload only if this node was not delayed in the meantime.
func TestOwnLagIsNotBlamedOnHost(t *testing.T) {
	for _, delayed := range []bool{false, true} {
		t.Run(fmt.Sprintf("node delayed %v", delayed), func(t *testing.T) {
			harness := newHarness(t, "proxy", 1, 100)
			client, host := harness.establish(chatRequest)
			harness.receive(client, "M\r\n", StreamOpen)
			if delayed {
				harness.now += 0.5
			} else {
				harness.advance(0.5)
			}
			harness.receive(host, "M\r\n", StreamOpen)
			harness.advance(0.1)
			harness.openFlow(chatRequest)
			hostAvoided := len(harness.flowDials) == 1
			if hostAvoided == delayed {
				t.Errorf("%d dials, wanted the host to be avoided %v", len(harness.flowDials), !delayed)
			}
		})
	}
}
