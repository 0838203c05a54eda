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
		t.Run(c.name, func(t *testing.T) {
			harness := newHarness(t, "proxy", 3, 100)
			client, host := harness.establish(chatRequest)
			from, stuck := c.from(client, host), c.stuck(client, host)
			harness.blocked[stuck] = true
			taken := 0
			for harness.pendingReads[from] != nil && taken <= 1<<20 {
				into := harness.pendingReads[from]
				delete(harness.pendingReads, from)
				for i := range into {
					if into[i] = 'x'; (taken+i)%100 == 99 {
						into[i] = '\n'
					}
				}
				taken += len(into)
				harness.apply(ReadDone{from, len(into), Open})
			}
			if taken > bufferSize {
				t.Errorf("%d bytes were taken from the other", taken)
			}
			if other, _ := harness.establish(chatRequest); harness.written[other] != "UP 77\r\n" {
				t.Errorf("another was told %q", harness.written[other])
			}
		})
	}
}
