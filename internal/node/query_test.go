package node

import (
	"fmt"
	"testing"
)

// Operators take a host down once the node has confirmed that it is disabled. From the reply on, the host gets no flow.
func TestAdministrativelyDisabledHostGetsNoFlow(t *testing.T) {
	harness := newHarness(t, "pass", 2, 100)
	if !harness.query(DisableHost, "s-00000065").OK {
		t.Fatal("a listed host is unknown")
	}
	for range 30 {
		client := harness.openFlow(fmt.Sprintf("%x c=chat,d=900", harness.lastAccepted))
		dial := harness.flowDials[len(harness.flowDials)-1]
		if harness.dialedAddress[dial] != "h0" {
			t.Fatalf("a flow was sent to %s, wanted h0", harness.dialedAddress[dial])
		}
		harness.receive(client, "", StreamEnded)
	}
	if f := harness.query(GetStatistics, "").Statistics; f.Listed != 2 || f.Unavailable != 1 {
		t.Errorf("%d listed, %d unavailable", f.Listed, f.Unavailable)
	}
	harness.apply(ListReceived{hostList(1)}) // a host that is no longer listed stays known
	if !harness.query(EnableHost, "s-00000065").OK {
		t.Error("a host that was listed before is unknown")
	}
}

// Queries with mistyped names would fill the memory if each name were stored. Names that were never listed are not kept.
func TestUnknownHostIsNotKept(t *testing.T) {
	harness := newHarness(t, "pass", 2, 100)
	for i := range 50 {
		name := fmt.Sprint("s-none", i)
		if harness.query(DisableHost, name).OK || harness.query(EnableHost, name).OK {
			t.Fatal("a host that was never listed is known")
		}
	}
	if len(harness.node.endpoints.hosts) != 2 || len(harness.node.endpoints.byName) != 2 {
		t.Errorf("%d hosts kept", len(harness.node.endpoints.hosts))
	}
}

// Clients that are sent to a node which is about to exit are rejected. The node is not ready once a shutdown has begun.
func TestNotReadyDuringShutdown(t *testing.T) {
	harness := newHarness(t, "pass", 2, 100)
	if !harness.query(IsReady, "").OK {
		t.Error("not ready before the shutdown")
	}
	harness.apply(Shutdown{})
	if harness.query(IsReady, "").OK {
		t.Error("ready during the shutdown")
	}
}
