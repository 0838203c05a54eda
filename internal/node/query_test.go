package node

import (
	"fmt"
	"testing"
)

// A host that an operator disables gets no flow from the reply on.
func TestAdministrativelyDisabledHostGetsNoFlow(t *testing.T) {
	harness := newHarness(t, "pass", 2, 100)
	if !harness.query(DisableHost, "s-00000065").OK {
		t.Fatal("a listed host is not known")
	}
	for range 30 {
		client := harness.openFlow(fmt.Sprintf("%x c=chat,d=900", harness.lastAccepted))
		dial := harness.flowDials[len(harness.flowDials)-1]
		if harness.dialedAddress[dial] != "h0" {
			t.Fatalf("sent to %s", harness.dialedAddress[dial])
		}
		harness.receive(client, "", StreamEnded)
	}
	if f := harness.query(GetStatistics, "").Statistics; f.Listed != 2 || f.Unavailable != 1 {
		t.Errorf("%d listed, %d unavailable", f.Listed, f.Unavailable)
	}
	harness.apply(ListReceived{hostList(1)}) // a host that has left the list is known all the same
	if !harness.query(EnableHost, "s-00000065").OK {
		t.Error("a host that was listed is not known")
	}
}

// Queries about names that were never listed leave no trace.
func TestUnknownHostIsNotKept(t *testing.T) {
	harness := newHarness(t, "pass", 2, 100)
	for i := range 50 {
		name := fmt.Sprint("s-none", i)
		if harness.query(DisableHost, name).OK || harness.query(EnableHost, name).OK {
			t.Fatal("a host never listed is known")
		}
	}
	if len(harness.node.endpoints.hosts) != 2 || len(harness.node.endpoints.byName) != 2 {
		t.Errorf("%d hosts kept", len(harness.node.endpoints.hosts))
	}
}

// The node is ready until a shutdown begins.
func TestNotReadyDuringShutdown(t *testing.T) {
	harness := newHarness(t, "pass", 2, 100)
	if !harness.query(IsReady, "").OK {
		t.Error("not ready")
	}
	harness.apply(Shutdown{})
	if harness.query(IsReady, "").OK {
		t.Error("ready although it shuts down")
	}
}
