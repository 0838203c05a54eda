package node

import "testing"

// readAll answers the reads of a connection with lines until the node reads no more, and returns how many bytes it got.
func readAll(harness *testHarness, conn ConnID) int {
	harness.Helper()
	taken := 0
	for harness.pendingReads[conn] != nil && taken <= 1<<20 {
		into := harness.pendingReads[conn]
		delete(harness.pendingReads, conn)
		for i := range into {
			into[i] = 'x'
			if (taken+i)%100 == 99 {
				into[i] = '\n'
			}
		}
		taken += len(into)
		harness.apply(ReadDone{conn, len(into), StreamOpen})
	}
	return taken
}

// Where a client or a host does not read, what the other side sends waits in that side's own buffers but for one
// buffer of the node's, and other flows go on. This bounds the memory that a blocked connection takes.
func TestBlockedSideHoldsUpItsSender(t *testing.T) {
	for _, c := range []struct {
		name          string
		clientBlocked bool
	}{
		{"the client", true},
		{"the host", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			harness := newHarness(t, "proxy", 3, 100)
			client, host := harness.establish(chatRequest)
			sender, blocked := client, host
			if c.clientBlocked {
				sender, blocked = host, client
			}
			harness.blocked[blocked] = true
			if taken := readAll(harness, sender); taken > bufferSize {
				t.Errorf("%d bytes were taken from the other", taken)
			}
			if other, _ := harness.establish(chatRequest); harness.written[other] != "UP 77\r\n" {
				t.Errorf("another was sent %q", harness.written[other])
			}
		})
	}
}
