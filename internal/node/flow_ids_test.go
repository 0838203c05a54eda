package node

import (
	"fmt"
	"testing"

	"gorseledge/internal/line"
)

// The id of a flow goes to no host under another key, whether the flow is open or has ended.
func TestDuplicateFlowIDIsRejected(t *testing.T) {
	w := newHarness(t, "pass", 3, 100)
	say := func(text string) Conn { c := w.accept(); w.receive(c, text+"\r\n", Open); return c }
	first := say("OPEN 7 a1 c=chat,t=acme,d=2000")
	if peerProcess := say("OPEN 7 b2 c=chat,t=acme,d=2000"); w.written[peerProcess] != "BUSY\r\n" || len(w.flowDials) != 1 {
		t.Fatalf("while it is set up: told %q, %d dials", w.written[peerProcess], len(w.flowDials))
	}
	w.receive(w.completeLastDial(), "UP 77\r\n", Open)
	if peerProcess := say("OPEN 7 b2 c=chat,t=acme,d=2000,mid=1"); w.written[peerProcess] != "BUSY\r\n" || len(w.flowDials) != 1 {
		t.Fatalf("while it is open: told %q, %d dials", w.written[peerProcess], len(w.flowDials))
	}
	if say("OPEN 7 a1 c=chat,t=acme,d=2000,mid=1"); len(w.flowDials) != 2 {
		t.Fatalf("its own packets by another way: %d dials", len(w.flowDials))
	}
	w.receive(w.completeLastDial(), "BYE\r\n", Ended)
	w.receive(first, "", Broken)
	if peerProcess := say("OPEN 7 b2 c=chat,t=acme,d=2000"); w.written[peerProcess] != "BUSY\r\n" || len(w.flowDials) != 2 {
		t.Fatalf("after its end: told %q, %d dials", w.written[peerProcess], len(w.flowDials))
	}
	if say("OPEN 7 a1 c=chat,t=acme,d=2000"); len(w.flowDials) != 3 {
		t.Fatalf("the client itself again: %d dials", len(w.flowDials))
	}
	w.receive(w.completeLastDial(), "BYE\r\n", Ended)
	w.checkReleased()
	if len(w.node.flows.ids.open) != 0 || w.node.idle.count != 0 {
		t.Fatalf("left: ids %v, %d idle", w.node.flows.ids.open, w.node.idle.count)
	}
	for i := range 3 * maxEndedIDs { // and however many have come, little is kept of them
		w.node.flows.ids.remove(&flow{opening: line.Opening{ID: fmt.Sprint(i)}})
	}
	kept := len(w.node.flows.ids.recentlyEnded) + len(w.node.flows.ids.previouslyEnded)
	if kept > 2*maxEndedIDs || w.node.flows.ids.conflicts(line.Opening{ID: "7"}) {
		t.Fatalf("%d ids kept", kept)
	}
}
