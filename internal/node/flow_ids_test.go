package node

import (
	"fmt"
	"testing"

	"gorseledge/internal/line"
)

// The id of a flow goes to no host under another key, whether the flow is open or has ended.
func TestDuplicateFlowIDIsRejected(t *testing.T) {
	harness := newHarness(t, "pass", 3, 100)
	say := func(text string) Conn { c := harness.accept(); harness.receive(c, text+"\r\n", Open); return c }
	first := say("OPEN 7 a1 c=chat,t=acme,d=2000")
	if peerProcess := say("OPEN 7 b2 c=chat,t=acme,d=2000"); harness.written[peerProcess] != "BUSY\r\n" || len(harness.flowDials) != 1 {
		t.Fatalf("while it is set up: told %q, %d dials", harness.written[peerProcess], len(harness.flowDials))
	}
	harness.receive(harness.completeLastDial(), "UP 77\r\n", Open)
	if peerProcess := say("OPEN 7 b2 c=chat,t=acme,d=2000,mid=1"); harness.written[peerProcess] != "BUSY\r\n" || len(harness.flowDials) != 1 {
		t.Fatalf("while it is open: told %q, %d dials", harness.written[peerProcess], len(harness.flowDials))
	}
	if say("OPEN 7 a1 c=chat,t=acme,d=2000,mid=1"); len(harness.flowDials) != 2 {
		t.Fatalf("its own packets by another way: %d dials", len(harness.flowDials))
	}
	harness.receive(harness.completeLastDial(), "BYE\r\n", Ended)
	harness.receive(first, "", Broken)
	if peerProcess := say("OPEN 7 b2 c=chat,t=acme,d=2000"); harness.written[peerProcess] != "BUSY\r\n" || len(harness.flowDials) != 2 {
		t.Fatalf("after its end: told %q, %d dials", harness.written[peerProcess], len(harness.flowDials))
	}
	if say("OPEN 7 a1 c=chat,t=acme,d=2000"); len(harness.flowDials) != 3 {
		t.Fatalf("the client itself again: %d dials", len(harness.flowDials))
	}
	harness.receive(harness.completeLastDial(), "BYE\r\n", Ended)
	harness.checkReleased()
	if len(harness.node.flows.ids.open) != 0 || harness.node.idle.count != 0 {
		t.Fatalf("left: ids %v, %d idle", harness.node.flows.ids.open, harness.node.idle.count)
	}
	for i := range 3 * maxEndedIDs { // and however many have come, little is kept of them
		harness.node.flows.ids.remove(&flow{opening: line.Opening{ID: fmt.Sprint(i)}})
	}
	kept := len(harness.node.flows.ids.recentlyEnded) + len(harness.node.flows.ids.previouslyEnded)
	if kept > 2*maxEndedIDs || harness.node.flows.ids.conflicts(line.Opening{ID: "7"}) {
		t.Fatalf("%d ids kept", kept)
	}
}
