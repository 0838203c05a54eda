package node

import (
	"fmt"
	"testing"

	"gorseledge/internal/line"
)

// The id of a flow goes to no host under another client key, whether the flow is open or has ended.
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
	checkRejected("while it is set up", "OPEN 7 b2 c=chat,t=acme,d=2000", 1)
	harness.receive(harness.completeLastDial(), "UP 77\r\n", StreamOpen)
	checkRejected("while it is open", "OPEN 7 b2 c=chat,t=acme,d=2000,mid=1", 1)
	checkPlaced("its own packets by another way", "OPEN 7 a1 c=chat,t=acme,d=2000,mid=1", 2)
	harness.receive(harness.completeLastDial(), "BYE\r\n", StreamEnded)
	harness.receive(first, "", StreamBroken)
	checkRejected("after its end", "OPEN 7 b2 c=chat,t=acme,d=2000", 2)
	checkPlaced("the client itself again", "OPEN 7 a1 c=chat,t=acme,d=2000", 3)
	harness.receive(harness.completeLastDial(), "BYE\r\n", StreamEnded)
	harness.checkReleased()
	if len(harness.node.flows.ids.open) != 0 || harness.node.idle.count != 0 {
		t.Fatalf("left: ids %v, %d idle", harness.node.flows.ids.open, harness.node.idle.count)
	}
}

// However many flows have ended, few of their ids are kept, and the oldest are free again.
func TestEndedIDsAreBounded(t *testing.T) {
	ids := newFlowIDs()
	ids.rememberEnded("7", 0xa1)
	if !ids.conflicts(line.Opening{ID: "7", ClientKey: 0xb2}) {
		t.Fatal("the id of an ended flow is free for another client")
	}
	if ids.conflicts(line.Opening{ID: "7", ClientKey: 0xa1}) {
		t.Fatal("the client's own id conflicts")
	}
	for i := range 3 * maxEndedIDs {
		ids.remove(&flow{opening: line.Opening{ID: fmt.Sprint("later", i)}})
	}
	kept := len(ids.recentlyEnded) + len(ids.previouslyEnded)
	if kept > 2*maxEndedIDs || kept != len(ids.endedKeys()) {
		t.Fatalf("%d ids kept", kept)
	}
	if ids.conflicts(line.Opening{ID: "7"}) {
		t.Fatal("the oldest id is still kept")
	}
}
