package node

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// A client may send its opening line just when the node closes its idle connection to free the descriptor. If the node
// closed the connection without a reply, that request would be lost. The node therefore sends BUSY first, so that the client
// may connect again.
func TestIdleClientIsRejectedBeforeItMakesRoom(t *testing.T) {
	harness := newHarness(t, "proxy", 3, 60)
	var idle []ConnID
	for range 60 {
		harness.now += 0.11
		idle = append(idle, harness.accept())
	}
	closed := 0
	for _, client := range idle {
		if harness.connectionState[client] != "closed" {
			continue
		}
		closed++
		if harness.written[client] != "BUSY\r\n" {
			t.Errorf("an idle client was closed after it was sent %q, want %q", harness.written[client], "BUSY\r\n")
		}
	}
	if closed < 30 {
		t.Errorf("%d of 60 idle connections were closed, want at least 30", closed)
	}
}

// If the node exited while a client that connected late in the shutdown is still idle, the connection would end without an
// answer. The node rejects such a client just before it exits.
func TestIdleClientIsRejectedBeforeTheExit(t *testing.T) {
	harness := newHarness(t, "pass", 3, 60)
	harness.establish(chatRequest) // stays in flight, so that the node does not exit
	harness.apply(Shutdown{})
	harness.advance(harness.node.drainTime() - finalAnswerTime - 0.5)
	client := harness.accept()
	harness.advance(0.6)
	if harness.written[client] != "BUSY\r\n" || harness.connectionState[client] != "write closed" {
		t.Errorf("the client was sent %q and its connection is %q, want %q and %q", harness.written[client],
			harness.connectionState[client], "BUSY\r\n", "write closed")
	}
}

// A client that does not read its answer could hold its descriptor for ever. Its connection is closed within the timeouts
// for the opening line and for the client's end, also if the write fails.
func TestBlockedClientIsClosedWithinItsTimeouts(t *testing.T) {
	for _, failed := range []bool{false, true} {
		t.Run(fmt.Sprintf("write failed %v", failed), func(t *testing.T) {
			harness := newHarness(t, "proxy", 3, 60)
			client := harness.accept()
			harness.blocked[client] = true
			harness.receive(client, "PING\r\n", StreamOpen)
			if failed {
				harness.advance(1.95) // seconds, just before firstLineTimeout
				harness.apply(WriteDone{client, 0, true})
			}
			harness.advance(firstLineTimeout + lingerTimeout + 0.1)
			if harness.connectionState[client] != "closed" {
				t.Errorf("the client's connection is %q, want \"closed\"", harness.connectionState[client])
			}
			harness.checkReleased()
		})
	}
}

// Clients that open hundreds of connections and send nothing could use up all descriptors. Clients that send their
// opening line are still served, and the reserve stays free.
func TestIdleClientsLeaveDescriptorsToOthers(t *testing.T) {
	harness := newHarness(t, "proxy", 3, 240)
	for range 10 {
		for range 300 {
			harness.now += 1e-3
			harness.accept()
		}
		harness.establish(chatRequest)
	}
	if harness.node.connections.descriptors > 240-descriptorReserve {
		t.Fatalf("%d descriptors in use, want at most %d", harness.node.connections.descriptors, 240-descriptorReserve)
	}
}

// A process at its descriptor limit can neither accept nor dial. Clients for which no descriptor is left are rejected, and
// the number of descriptors in use never exceeds the limit.
func TestDescriptorsNeverExceedTheLimit(t *testing.T) {
	const limit = 60
	harness := newHarness(t, "proxy", 3, limit)
	checkLimit := func() {
		t.Helper()
		if harness.node.connections.descriptors > limit {
			t.Fatalf("%d descriptors in use, want at most %d", harness.node.connections.descriptors, limit)
		}
	}
	established, rejected := 0, 0
	for key := range limit {
		dials := len(harness.flowDials)
		client := harness.openFlow(fmt.Sprintf("%x c=chat,t=acme,d=2000", key+1))
		if len(harness.flowDials) > dials {
			harness.receive(harness.completeLastDial(), "UP 77\r\n", StreamOpen)
			established++
			continue
		}
		rejected++
		if !strings.HasPrefix(harness.written[client], "BUSY") {
			t.Fatalf("the rejected client was sent %q, want a reply that begins with BUSY", harness.written[client])
		}
		if harness.node.connections.byID[client] != nil {
			harness.receive(client, "", StreamEnded)
		}
		checkLimit()
	}
	if established < 14 || rejected == 0 || !slices.Contains(harness.endReasons(), NoDescriptors) {
		t.Fatalf("%d established, %d rejected, reasons %v; want at least 14 established, at least one rejected, and reason %v",
			established, rejected, harness.endReasons(), NoDescriptors)
	}
	for range 300 { // more clients than descriptors
		harness.now += 1e-4
		harness.accept()
		checkLimit()
	}
	for conn := range harness.node.connections.byID {
		if harness.pendingReads[conn] != nil && harness.node.connections.byID[conn] != nil {
			harness.receive(conn, "", StreamBroken)
		}
	}
	harness.checkReleased()
}

// If the queue counted its idle connections wrongly, the node would close too many or too few of them. The queue counts
// each connection once, and counts only connections of clients.
func TestIdleConnectionCountsOnce(t *testing.T) {
	var queue idleQueue
	client := &connection{id: 1, role: clientRole}
	queue.add(client)
	queue.add(client)
	queue.add(&connection{id: 2, role: hostRole})
	if queue.len() != 1 || len(queue.connections()) != 1 {
		t.Errorf("%d idle, %d in the queue, want 1 and 1", queue.len(), len(queue.connections()))
	}
	queue.remove(client)
	queue.remove(client)
	if queue.len() != 0 || queue.oldest() != nil {
		t.Errorf("%d idle after the only one was removed, oldest %v, want 0 and none", queue.len(), queue.oldest())
	}
}

// If the queue lost its order when a connection leaves it, the node would close a client that is about to send its opening
// line in place of one that was accepted long before. The oldest idle connection comes first, whichever others have left
// or come back.
func TestOldestIdleConnectionComesFirst(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			var queue idleQueue
			var all []*connection
			for step := range 500 {
				if random.IntN(3) > 0 {
					c := &connection{id: ConnID(2*step + 1), role: clientRole, startedAt: float64(step / 2)}
					all = append(all, c)
					queue.add(c)
				} else if len(all) > 0 {
					c := all[random.IntN(len(all))]
					if c.idle {
						queue.remove(c)
					} else {
						queue.add(c)
					}
				}
				checkOldestIdle(t, &queue, all)
			}
		})
	}
}

// checkOldestIdle checks the queue's first connection and its length against all connections, which are in the order in
// which they were accepted.
func checkOldestIdle(t *testing.T, queue *idleQueue, all []*connection) {
	t.Helper()
	var oldest *connection
	idle := 0
	for _, c := range all {
		if c.idle && oldest == nil {
			oldest = c
		}
		if c.idle {
			idle++
		}
	}
	if queue.oldest() != oldest || queue.len() != idle {
		t.Fatalf("oldest %+v of %d, want %+v of %d", queue.oldest(), queue.len(), oldest, idle)
	}
}
