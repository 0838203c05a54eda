package node

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// Counts of flows that were established, rejected, aborted and left by their client.
const (
	noFlow         = "0 0 0 0"
	oneEstablished = "1 0 0 0"
)

// countedFlows are flows, and junk that is no flow, with how each is counted.
var countedFlows = []struct {
	name       string
	event      func(harness *testHarness)
	answers    string // established, rejected, aborted, left by the client
	dispatched int
	open       int
}{
	{"nothing came", func(harness *testHarness) {}, noFlow, 0, 0},
	{"established", func(harness *testHarness) { harness.establish(chatRequest) }, oneEstablished, 1, 1},
	{"established and ended", func(harness *testHarness) {
		client, host := harness.establish(chatRequest)
		harness.receive(client, "", StreamEnded)
		harness.receive(host, "", StreamEnded)
	}, oneEstablished, 1, 0},
	{"rejected after an attempt that never ran", func(harness *testHarness) {
		harness.openFlow(orderRequest)
		for range 3 {
			harness.receive(harness.completeLastDial(), "BUSY\r\n", StreamOpen)
		}
	}, "0 1 0 0", 3, 0},
	{"aborted", func(harness *testHarness) {
		harness.openFlow(orderRequest)
		harness.receive(harness.completeLastDial(), "ERR\r\n", StreamOpen)
	}, "0 0 1 0", 1, 0},
	{"nothing was reached", func(harness *testHarness) {
		harness.openFlow(chatRequest)
		for range 3 {
			failDial(harness, harness.flowDials[len(harness.flowDials)-1])
		}
	}, "0 1 0 0", 0, 0},
	{"a line that is not written to its end", func(harness *testHarness) {
		harness.openFlow(orderRequest)
		host := harness.flowDials[0]
		harness.blocked[host] = true
		harness.completeDial(host)
		harness.apply(WriteDone{host, 5, true})
		harness.receive(host, "", StreamBroken)
	}, noFlow, 0, 1},
	{"the answer comes before the result of the write", func(harness *testHarness) {
		harness.openFlow(orderRequest)
		host := harness.flowDials[0]
		harness.blocked[host] = true
		harness.completeDial(host)
		harness.receive(host, "ERR\r\n", StreamOpen)
	}, "0 0 1 0", 1, 0},
	{"the client does not wait", func(harness *testHarness) {
		harness.receive(harness.openFlow(chatRequest), "", StreamEnded)
	}, "0 0 0 1", 0, 0},
	{"the client sends more than a buffer holds", func(harness *testHarness) {
		harness.receive(harness.openFlow(chatRequest), fmt.Sprintf("%5000d%5000d", 1, 2), StreamOpen)
	}, "0 0 1 0", 0, 0},
	{"junk", func(harness *testHarness) {
		for _, text := range []string{
			"HELLO\r\n",
			"OPEN 1 a1 c=chat\r\n",
			"OPEN 1 a1 c=none,d=5\r\n",
			"OPEN 1 a1 c=chat,d=5\r\nM\r\n",
		} {
			harness.receive(harness.accept(), text, StreamOpen)
		}
		harness.receive(harness.accept(), "PING\r\n", StreamOpen)
	}, noFlow, 0, 0},
	{"the id of another client's flow", func(harness *testHarness) {
		harness.establish(chatRequest)
		client := harness.accept()
		harness.receive(client, fmt.Sprintf("OPEN %x b2 c=chat,d=900\r\n", 0x1000+harness.lastAccepted-2), StreamOpen)
	}, oneEstablished, 1, 1},
	{"no descriptor for its host", func(harness *testHarness) {
		client := harness.accept()
		harness.node.connections.limit = descriptorReserve
		harness.receive(client, "OPEN 1 "+chatRequest+"\r\n", StreamOpen)
	}, "0 1 0 0", 0, 0},
	{"restored at a host that is not listed", func(harness *testHarness) {
		harness.openFlow(chatRequest + ",at=s-77")
	}, "0 1 0 0", 0, 0},
}

// Each flow is counted once, by its answer, and junk is no flow.
func TestFlowIsCountedByItsAnswer(t *testing.T) {
	for _, c := range countedFlows {
		t.Run(c.name, func(t *testing.T) {
			harness := newHarness(t, "proxy", 3, 100)
			c.event(harness)
			figures := harness.checkedFigures()
			var sum FlowCounts
			for _, counts := range figures.Types {
				sum.Established += counts.Established
				sum.Rejected += counts.Rejected
				sum.Aborted += counts.Aborted
				sum.ClientLeft += counts.ClientLeft
			}
			got := fmt.Sprint(sum.Established, sum.Rejected, sum.Aborted, sum.ClientLeft)
			if got != c.answers || len(figures.Types) != 3 {
				t.Errorf("%s of %d types, wanted %s", got, len(figures.Types), c.answers)
			}
			if figures.Dispatched != c.dispatched || figures.Open != c.open {
				t.Errorf("%d dispatched, %d open; wanted %d, %d", figures.Dispatched, figures.Open, c.dispatched, c.open)
			}
		})
	}
}

// The figures add up after every step of a random sequence of inputs, also during a shutdown.
func TestFiguresAddUpAfterAnyInput(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			harness := newHarness(t, []string{"proxy", "pass"}[seed%2], 3, 100)
			chance := rand.New(rand.NewPCG(seed, 1))
			applyRandomInputs(harness, chance, 120)
			if seed%3 == 0 {
				harness.apply(Shutdown{})
				applyRandomInputs(harness, chance, 40)
			}
			harness.advance(12)
			if f := harness.checkedFigures(); f.Waiting != 0 {
				t.Fatalf("%d wait for ever", f.Waiting)
			}
		})
	}
}
