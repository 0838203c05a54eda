package node

import (
	"encoding/json"
	"fmt"

	"gorseledge/internal/settings"
)

// startSuccessor makes a process that takes over from harness; what goes over crosses as JSON.
func (harness *testHarness) startSuccessor(mode string) *testHarness {
	harness.Helper()
	r, d, err := settings.Parse(fmt.Appendf(nil, settingsJSON, mode), 8)
	if err != nil {
		harness.Fatal(err)
	}
	successor := newHarness(harness.T, mode, 0, 100)
	successor.now, successor.lastAccepted, successor.watchIndices = harness.now, 1001, nil
	successor.node = New(successor.now, Start{Settings: r, Listener: d, MaxDescriptors: harness.node.connections.configuredLimit, DescriptorOverhead: 20, NotListening: true, Handover: exchangeJSON(harness, harness.query(ClaimHandover, "").Handover)})
	successor.apply(TimerFired{})
	return successor
}

func exchangeJSON[T any](harness *testHarness, in T) (out T) {
	harness.Helper()
	text, err := json.Marshal(in)
	if err == nil {
		err = json.Unmarshal(text, &out)
	}
	if err != nil {
		harness.Fatal(err)
	}
	return out
}

// take has a successor take the clients.
func (harness *testHarness) handOverTo(successor *testHarness) {
	harness.Helper()
	successor.apply(HandoverReceived{exchangeJSON(harness, harness.query(TakeOver, "").Handover)})
	successor.apply(ListenerOpened{})
}

// deliverTransfers brings what was passed and told from harness to successor, or back where it is lost; names gives each connection's
// number at successor.
func (harness *testHarness) deliverTransfers(successor *testHarness, lost bool) (names map[Conn]Conn) {
	harness.Helper()
	names = map[Conn]Conn{}
	for ; len(harness.transfers) > 0; harness.transfers = harness.transfers[1:] {
		p := harness.transfers[0]
		if harness.pendingReads[p.Conn] != nil || harness.pendingReads[p.Host] != nil {
			harness.Fatal("passed a connection that is still read")
		}
		if !lost {
			successor.lastAccepted += 2
			successor.connectionState[successor.node.connections.lastDialed+2] = ""
			successor.apply(ConnectionReceived{successor.lastAccepted, exchangeJSON(harness, p.Transfer)})
			names[p.Conn], names[p.Host] = successor.lastAccepted, successor.boundHost.Conn
		}
		harness.apply(ConnectionSent{p.Conn, !lost})
	}
	for ; len(harness.updates) > 0; harness.updates = harness.updates[1:] {
		successor.apply(PeerProcessChanged{exchangeJSON(harness, harness.updates[0])})
	}
	return names
}

func (n *Node) openFlows() int { return n.figures.Open }
