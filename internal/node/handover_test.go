package node

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"gorseledge/internal/discovery/endpoint"
	"gorseledge/placement"
)

// handOverWithBlockedClient starts a predecessor and a successor that has taken its clients. The connection of client is
// blocked, so it stays at the predecessor. One of three hosts is disabled.
func handOverWithBlockedClient(t *testing.T) (predecessor, successor *testHarness, client ConnID) {
	t.Helper()
	predecessor = newHarness(t, "pass", 3, 100)
	client, host := predecessor.establish("a1 c=chat,t=acme,d=2000")
	predecessor.blocked[client] = true
	predecessor.receive(host, "M 1\r\n", StreamOpen)
	predecessor.query(DisableHost, "s-00000066")
	successor = predecessor.startSuccessor("pass")
	predecessor.handOverTo(successor)
	predecessor.deliverTransfers(successor, false)
	return predecessor, successor, client
}

// openingOf returns the beginning of an opening line with the id of a client's flow.
func openingOf(client ConnID) string { return fmt.Sprintf("OPEN %x ", 0x1000+client) }

// oneNodeCases are what two processes that are one node know of each other.
var oneNodeCases = []struct {
	name  string
	check func(t *testing.T, predecessor, successor *testHarness, client ConnID)
}{
	{"ready at once, from the predecessor's list", checkReadyFromPredecessorsList},
	{"disabled hosts stay disabled", checkDisabledHostsStayDisabled},
	{"a query at the successor reaches the predecessor", checkQueryReachesPredecessor},
	{"a query at the predecessor reaches the successor, and comes to rest", checkQueryReachesSuccessor},
	{"the id of a flow at the predecessor is refused", checkInheritedIDIsRefused},
	{"packets that come by the successor find their host", checkPacketsFindTheirHost},
	{"what the predecessor holds counts against the limit, until it is gone", checkReservedDescriptors},
	{"connections that did not come are forgotten in time", checkInheritedExpires},
	{"the end of a flow at the predecessor is notified", checkEndAtPredecessor},
	{"a third process learns all of both", checkThirdProcess},
	{"a successor that is gone gives the clients back", checkSuccessorGone},
}

func checkReadyFromPredecessorsList(t *testing.T, _, successor *testHarness, _ ConnID) {
	ready := successor.query(IsReady, "").OK
	watches := successor.watchIndices
	if !ready || successor.listenerRequests != 1 || len(watches) > 1 || len(watches) == 1 && watches[0] != 6 {
		t.Errorf("ready %v, listener asked for %d times, watches %v", ready, successor.listenerRequests, watches)
	}
}

func checkDisabledHostsStayDisabled(t *testing.T, _, successor *testHarness, _ ConnID) {
	if f := successor.query(GetStatistics, "").Statistics; f.Listed != 3 || f.Unavailable != 1 {
		t.Errorf("%d listed, %d unavailable", f.Listed, f.Unavailable)
	}
}

func checkQueryReachesPredecessor(t *testing.T, predecessor, successor *testHarness, _ ConnID) {
	successor.query(EnableHost, "s-00000066")
	successor.query(DisableHost, "s-00000065")
	successor.deliverTransfers(predecessor, false)
	if predecessor.unavailable() != 1 || successor.unavailable() != 1 || len(predecessor.updates) == 0 {
		t.Errorf("%d and %d unavailable, %v", predecessor.unavailable(), successor.unavailable(), predecessor.updates)
	}
}

func checkQueryReachesSuccessor(t *testing.T, predecessor, successor *testHarness, _ ConnID) {
	predecessor.query(DisableHost, "s-00000065")
	predecessor.deliverTransfers(successor, false)
	successor.deliverTransfers(predecessor, false)
	predecessor.deliverTransfers(successor, false)
	updates := len(predecessor.updates) + len(successor.updates)
	if predecessor.unavailable() != 2 || successor.unavailable() != 2 || updates != 0 {
		t.Errorf("%d and %d unavailable, %v %v", predecessor.unavailable(), successor.unavailable(),
			predecessor.updates, successor.updates)
	}
}

