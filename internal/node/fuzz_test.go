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
		w := newHarness(t, "proxy", 3, 100)
		c := w.accept()
		w.receive(c, string(fromClient), Open)
		for i := 0; i < len(w.flowDials); i++ {
			h := w.flowDials[i]
			if w.node.connections.byID[h] == nil || w.connectionState[h] != "dialed" {
				continue
			}
			w.completeDial(h)
			if w.pendingReads[h] != nil && w.node.connections.byID[h] != nil {
				for rest := string(fromHost); ; rest = rest[len(rest)/2+len(rest)%2:] {
					if w.pendingReads[h] == nil || w.node.connections.byID[h] == nil {
						break
					}
					w.receive(h, rest[:len(rest)/2+len(rest)%2], End(ends)%3)
					if rest == "" || ends%3 != 0 {
						break
					}
				}
			}
		}
		w.advance(2.5)
		if w.node.connections.byID[c] != nil && w.pendingReads[c] != nil {
			w.receive(c, "", Ended)
		}
		w.advance(firstLineTimeout + hostEndTimeout + connectionSilentAfter)
		for _, left := range w.node.connections.byID {
			if left.role != healthCheckRole { // probes of a host that was set aside go on
				t.Fatalf("a connection of role %d is left", left.role)
			}
		}
		if len(w.records) != 1 || w.records[0].Reason == "" {
			t.Fatalf("records %v", w.records)
		}
	})
}
