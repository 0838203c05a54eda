package node

import (
	"encoding/json"
	"fmt"

	"gorseledge/internal/settings"
)

// startSuccessor makes a process that takes over from w; what goes over crosses as JSON.
func (w *testHarness) startSuccessor(mode string) *testHarness {
	w.Helper()
	r, d, err := settings.Parse(fmt.Appendf(nil, settingsJSON, mode), 8)
	if err != nil {
		w.Fatal(err)
	}
	h := newHarness(w.T, mode, 0, 100)
	h.now, h.lastAccepted, h.watchIndices = w.now, 1001, nil
	h.node = New(h.now, Start{Settings: r, Listener: d, MaxDescriptors: w.node.connections.configuredLimit, DescriptorOverhead: 20, NotListening: true, Handover: exchangeJSON(w, w.query(ClaimHandover, "").Handover)})
	h.apply(TimerFired{})
	return h
}

func exchangeJSON[T any](w *testHarness, in T) (out T) {
	w.Helper()
	text, err := json.Marshal(in)
	if err == nil {
		err = json.Unmarshal(text, &out)
	}
	if err != nil {
		w.Fatal(err)
	}
	return out
}

// take has a successor take the clients.
func (w *testHarness) handOverTo(h *testHarness) {
	w.Helper()
	h.apply(HandoverReceived{exchangeJSON(w, w.query(TakeOver, "").Handover)})
	h.apply(ListenerOpened{})
}

// deliverTransfers brings what was passed and told from w to h, or back where it is lost; names gives each connection's
// number at h.
func (w *testHarness) deliverTransfers(h *testHarness, lost bool) (names map[Conn]Conn) {
	w.Helper()
	names = map[Conn]Conn{}
	for ; len(w.transfers) > 0; w.transfers = w.transfers[1:] {
		p := w.transfers[0]
		if w.pendingReads[p.Conn] != nil || w.pendingReads[p.Host] != nil {
			w.Fatal("passed a connection that is still read")
		}
		if !lost {
			h.lastAccepted += 2
			h.connectionState[h.node.connections.lastDialed+2] = ""
			h.apply(ConnectionReceived{h.lastAccepted, exchangeJSON(w, p.Transfer)})
			names[p.Conn], names[p.Host] = h.lastAccepted, h.boundHost.Conn
		}
		w.apply(ConnectionSent{p.Conn, !lost})
	}
	for ; len(w.updates) > 0; w.updates = w.updates[1:] {
		h.apply(PeerProcessChanged{exchangeJSON(w, w.updates[0])})
	}
	return names
}

func (n *Node) openFlows() int { return n.figures.Open }
