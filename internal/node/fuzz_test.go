package node

import "testing"

// isReadFrom reports whether a connection is open and has a pending read.
func (harness *testHarness) isReadFrom(conn ConnID) bool {
	return harness.pendingReads[conn] != nil && harness.node.connections.byID[conn] != nil
}

// receiveInHalves makes a host send text in parts, each of them half of the rest, with the stream state end after each.
func receiveInHalves(harness *testHarness, host ConnID, text string, end StreamState) {
	harness.Helper()
	for rest := text; harness.isReadFrom(host); {
		half := len(rest)/2 + len(rest)%2
		harness.receive(host, rest[:half], end)
		if rest == "" || end != StreamOpen {
			return
		}
		rest = rest[half:]
	}
}

// Malformed input from a client or a host could make the node panic, or leave a connection open for ever. After any input,
// all connections end in time, and exactly one record with a reason is logged for the client.
func FuzzNode(f *testing.F) {
	f.Add([]byte("OPEN 1 a1 c=chat,t=acme,d=900\r\n"), []byte("UP 1\r\nLOAD x\r\nBYE\r\n"), uint8(3))
	f.Add([]byte("PING\r\nOPEN 1 a1 c=order,d=1\r\nM\r\n"), []byte("BUSY\r\n"), uint8(7))
	f.Add([]byte("\xff\x00\n"), []byte("MOVE"), uint8(0))
	f.Fuzz(func(t *testing.T, fromClient, fromHost []byte, ends uint8) {
		harness := newHarness(t, "proxy", 3, 100)
		client := harness.accept()
		harness.receive(client, string(fromClient), StreamOpen)
		for i := 0; i < len(harness.flowDials); i++ {
			host := harness.flowDials[i]
			if harness.node.connections.byID[host] == nil || harness.connectionState[host] != "dialed" {
				continue
			}
			harness.completeDial(host)
			receiveInHalves(harness, host, string(fromHost), StreamState(ends%3))
		}
		harness.advance(2.5)
		if harness.isReadFrom(client) {
			harness.receive(client, "", StreamEnded)
		}
		harness.advance(firstLineTimeout + hostEndTimeout + connectionSilentAfter)
		for _, left := range harness.node.connections.byID {
			if left.role != healthCheckRole { // health checks of an ejected host continue
				t.Fatalf("a connection of role %d is still open", left.role)
			}
		}
		if len(harness.records) != 1 || harness.records[0].Reason == "" {
			t.Fatalf("records %v", harness.records)
		}
	})
}
