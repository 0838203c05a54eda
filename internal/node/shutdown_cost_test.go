package node

import (
	"fmt"
	"testing"
	"time"
)

const (
	visits        = 50_000 // connections that a node accepts within half an hour
	manyOpenFlows = 3_000
	noise         = 10 // factor between two measurements of the same work, on a busy machine
)

// A node that has served many connections would answer its last flows too late if each input of a shutdown cost more, the
// more connections there were before. An input costs the same after long service as at a new node.
func TestShutdownIsAsFastAfterLongService(t *testing.T) {
	fresh := costOfShutdownInput(newHarness(t, "proxy", 3, 100))
	harness := newHarness(t, "proxy", 3, 100)
	for range visits {
		harness.visit()
	}
	if served := costOfShutdownInput(harness); served > noise*fresh {
		t.Errorf("an input of the shutdown takes %v after %d connections, and %v without any, want at most %d times as much",
			served, visits, fresh, noise)
	}
}

// A node that holds its flows until it is killed goes on forwarding their lines. If each input looked at all flows, the
// lines of a node with many flows would wait. An input of the shutdown costs the same, however many flows are open.
func TestShutdownIsAsFastWithManyOpenFlows(t *testing.T) {
	few := costOfShutdownInput(newHarness(t, "pass", 3, 100))
	harness := newHarness(t, "pass", 3, 10*manyOpenFlows)
	for key := range manyOpenFlows {
		harness.establish(fmt.Sprintf("%x c=chat,t=acme,d=2000", key))
	}
	if many := costOfShutdownInput(harness); many > noise*few {
		t.Errorf("an input of the shutdown takes %v with %d open flows, and %v without any, want at most %d times as much",
			many, manyOpenFlows, few, noise)
	}
}

// A predecessor forwards the lines of its clients while their connections are transferred. If each input looked at all
// connections that still wait, those lines would wait, and the transfers would take longer than the upgrade may. An input
// costs the same, however many connections wait.
func TestTransferIsAsFastWithManyOpenFlows(t *testing.T) {
	few := costOfInput(harnessThatTransfers(t, 1))
	if many := costOfInput(harnessThatTransfers(t, manyOpenFlows)); many > noise*few {
		t.Errorf("an input takes %v with %d flows to be transferred, and %v with one, want at most %d times as much", many,
			manyOpenFlows, few, noise)
	}
}

// harnessThatTransfers returns a node with open flows whose transfer has begun.
func harnessThatTransfers(t *testing.T, flows int) *testHarness {
	t.Helper()
	harness := newHarness(t, "pass", 3, 10*manyOpenFlows)
	for key := range flows {
		harness.establish(fmt.Sprintf("%x c=chat,t=acme,d=2000", key))
	}
	harness.query(ClaimHandover, "")
	harness.query(TakeOver, "")
	if want := min(flows, maxTransfersInFlight); len(harness.transfers) != want {
		t.Fatalf("%d flows in transit, want %d", len(harness.transfers), want)
	}
	return harness
}

// visit makes a client connect and leave without a line. It passes the inputs to the node itself, as the harness's records
// of so many connections would take more time than the node.
func (harness *testHarness) visit() {
	harness.now += 0.03
	harness.lastAccepted += 2
	client := harness.lastAccepted
	harness.node.Apply(harness.now, Accepted{client})
	harness.node.Apply(harness.now, ReadDone{client, 0, StreamEnded})
	harness.node.Apply(harness.now, Closed{client})
}

// costOfShutdownInput makes a node shut down while a client is open, and returns what one of its inputs costs.
func costOfShutdownInput(harness *testHarness) time.Duration {
	harness.accept()
	harness.apply(Shutdown{})
	return costOfInput(harness)
}

// costOfInput returns the shortest time that a node took for one of many inputs that change nothing.
func costOfInput(harness *testHarness) time.Duration {
	const inputs = 100
	shortest := time.Hour
	for range inputs {
		began := time.Now()
		harness.node.Apply(harness.now, TimerFired{})
		shortest = min(shortest, time.Since(began))
	}
	return shortest
}