func checkInheritedIDIsRefused(t *testing.T, _, successor *testHarness, client ConnID) {
	other := successor.accept()
	successor.receive(other, openingOf(client)+"b2 c=chat,d=900\r\n", StreamOpen)
	if successor.written[other] != "BUSY\r\n" {
		t.Errorf("sent %q", successor.written[other])
	}
}

func checkPacketsFindTheirHost(t *testing.T, predecessor, successor *testHarness, client ConnID) {
	want := predecessor.dialedAddress[predecessor.flowDials[0]]
	for attempt := range 2 {
		successor.receive(successor.accept(), openingOf(client)+"a1 c=chat,t=acme,d=900,mid=1\r\n", StreamOpen)
		if got := successor.dialedAddress[successor.flowDials[attempt]]; got != want {
			t.Errorf("sent to %s, its host is %s", got, want)
		}
		if len(successor.node.flows.ids.inherited) != 0 {
			t.Error("it still counts as the predecessor's")
		}
	}
}

func checkReservedDescriptors(t *testing.T, predecessor, successor *testHarness, _ ConnID) {
	used := predecessor.node.connections.used()
	if successor.node.connections.reserved != used+20+inFlightReserve || used < 2 {
		t.Errorf("%d reserved, %d used", successor.node.connections.reserved, used)
	}
	successor.apply(PredecessorGone{})
	if successor.node.connections.reserved != 0 {
		t.Errorf("%d reserved for no process", successor.node.connections.reserved)
	}
}

func checkInheritedExpires(t *testing.T, _, successor *testHarness, _ ConnID) {
	successor.apply(PredecessorGone{})
	successor.advance(inheritedTimeout / 2)
	if len(successor.node.flows.ids.inherited) != 1 {
		t.Error("forgotten too soon")
	}
	successor.advance(inheritedTimeout)
	if len(successor.node.flows.ids.inherited) != 0 {
		t.Error("not forgotten")
	}
}

func checkEndAtPredecessor(t *testing.T, predecessor, successor *testHarness, client ConnID) {
	predecessor.advance(1) // a blocked connection is not waited for
	predecessor.receive(client, "", StreamBroken)
	predecessor.deliverTransfers(successor, false)
	if len(successor.node.flows.ids.inherited) != 0 {
		t.Error("it still counts as open")
	}
	other := successor.accept()
	successor.receive(other, openingOf(client)+"b2 c=chat,d=900\r\n", StreamOpen)
	if successor.written[other] != "BUSY\r\n" {
		t.Errorf("its id is free for others: %q", successor.written[other])
	}
}

func checkThirdProcess(t *testing.T, _, successor *testHarness, client ConnID) {
	successor.query(DisableHost, "s-00000064")
	third := successor.startSuccessor("pass")
	successor.handOverTo(third)
	successor.deliverTransfers(third, false)
	id := strings.Fields(openingOf(client))[1]
	if third.unavailable() != 2 || third.node.flows.ids.inherited[id] == nil {
		t.Errorf("%+v, %v", third.node.currentStatistics(), third.node.flows.ids.inherited)
	}
}

func checkSuccessorGone(t *testing.T, predecessor, _ *testHarness, _ ConnID) {
	predecessor.apply(SuccessorGone{})
	if predecessor.node.connections.limit != 100 || predecessor.node.upgrade.clientsHandedOver {
		t.Errorf("limit %d, clients handed over %v", predecessor.node.connections.limit,
			predecessor.node.upgrade.clientsHandedOver)
	}
}

// The predecessor and the successor act as one node while there are two processes.
func TestPredecessorAndSuccessorActAsOneNode(t *testing.T) {
	for _, c := range oneNodeCases {
		t.Run(c.name, func(t *testing.T) {
			predecessor, successor, client := handOverWithBlockedClient(t)
			c.check(t, predecessor, successor, client)
		})
	}
}

