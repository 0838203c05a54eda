package node

import (
	"fmt"
	"strings"
	"testing"

	"gorseledge/internal/peers"
)

// newGossipHarness returns a harness with a node whose health checks return load reports, which it sends to other nodes.
func newGossipHarness(t *testing.T) *testHarness {
	t.Helper()
	text := strings.Replace(settingsJSON, `"probes":true,`, `"probes":true,"peers":true,`, 1)
	text = strings.Replace(text, `"parties"`, `"reporting":{"source":"on_probe","fields":["x0"]},"parties"`, 1)
	return newHarnessWith(t, text, "pass", 2, 100)
}

// A node gets a host's report only once a minute by its own health checks, so without gossip nodes would continue to send
// flows to an overloaded host. The load from one node's health check decides the placement of another node's flows.
func TestGossipedLoadAffectsPlacement(t *testing.T) {
	sender := newGossipHarness(t)
	receiver := newGossipHarness(t)
	for range 200 { // all hosts have been checked by the second round
		sender.advance(0.25)
		if len(sender.healthChecks) == 2 {
			break
		}
	}
	if len(sender.healthChecks) != 2 {
		t.Fatalf("%d health checks", len(sender.healthChecks))
	}
	loads := map[string]string{"h0": "0.9", "h1": "0.2"}
	for _, check := range sender.healthChecks {
		sender.completeDial(check)
		sender.receive(check, "PONG waiting=3 x0="+loads[sender.dialedAddress[check]]+"\r\n", StreamOpen)
	}
	sender.advance(0.25)
	if len(sender.gossip) != 1 || sender.gossip[0].Host != 100 || sender.gossip[0].Load != 0.9 {
		t.Fatalf("gossip %v", sender.gossip)
	}
	neverListed := peers.HostLoad{Host: 7, Load: 3}
	receiver.apply(GossipReceived{append(sender.gossip, neverListed)})
	for id := range 4 {
		receiver.openFlow(fmt.Sprintf("a%d c=chat,t=acme,d=2000", id))
	}
	for _, dial := range receiver.flowDials {
		if receiver.dialedAddress[dial] != "h1" {
			t.Errorf("a flow went to %s", receiver.dialedAddress[dial])
		}
	}
	if len(receiver.flowDials) != 4 || len(receiver.gossip) > 0 {
		t.Errorf("%d flows placed, %d received reports sent on", len(receiver.flowDials), len(receiver.gossip))
	}
}
