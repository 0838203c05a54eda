package node

import "testing"

// readAll answers the reads of a connection with lines until the node stops reading, and returns how many bytes the node
// has read.
func readAll(harness *testHarness, conn ConnID) int {
	harness.Helper()
	count := 0
	for harness.pendingReads[conn] != nil && count <= 1<<20 {
		into := harness.pendingReads[conn]
		delete(harness.pendingReads, conn)
		for i := range into {
			into[i] = 'x'
			if (count+i)%100 == 99 {
				into[i] = '\n'
			}
		}
		count += len(into)
		harness.apply(ReadDone{conn, len(into), StreamOpen})
	}
	return count
}

// A client or host that does not read must not make the node buffer without bound what the other side sends, nor delay
// other flows. The node reads at most one buffer from the sender, and the rest stays in the sender's own buffers.
func TestBlockedReceiverStopsItsSender(t *testing.T) {
	for _, c := range []struct {
		name          string
		clientBlocked bool
	}{
		{"client blocked", true},
		{"host blocked", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			harness := newHarness(t, "proxy", 3, 100)
			client, host := harness.establish(chatRequest)
			sender, blocked := client, host
			if c.clientBlocked {
				sender, blocked = host, client
			}
			harness.blocked[blocked] = true
			if count := readAll(harness, sender); count > bufferSize {
				t.Errorf("%d bytes were read from the sender, wanted at most %d", count, bufferSize)
			}
			if other, _ := harness.establish(chatRequest); harness.written[other] != "UP 77\r\n" {
				t.Errorf("the client of another flow was sent %q", harness.written[other])
			}
		})
	}
}
