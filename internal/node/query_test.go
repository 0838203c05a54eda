package node

import (
	"fmt"
	"testing"
)

// A host taken out by hand gets nothing more from the answer on; a name that was never listed leaves no trace.
func TestAdministrativelyDisabledHostGetsNoFlow(t *testing.T) {
	w := newHarness(t, "pass", 2, 100)
	if a := w.query(DisableHost, "s-00000065"); !a.OK {
		t.Fatal("a listed host is not known")
	}
	for range 30 {
		c := w.openFlow(fmt.Sprintf("%x c=chat,d=900", w.lastAccepted))
		if h := w.flowDials[len(w.flowDials)-1]; w.dialedAddress[h] != "h0" {
			t.Fatalf("sent to %s", w.dialedAddress[h])
		}
		w.receive(c, "", Ended)
	}
	if f := w.query(GetFigures, "").Figures; f.Listed != 2 || f.Unavailable != 1 {
		t.Errorf("%d listed, %d avoided", f.Listed, f.Unavailable)
	}
	for i := range 50 {
		if w.query(DisableHost, fmt.Sprint("s-none", i)).OK || w.query(EnableHost, fmt.Sprint("s-none", i)).OK {
			t.Fatal("a host never listed is known")
		}
	}
	if len(w.node.endpoints.hosts) != 2 || len(w.node.endpoints.byName) != 2 {
		t.Errorf("%d hosts kept", len(w.node.endpoints.hosts))
	}
	w.apply(ListReceived{hostList(1)}) // one that has left the list is known all the same
	if !w.query(EnableHost, "s-00000065").OK {
		t.Error("a host that was listed is not known")
	}
	if !w.query(IsReady, "").OK {
		t.Error("not ready")
	}
	if w.apply(Shutdown{}); w.query(IsReady, "").OK {
		t.Error("ready though it leaves")
	}
}
