package node

import (
	"fmt"
	"testing"

	"gorseledge/internal/line"
)

// Hosts answer the id of another client's flow with an error, which would count against them. Such an opening line is
// rejected without an attempt, whether the first flow is open or has ended, unless it has the flow's own client key.
func TestDuplicateFlowIDIsRejected(t *testing.T) {
	harness := newHarness(t, "pass", 3, 100)
	send := func(text string) ConnID {
		client := harness.accept()
		harness.receive(client, text+"\r\n", StreamOpen)
		return client
	}
	checkRejected := func(when, text string, dials int) {
		t.Helper()
		other := send(text)
		if harness.written[other] != "BUSY\r\n" || len(harness.flowDials) != dials {
			t.Fatalf("%s: sent %q, %d dials", when, harness.written[other], len(harness.flowDials))
		}
	}
	checkPlaced := func(what, text string, dials int) {
		t.Helper()
		send(text)
		if len(harness.flowDials) != dials {
			t.Fatalf("%s: %d dials", what, len(harness.flowDials))
		}
	}
	first := send("OPEN 7 a1 c=chat,t=acme,d=2000")
	checkRejected("during setup", "OPEN 7 b2 c=chat,t=acme,d=2000", 1)
	harness.receive(harness.completeLastDial(), "UP 77\r\n", StreamOpen)
	checkRejected("while open", "OPEN 7 b2 c=chat,t=acme,d=2000,mid=1", 1)
	checkPlaced("own packets on another route", "OPEN 7 a1 c=chat,t=acme,d=2000,mid=1", 2)
	harness.receive(harness.completeLastDial(), "BYE\r\n", StreamEnded)
	harness.receive(first, "", StreamBroken)
	checkRejected("after the end", "OPEN 7 b2 c=chat,t=acme,d=2000", 2)
	checkPlaced("same client again", "OPEN 7 a1 c=chat,t=acme,d=2000", 3)
	harness.receive(harness.completeLastDial(), "BYE\r\n", StreamEnded)
	harness.checkReleased()
	if len(harness.node.flows.ids.open) != 0 || harness.node.idle.len() != 0 {
		t.Fatalf("not released: ids %v, %d idle", harness.node.flows.ids.open, harness.node.idle.len())
	}
}

// The memory for ids would grow with every flow that ends. Only a bounded number of ids of ended flows is kept, and the
// oldest ones can be used by other clients again.
func TestEndedIDsAreBounded(t *testing.T) {
	ids := newFlowIDs()
	ids.rememberEnded("7", 0xa1)
	if !ids.conflicts(line.Opening{ID: "7", ClientKey: 0xb2}) {
		t.Fatal("the id of an ended flow does not conflict for another client")
	}
	if ids.conflicts(line.Opening{ID: "7", ClientKey: 0xa1}) {
		t.Fatal("the id of an ended flow conflicts for its own client")
	}
	for i := range 3 * maxEndedIDs {
		ids.remove(&flow{opening: line.Opening{ID: fmt.Sprint("later", i)}})
	}
	kept := ids.ended.Len()
	if kept > 2*maxEndedIDs || kept != len(ids.ended.All()) {
		t.Fatalf("%d ids kept", kept)
	}
	if ids.conflicts(line.Opening{ID: "7"}) {
		t.Fatal("the oldest id is still kept")
	}
}
