package node

import (
	"fmt"
	"testing"
)

// A host taken out by hand gets nothing more from the answer on; a name that was never listed leaves no trace.
func TestAdministrativelyDisabledHostGetsNoFlow(t *testing.T) {
	harness := newHarness(t, "pass", 2, 100)
	if a := harness.query(DisableHost, "s-00000065"); !a.OK {
		t.Fatal("a listed host is not known")
	}
	for range 30 {
		c := harness.openFlow(fmt.Sprintf("%x c=chat,d=900", harness.lastAccepted))
		if h := harness.flowDials[len(harness.flowDials)-1]; harness.dialedAddress[h] != "h0" {
			t.Fatalf("sent to %s", harness.dialedAddress[h])
		}
		harness.receive(c, "", Ended)
	}
	if f := harness.query(GetFigures, "").Figures; f.Listed != 2 || f.Unavailable != 1 {
		t.Errorf("%d listed, %d avoided", f.Listed, f.Unavailable)
	}
	for i := range 50 {
		if harness.query(DisableHost, fmt.Sprint("s-none", i)).OK || harness.query(EnableHost, fmt.Sprint("s-none", i)).OK {
			t.Fatal("a host never listed is known")
		}
	}
	if len(harness.node.endpoints.hosts) != 2 || len(harness.node.endpoints.byName) != 2 {
		t.Errorf("%d hosts kept", len(harness.node.endpoints.hosts))
	}
	harness.apply(ListReceived{hostList(1)}) // one that has left the list is known all the same
	if !harness.query(EnableHost, "s-00000065").OK {
		t.Error("a host that was listed is not known")
	}
	if !harness.query(IsReady, "").OK {
		t.Error("not ready")
	}
	harness.apply(Shutdown{})
	if harness.query(IsReady, "").OK {
		t.Error("ready though it leaves")
	}
}
