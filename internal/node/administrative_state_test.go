package node

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// crossingCalls are two processes of an upgrade and the messages that are under way between them, in their order.
type crossingCalls struct {
	*testing.T
	predecessor, successor *testHarness
	toSuccessor            []Input
	toPredecessor          []Input
	calls                  int // updates about operators' calls that either process has sent
}

// startCrossingCalls starts a predecessor, and a successor that has claimed its state.
func startCrossingCalls(t *testing.T) *crossingCalls {
	t.Helper()
	predecessor := newHarness(t, "pass", 3, 100)
	successor := predecessor.startSuccessor("pass")
	predecessor.updates, successor.updates = nil, nil
	return &crossingCalls{T: t, predecessor: predecessor, successor: successor}
}

// call makes an operator call one of the processes, a moment after everything that happened before.
func (c *crossingCalls) call(process *testHarness, question Question, host string) {
	c.Helper()
	c.predecessor.now += 1e-4
	c.successor.now = c.predecessor.now
	if !process.query(question, host).OK {
		c.Fatalf("a call about host %s was answered no", host)
	}
	c.collect()
}

// collect puts the updates that the processes have sent behind the messages under way.
func (c *crossingCalls) collect() {
	c.Helper()
	toSuccessor, toPredecessor := c.predecessor.takeUpdates(c.successor), c.successor.takeUpdates(c.predecessor)
	for _, message := range slices.Concat(toSuccessor, toPredecessor) {
		if update := message.(PeerProcessChanged).Update; update.DisabledHost+update.EnabledHost != "" {
			c.calls++
		}
	}
	c.toSuccessor = append(c.toSuccessor, toSuccessor...)
	c.toPredecessor = append(c.toPredecessor, toPredecessor...)
}

// takeOver makes the successor ask for the clients. The state that the predecessor records waits behind its messages.
func (c *crossingCalls) takeOver() {
	c.Helper()
	state := exchangeJSON(c.predecessor, c.predecessor.query(TakeOver, "").Handover)
	c.collect()
	c.toSuccessor = append(c.toSuccessor, HandoverReceived{state})
}

// deliver delivers the first message to a process, if there is one.
func (c *crossingCalls) deliver(process *testHarness, messages *[]Input) {
	c.Helper()
	if len(*messages) == 0 {
		return
	}
	message := (*messages)[0]
	*messages = (*messages)[1:]
	process.apply(message)
	c.collect()
}

// deliverAll delivers messages until none is under way. A change that is sent back and forth for ever fails the test.
func (c *crossingCalls) deliverAll() {
	c.Helper()
	const most = 1000
	for range most {
		if len(c.toSuccessor)+len(c.toPredecessor) == 0 {
			return
		}
		c.deliver(c.successor, &c.toSuccessor)
		c.deliver(c.predecessor, &c.toPredecessor)
	}
	c.Fatalf("messages are still under way after %d", most)
}

// checkDisabled checks that exactly these hosts are disabled at both processes, by what the node knows and by the balancer.
func (c *crossingCalls) checkDisabled(want map[string]bool) {
	c.Helper()
	for name, process := range map[string]*testHarness{"predecessor": c.predecessor, "successor": c.successor} {
		disabled := 0
		for host, isDisabled := range want {
			index := process.node.endpoints.byName[host]
			if got := process.node.endpoints.hosts[index].administrative.disabled; got != isDisabled {
				c.Errorf("%s: host %s disabled %v, want %v", name, host, got, isDisabled)
			}
			if isDisabled {
				disabled++
			}
		}
		if got := process.unavailable(); got != disabled {
			c.Errorf("%s: %d hosts get no flows, want %d", name, got, disabled)
		}
	}
}

// If two operators' calls on one host cross between the processes of an upgrade, each process would take over the other's
// call and send it back, for ever. Both processes keep the call that was answered last, and nothing is sent back.
func TestCrossingCallsEndInTheLastOne(t *testing.T) {
	const host = "s-00000065"
	for _, c := range []struct {
		name          string
		first, second Question
	}{
		{"disable, then enable", DisableHost, EnableHost},
		{"enable, then disable", EnableHost, DisableHost},
		{"disable twice", DisableHost, DisableHost},
	} {
		for _, atPredecessorFirst := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, at the predecessor first %v", c.name, atPredecessorFirst), func(t *testing.T) {
				processes := startCrossingCalls(t)
				first, second := processes.predecessor, processes.successor
				if !atPredecessorFirst {
					first, second = second, first
				}
				processes.call(first, c.first, host)
				processes.call(second, c.second, host)
				processes.deliverAll()
				processes.checkDisabled(map[string]bool{host: c.second == DisableHost})
				if processes.calls != 2 {
					t.Errorf("%d messages, want one for each call", processes.calls)
				}
			})
		}
	}
}

