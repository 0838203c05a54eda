package node

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"gorseledge/internal/discovery/endpoint"
	"gorseledge/placement"
)

// handOverWithBlockedClient starts a predecessor and a successor to which it has handed over its clients. The connection
// of client is blocked, so it stays at the predecessor. One of three hosts is disabled.
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

// openingOf returns the beginning of an opening line, up to the id of a client's flow.
func openingOf(client ConnID) string { return fmt.Sprintf("OPEN %x ", 0x1000+client) }

// oneNodeCases check the state that the two processes of one node share.
var oneNodeCases = []struct {
	name  string
	check func(t *testing.T, predecessor, successor *testHarness, client ConnID)
}{
	{"successor is ready at once with the predecessor's list", checkReadyFromPredecessorsList},
	{"disabled hosts stay disabled", checkDisabledHostsStayDisabled},
	{"query at the successor reaches the predecessor", checkQueryReachesPredecessor},
	{"query at the predecessor reaches the successor, and is not sent back", checkQueryReachesSuccessor},
	{"successor rejects the id of a flow at the predecessor", checkInheritedIDIsRejected},
	{"packets that arrive at the successor go to their host", checkPacketsReachTheirHost},
	{"predecessor's descriptors count towards the limit until it exits", checkReservedDescriptors},
	{"inherited connections expire after the predecessor's exit", checkInheritedExpires},
	{"successor is notified of a flow's end at the predecessor", checkEndAtPredecessor},
	{"third process receives the state of both", checkThirdProcess},
	{"predecessor serves the clients again after the successor's exit", checkSuccessorGone},
}

func checkReadyFromPredecessorsList(t *testing.T, _, successor *testHarness, _ ConnID) {
	ready := successor.query(IsReady, "").OK
	watches := successor.watchIndices
	if !ready || successor.listenerRequests != 1 || len(watches) > 1 || len(watches) == 1 && watches[0] != 6 {
		t.Errorf("ready %v, %d requests for the listener, watches %v", ready, successor.listenerRequests, watches)
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
		t.Errorf("%d and %d unavailable, updates %v", predecessor.unavailable(), successor.unavailable(), predecessor.updates)
	}
}

func checkQueryReachesSuccessor(t *testing.T, predecessor, successor *testHarness, _ ConnID) {
	predecessor.query(DisableHost, "s-00000065")
	predecessor.deliverTransfers(successor, false)
	successor.deliverTransfers(predecessor, false)
	predecessor.deliverTransfers(successor, false)
	updates := len(predecessor.updates) + len(successor.updates)
	if predecessor.unavailable() != 2 || successor.unavailable() != 2 || updates != 0 {
		t.Errorf("%d and %d unavailable, updates %v and %v", predecessor.unavailable(), successor.unavailable(),
			predecessor.updates, successor.updates)
	}
}

func checkInheritedIDIsRejected(t *testing.T, _, successor *testHarness, client ConnID) {
	other := successor.accept()
	successor.receive(other, openingOf(client)+"b2 c=chat,d=900\r\n", StreamOpen)
	if successor.written[other] != "BUSY\r\n" {
		t.Errorf("sent %q", successor.written[other])
	}
}

