package node

import (
	"testing"
)

// A client or a host that does not read is held up by its own buffers: what the other sends waits there, no more than
// a ring of it, and other flows go on. Guards against memory that grows with what nobody takes.
func TestBlockedSideHoldsUpItsSender(t *testing.T) {
	for _, c := range []struct {
		name        string
		from, stuck func(client, host Conn) Conn
	}{
		{"the client", func(_, h Conn) Conn { return h }, func(c, _ Conn) Conn { return c }},
		{"the host", func(c, _ Conn) Conn { return c }, func(_, h Conn) Conn { return h }},
	} {
		w := newHarness(t, "proxy", 3, 100)
		client, host := w.establish(chatRequest)
		from, stuck := c.from(client, host), c.stuck(client, host)
		w.blocked[stuck] = true
		taken := 0
		for w.pendingReads[from] != nil && taken <= 1<<20 {
			into := w.pendingReads[from]
			delete(w.pendingReads, from)
			for i := range into {
				if into[i] = 'x'; (taken+i)%100 == 99 {
					into[i] = '\n'
				}
			}
			taken += len(into)
			w.apply(ReadDone{from, len(into), Open})
		}
		if taken > bufferSize {
			t.Errorf("%s does not read: %d bytes were taken from the other", c.name, taken)
		}
		if other, _ := w.establish(chatRequest); w.written[other] != "UP 77\r\n" {
			t.Errorf("%s does not read: another was told %q", c.name, w.written[other])
		}
	}
}