// A query that crosses with the predecessor's state is not undone by it.
func TestQueryThatCrossesWithHandoverStands(t *testing.T) {
	predecessor := newHarness(t, "pass", 3, 100)
	successor := predecessor.startSuccessor("pass")
	state := predecessor.query(TakeOver, "").Handover // from before the query below
	successor.query(DisableHost, "s-00000065")
	successor.apply(HandoverReceived{exchangeJSON(predecessor, state)})
	if successor.unavailable() != 1 {
		t.Error("enabled by the predecessor's earlier state")
	}
}

// A successor of a node that had no list yet waits for its own.
func TestSuccessorWithoutListWaitsForItsOwn(t *testing.T) {
	predecessor := newHarness(t, "pass", 0, 100)
	predecessor.node.endpoints.listReceived = false
	successor := predecessor.startSuccessor("pass")
	if successor.listenerRequests != 0 || successor.query(IsReady, "").OK {
		t.Fatal("ready without a list")
	}
	successor.apply(ListReceived{hostList(2)})
	if successor.listenerRequests != 1 || successor.query(IsReady, "").OK {
		t.Fatal("could not serve, or was ready before its listener was open")
	}
	successor.apply(ListenerOpened{})
	if !successor.query(IsReady, "").OK {
		t.Fatal("not ready")
	}
}

// setSlowStart gives a balancer a long slow start in which a host bears little.
func setSlowStart(balancer *placement.Balancer) {
	balancer.SlowStartTime = 100
	balancer.SlowStartShare = 0.1
	balancer.OverloadWindow = 1000
	balancer.OverloadMultiple = 2
}

// Both processes together never send a host in slow start more than one process would: the predecessor's part is spent.
func TestSlowStartBudgetIsShared(t *testing.T) {
	predecessor := newHarness(t, "pass", 0, 1000)
	started := endpoint.Host{
		Name: "s-00000064", Address: "h0", Status: "SERVING", StartedAtMS: (predecessor.now - 1) * 1e3,
	}
	predecessor.apply(ListReceived{endpoint.List{Index: 9, Complete: true, Hosts: []endpoint.Host{started}}})
	setSlowStart(predecessor.node.balancer)
	predecessor.node.balancer.StartedAt = 0 // a window before this one at the least; its successor begins within it
	successor := predecessor.startSuccessor("pass")
	setSlowStart(successor.node.balancer)
	for range 40 {
		predecessor.openFlow("a1 c=chat,d=900")
	}
	before := len(predecessor.flowDials)
	predecessor.handOverTo(successor)
	for range 40 {
		predecessor.openFlow("a1 c=chat,d=900")
		successor.openFlow("a1 c=chat,d=900")
	}
	after := len(predecessor.flowDials) - before
	if before == 0 || after != 0 || len(successor.flowDials) != 0 {
		t.Errorf("%d attempts before; after it %d at the predecessor, %d at the successor", before, after,
			len(successor.flowDials))
	}
}

// The figures add up at both processes whatever the moment of an upgrade in a random sequence of inputs.
func TestFiguresAddUpWhateverTheMomentOfAnUpgrade(t *testing.T) {
	for seed := range uint64(120) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 2))
			predecessor := newHarness(t, "pass", 3, 100)
			applyRandomInputs(predecessor, random, 60)
			successor := predecessor.startSuccessor("pass")
			applyRandomInputs(predecessor, random, 10)
			predecessor.handOverTo(successor)
			for range 10 {
				applyRandomInputs(predecessor, random, 4)
				predecessor.deliverTransfers(successor, random.IntN(3) == 0)
				applyRandomInputs(successor, random, 4)
				successor.deliverTransfers(predecessor, false)
			}
			predecessor.apply(Shutdown{})
			for range 5 {
				predecessor.advance(0.5)
				predecessor.deliverTransfers(successor, false)
				successor.now = predecessor.now
				successor.apply(TimerFired{})
				predecessor.checkedStatistics()
				successor.checkedStatistics()
			}
			successor.apply(PredecessorGone{})
		})
	}
}