func checkPacketsReachTheirHost(t *testing.T, predecessor, successor *testHarness, client ConnID) {
	want := predecessor.dialedAddress[predecessor.flowDials[0]]
	for attempt := range 2 {
		successor.receive(successor.accept(), openingOf(client)+"a1 c=chat,t=acme,d=900,mid=1\r\n", StreamOpen)
		if got := successor.dialedAddress[successor.flowDials[attempt]]; got != want {
			t.Errorf("sent to %s, wanted the flow's host %s", got, want)
		}
		if len(successor.node.flows.ids.inherited) != 0 {
			t.Error("the connection still counts as inherited")
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
		t.Errorf("%d reserved after the predecessor's exit", successor.node.connections.reserved)
	}
}

func checkInheritedExpires(t *testing.T, _, successor *testHarness, _ ConnID) {
	successor.apply(PredecessorGone{})
	successor.advance(inheritedTimeout / 2)
	if len(successor.node.flows.ids.inherited) != 1 {
		t.Error("the inherited connection expired too soon")
	}
	successor.advance(inheritedTimeout)
	if len(successor.node.flows.ids.inherited) != 0 {
		t.Error("the inherited connection has not expired")
	}
}

func checkEndAtPredecessor(t *testing.T, predecessor, successor *testHarness, client ConnID) {
	predecessor.advance(1) // the transfer of a blocked connection is canceled
	predecessor.receive(client, "", StreamBroken)
	predecessor.deliverTransfers(successor, false)
	if len(successor.node.flows.ids.inherited) != 0 {
		t.Error("the ended flow still counts as inherited")
	}
	other := successor.accept()
	successor.receive(other, openingOf(client)+"b2 c=chat,d=900\r\n", StreamOpen)
	if successor.written[other] != "BUSY\r\n" {
		t.Errorf("the ended flow's id was not rejected for another client: sent %q", successor.written[other])
	}
}

func checkThirdProcess(t *testing.T, _, successor *testHarness, client ConnID) {
	successor.query(DisableHost, "s-00000064")
	third := successor.startSuccessor("pass")
	successor.handOverTo(third)
	successor.deliverTransfers(third, false)
	id := strings.Fields(openingOf(client))[1]
	if third.unavailable() != 2 || third.node.flows.ids.inherited[id] == nil {
		t.Errorf("statistics %+v, inherited %v", third.node.currentStatistics(), third.node.flows.ids.inherited)
	}
}

func checkSuccessorGone(t *testing.T, predecessor, _ *testHarness, _ ConnID) {
	predecessor.apply(SuccessorGone{})
	if predecessor.node.connections.limit != 100 || predecessor.node.upgrade.clientsHandedOver {
		t.Errorf("limit %d, clients handed over %v", predecessor.node.connections.limit,
			predecessor.node.upgrade.clientsHandedOver)
	}
}

// During an upgrade two processes serve the clients of one node. If they disagreed on hosts, flow ids or descriptors,
// clients would see errors that no single process makes. Each process learns of the other's changes.
func TestPredecessorAndSuccessorActAsOneNode(t *testing.T) {
	for _, c := range oneNodeCases {
		t.Run(c.name, func(t *testing.T) {
			predecessor, successor, client := handOverWithBlockedClient(t)
			c.check(t, predecessor, successor, client)
		})
	}
}

// An operator's query may reach the successor after the predecessor recorded its state, but before that state arrives.
// The state must not undo the query.
func TestQueryBeforeHandoverStateIsKept(t *testing.T) {
	predecessor := newHarness(t, "pass", 3, 100)
	successor := predecessor.startSuccessor("pass")
	state := predecessor.query(TakeOver, "").Handover // recorded before the query below
	successor.query(DisableHost, "s-00000065")
	successor.apply(HandoverReceived{exchangeJSON(predecessor, state)})
	if successor.unavailable() != 1 {
		t.Error("the host was enabled by the predecessor's earlier state")
	}
}

// A successor that took over without any list would reject all clients. If its predecessor had no list, the successor
// asks for the listener only once it has received its own.
func TestSuccessorWithoutListWaitsForItsOwn(t *testing.T) {
	predecessor := newHarness(t, "pass", 0, 100)
	predecessor.node.endpoints.listReceived = false
	successor := predecessor.startSuccessor("pass")
	if successor.listenerRequests != 0 || successor.query(IsReady, "").OK {
		t.Fatal("ready without a list")
	}
	successor.apply(ListReceived{hostList(2)})
	if successor.listenerRequests != 1 || successor.query(IsReady, "").OK {
		t.Fatal("the listener was not requested once, or the node was ready before it was open")
	}
	successor.apply(ListenerOpened{})
	if !successor.query(IsReady, "").OK {
		t.Fatal("not ready after the listener was opened")
	}
}

// setSlowStart configures a long slow start in which only a small share of a host's capacity is available.
func setSlowStart(balancer *placement.Balancer) {
	balancer.SlowStartTime = 100
	balancer.SlowStartFraction = 0.1
	balancer.OverloadWindow = 1000
	balancer.OverloadMultiple = 2
}

// Two processes of one node could together overload a host in slow start. If the predecessor has used up the node's
// budget for the host, its successor sends the host no further flow.
func TestSlowStartBudgetIsShared(t *testing.T) {
	predecessor := newHarness(t, "pass", 0, 1000)
	started := endpoint.Host{
		Name: "s-00000064", Address: "h0", Status: "SERVING", StartedAtMS: (predecessor.now - 1) * 1e3,
	}
	predecessor.apply(ListReceived{endpoint.List{Index: 9, Complete: true, Hosts: []endpoint.Host{started}}})
	setSlowStart(predecessor.node.balancer)
	predecessor.node.balancer.StartedAt = 0 // at least one window before this one, in which the successor starts
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
		t.Errorf("%d attempts before the handover; after it %d at the predecessor, %d at the successor", before, after,
			len(successor.flowDials))
	}
}

// An upgrade in an unforeseen state could count a flow twice or not at all. The statistics of both processes stay
// consistent during and after an upgrade at any point of a random sequence of inputs.
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
