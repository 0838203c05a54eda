package node

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// Expected counts of flows that were established, rejected, aborted and left by their client.
const (
	noFlow         = "0 0 0 0"
	oneEstablished = "1 0 0 0"
)

// countedFlows are flows, and input that does not start a flow, with the expected counts.
var countedFlows = []struct {
	name       string
	event      func(harness *testHarness)
	answers    string // established, rejected, aborted, left by the client
	dispatched int
	open       int
}{
	{"no client", func(harness *testHarness) {}, noFlow, 0, 0},
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
	{"no host was reached", func(harness *testHarness) {
		harness.openFlow(chatRequest)
		for range 3 {
			failDial(harness, harness.flowDials[len(harness.flowDials)-1])
		}
	}, "0 1 0 0", 0, 0},
	{"opening line written only in part", func(harness *testHarness) {
		harness.openFlow(orderRequest)
		host := harness.flowDials[0]
		harness.blocked[host] = true
		harness.completeDial(host)
		harness.apply(WriteDone{host, 5, true})
		harness.receive(host, "", StreamBroken)
	}, noFlow, 0, 1},
	{"host answers before the result of the write", func(harness *testHarness) {
		harness.openFlow(orderRequest)
		host := harness.flowDials[0]
		harness.blocked[host] = true
		harness.completeDial(host)
		harness.receive(host, "ERR\r\n", StreamOpen)
	}, "0 0 1 0", 1, 0},
	{"client disconnects before its answer", func(harness *testHarness) {
		harness.receive(harness.openFlow(chatRequest), "", StreamEnded)
	}, "0 0 0 1", 0, 0},
	{"client sends more than a buffer holds", func(harness *testHarness) {
		harness.receive(harness.openFlow(chatRequest), fmt.Sprintf("%5000d%5000d", 1, 2), StreamOpen)
	}, "0 0 1 0", 0, 0},
	{"input that starts no flow", func(harness *testHarness) {
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
	{"id of another client's flow", func(harness *testHarness) {
		harness.establish(chatRequest)
		client := harness.accept()
		harness.receive(client, fmt.Sprintf("OPEN %x b2 c=chat,d=900\r\n", 0x1000+harness.lastAccepted-2), StreamOpen)
	}, oneEstablished, 1, 1},
	{"no descriptor for the host's connection", func(harness *testHarness) {
		client := harness.accept()
		harness.node.connections.limit = descriptorReserve
		harness.receive(client, "OPEN 1 "+chatRequest+"\r\n", StreamOpen)
	}, "0 1 0 0", 0, 0},
	{"restored at a host that is not listed", func(harness *testHarness) {
		harness.openFlow(chatRequest + ",at=s-77")
	}, "0 1 0 0", 0, 0},
}

// Operators see wrong error rates if a flow is counted twice or not at all, or if invalid input counts as a flow. Each
// flow is counted exactly once, by its answer.
func TestFlowIsCountedByItsAnswer(t *testing.T) {
	for _, c := range countedFlows {
		t.Run(c.name, func(t *testing.T) {
			harness := newHarness(t, "proxy", 3, 100)
			c.event(harness)
			statistics := harness.checkedStatistics()
			var sum FlowCounts
			for _, counts := range statistics.Types {
				sum.Established += counts.Established
				sum.Rejected += counts.Rejected
				sum.Aborted += counts.Aborted
				sum.ClientLeft += counts.ClientLeft
			}
			got := fmt.Sprint(sum.Established, sum.Rejected, sum.Aborted, sum.ClientLeft)
			if got != c.answers || len(statistics.Types) != 3 {
				t.Errorf("counted %s for %d types, wanted %s for 3", got, len(statistics.Types), c.answers)
			}
			if statistics.Dispatched != c.dispatched || statistics.Open != c.open {
				t.Errorf("%d dispatched, %d open; wanted %d, %d", statistics.Dispatched, statistics.Open, c.dispatched, c.open)
			}
		})
	}
}

// A path that ends a flow without counting it would make the statistics drift apart. They stay consistent after every
// step of a random sequence of inputs, also during a shutdown, and no flow waits for ever.
func TestStatisticsAreConsistentAfterAnyInput(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			harness := newHarness(t, []string{"proxy", "pass"}[seed%2], 3, 100)
			random := rand.New(rand.NewPCG(seed, 1))
			applyRandomInputs(harness, random, 120)
			if seed%3 == 0 {
				harness.apply(Shutdown{})
				applyRandomInputs(harness, random, 40)
			}
			harness.advance(12)
			if f := harness.checkedStatistics(); f.Waiting != 0 {
				t.Fatalf("%d flows still wait for their answer", f.Waiting)
			}
		})
	}
}