// Two calls in the same moment have no order. If each process kept its own, a host would be disabled at one of them alone.
// Both processes disable the host.
func TestCrossingCallsInOneMomentDisableTheHost(t *testing.T) {
	const host = "s-00000065"
	for _, disableAtPredecessor := range []bool{true, false} {
		t.Run(fmt.Sprintf("disabled at the predecessor %v", disableAtPredecessor), func(t *testing.T) {
			processes := startCrossingCalls(t)
			disables, enables := processes.predecessor, processes.successor
			if !disableAtPredecessor {
				disables, enables = enables, disables
			}
			disables.query(DisableHost, host)
			enables.query(EnableHost, host)
			processes.collect()
			processes.deliverAll()
			processes.checkDisabled(map[string]bool{host: true})
		})
	}
}

// Calls may cross each other and the state that is handed over in any order. Whatever the order, both processes end in the
// state of the last call on each host, after one message for each call.
func TestCallsAroundAnUpgradeEndInTheLastOne(t *testing.T) {
	hosts := []string{"s-00000064", "s-00000065", "s-00000066"}
	for seed := range uint64(200) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 3))
			processes := startCrossingCalls(t)
			last := map[string]bool{}
			calls := 0
			tookOver := false
			for range 30 {
				switch random.IntN(6) {
				case 0, 1:
					process := []*testHarness{processes.predecessor, processes.successor}[random.IntN(2)]
					question := []Question{DisableHost, EnableHost}[random.IntN(2)]
					host := hosts[random.IntN(len(hosts))]
					processes.call(process, question, host)
					last[host] = question == DisableHost
					calls++
				case 2, 3:
					processes.deliver(processes.successor, &processes.toSuccessor)
				case 4:
					processes.deliver(processes.predecessor, &processes.toPredecessor)
				case 5:
					if !tookOver {
						tookOver = true
						processes.takeOver()
					}
				}
			}
			processes.deliverAll()
			processes.checkDisabled(last)
			if processes.calls != calls {
				t.Errorf("%d messages for %d calls, want one for each", processes.calls, calls)
			}
		})
	}
}

// A process of an earlier version sends no revisions, and sends back what it has applied. Its calls count in the order in
// which they arrive, and the exchange ends.
func TestCallsOfAVersionWithoutRevisions(t *testing.T) {
	const host = "s-00000065"
	harness := newHarness(t, "pass", 3, 100)
	echo := func(update HandoverUpdate) {
		update.HostRevision = 0
		harness.updates = nil
		harness.apply(PeerProcessChanged{Update: update, From: Predecessor})
	}
	harness.query(DisableHost, host)
	echo(harness.updates[0].Update)
	if harness.unavailable() != 1 || len(harness.updates) != 0 {
		t.Errorf("%d unavailable, %d updates after the call came back, want 1 and 0", harness.unavailable(), len(harness.updates))
	}
	echo(HandoverUpdate{EnabledHost: host})
	if harness.unavailable() != 0 {
		t.Errorf("%d unavailable after a call at the other process, want 0", harness.unavailable())
	}
	for _, update := range harness.updates {
		if update.To == Predecessor || update.To == AnyPeer {
			t.Errorf("%+v was sent back", update)
		}
	}
}

// The other process may have listed a host that this one has not. If its update were dropped, the host would get flows from
// this process once it is listed here.
func TestHostDisabledAtTheOtherProcessMayBeListedLater(t *testing.T) {
	harness := newHarness(t, "pass", 1, 100)
	harness.apply(PeerProcessChanged{Update: HandoverUpdate{DisabledHost: "s-00000065", HostRevision: 1}, From: Predecessor})
	if got := harness.unavailable(); got != 0 {
		t.Errorf("%d of the listed hosts get no flows, want 0", got)
	}
	harness.apply(ListReceived{hostList(2)})
	if got := harness.unavailable(); got != 1 {
		t.Errorf("%d of the listed hosts get no flows, want 1", got)
	}
}
