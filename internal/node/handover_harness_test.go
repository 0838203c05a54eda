package node

import (
	"encoding/json"
	"fmt"

	"gorseledge/internal/settings"
)

// firstSuccessorConn is where a successor's numbers of accepted connections begin in tests.
const firstSuccessorConn = 1001

// startSuccessor starts a process that takes over from this one; what goes over crosses as JSON.
func (harness *testHarness) startSuccessor(mode string) *testHarness {
	harness.Helper()
	balancer, listener, err := settings.Parse(fmt.Appendf(nil, settingsJSON, mode), 8)
	if err != nil {
		harness.Fatal(err)
	}
	successor := newHarness(harness.T, mode, 0, 100)
	successor.now = harness.now
	successor.lastAccepted = firstSuccessorConn
	successor.watchIndices = nil
	successor.node = New(successor.now, Start{
		Settings:           balancer,
		Listener:           listener,
		MaxDescriptors:     harness.node.connections.configuredLimit,
		DescriptorOverhead: 20,
		NotListening:       true,
		Handover:           exchangeJSON(harness, harness.query(ClaimHandover, "").Handover),
	})
	successor.apply(TimerFired{})
	return successor
}

// exchangeJSON returns what another process decodes of a value.
func exchangeJSON[T any](harness *testHarness, value T) (decoded T) {
	harness.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		harness.Fatal(err)
	}
	if err := json.Unmarshal(text, &decoded); err != nil {
		harness.Fatal(err)
	}
	return decoded
}

// handOverTo has a successor take the clients.
func (harness *testHarness) handOverTo(successor *testHarness) {
	harness.Helper()
	successor.apply(HandoverReceived{exchangeJSON(harness, harness.query(TakeOver, "").Handover)})
	successor.apply(ListenerOpened{})
}

// deliverTransfers brings the transfers and updates that a process has sent to the other, or has the transfers fail
// where they are lost. It returns the number that each connection has at the other process.
func (harness *testHarness) deliverTransfers(other *testHarness, lost bool) map[ConnID]ConnID {
	harness.Helper()
	numbers := map[ConnID]ConnID{}
	for ; len(harness.transfers) > 0; harness.transfers = harness.transfers[1:] {
		sent := harness.transfers[0]
		if harness.pendingReads[sent.Conn] != nil || harness.pendingReads[sent.Host] != nil {
			harness.Fatal("sent a connection that is still read")
		}
		if !lost {
			other.lastAccepted += 2
			other.connectionState[other.node.connections.lastDialed+2] = ""
			other.apply(ConnectionReceived{other.lastAccepted, exchangeJSON(harness, sent.Transfer)})
			numbers[sent.Conn] = other.lastAccepted
			numbers[sent.Host] = other.boundHost.Conn
		}
		harness.apply(ConnectionSent{sent.Conn, !lost})
	}
	for ; len(harness.updates) > 0; harness.updates = harness.updates[1:] {
		other.apply(PeerProcessChanged{exchangeJSON(harness, harness.updates[0])})
	}
	return numbers
}
