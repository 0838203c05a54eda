package node

import (
	"testing"
)

// Whatever comes in, nothing panics, and each client that is still there gets one final answer in time.
func FuzzNode(f *testing.F) {
	f.Add([]byte("OPEN 1 a1 c=chat,t=acme,d=900\r\n"), []byte("UP 1\r\nLOAD x\r\nBYE\r\n"), uint8(3))
	f.Add([]byte("PING\r\nOPEN 1 a1 c=order,d=1\r\nM\r\n"), []byte("BUSY\r\n"), uint8(7))
	f.Add([]byte("\xff\x00\n"), []byte("MOVE"), uint8(0))
	f.Fuzz(func(t *testing.T, fromClient, fromHost []byte, ends uint8) {
		harness := newHarness(t, "proxy", 3, 100)
		c := harness.accept()
		harness.receive(c, string(fromClient), Open)
		for i := 0; i < len(harness.flowDials); i++ {
			h := harness.flowDials[i]
			if harness.node.connections.byID[h] == nil || harness.connectionState[h] != "dialed" {
				continue
			}
			harness.completeDial(h)
			if harness.pendingReads[h] != nil && harness.node.connections.byID[h] != nil {
				for rest := string(fromHost); ; rest = rest[len(rest)/2+len(rest)%2:] {
					if harness.pendingReads[h] == nil || harness.node.connections.byID[h] == nil {
						break
					}
					harness.receive(h, rest[:len(rest)/2+len(rest)%2], End(ends)%3)
					if rest == "" || ends%3 != 0 {
						break
					}
				}
			}
		}
		harness.advance(2.5)
		if harness.node.connections.byID[c] != nil && harness.pendingReads[c] != nil {
			harness.receive(c, "", Ended)
		}
		harness.advance(firstLineTimeout + hostEndTimeout + connectionSilentAfter)
		for _, left := range harness.node.connections.byID {
			if left.role != healthCheckRole { // probes of a host that was set aside go on
				t.Fatalf("a connection of role %d is left", left.role)
			}
		}
		if len(harness.records) != 1 || harness.records[0].Reason == "" {
			t.Fatalf("records %v", harness.records)
		}
	})
}
