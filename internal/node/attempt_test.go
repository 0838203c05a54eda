package node

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// hostAnswers returns an event in which the host accepts the opening line, sends text and then ends the stream as given
// by end.
func hostAnswers(text string, end StreamState) func(*testHarness, ConnID) {
	return func(harness *testHarness, host ConnID) {
		harness.completeLastDial()
		harness.receive(host, text, end)
	}
}

// hostStaysSilent returns an event in which the host accepts the opening line and then sends nothing for some seconds.
func hostStaysSilent(seconds float64) func(*testHarness, ConnID) {
	return func(harness *testHarness, _ ConnID) {
		harness.completeLastDial()
		harness.advance(seconds)
	}
}

// attemptOutcomes are the ways in which an attempt of a non-idempotent flow can end.
var attemptOutcomes = []struct {
	name    string
	event   func(harness *testHarness, host ConnID)
	retried bool   // whether another host is tried, as the request cannot have run
	reply   string // what the client is sent; "BUSY " stands for any text with this prefix
}{
	{"established", hostAnswers("UP 9\r\n", StreamOpen), false, "UP 9\r\n"},
	{"served before it was established", hostAnswers("BYE\r\n", StreamEnded), false, "ERR\r\n"},
	{"migrated by a draining host", hostAnswers("MOVE\r\n", StreamEnded), false, "ERR\r\n"},
	{"error", hostAnswers("ERR\r\n", StreamOpen), false, "ERR\r\n"},
	{"rejected", hostAnswers("BUSY\r\n", StreamOpen), true, ""},
	{"rejected with a Retry-After", hostAnswers("BUSY 50\r\n", StreamEnded), true, ""},
	{"unknown word", hostAnswers("SYNTAX\r\n", StreamEnded), false, "ERR\r\n"},
	{"binary", hostAnswers("\x00\xff\r\n", StreamOpen), false, "ERR\r\n"},
	{"line too long", hostAnswers(strings.Repeat("x", 5000), StreamOpen), false, "ERR\r\n"},
	{"connection refused", failDial, true, ""},
	{"node has no descriptor", func(harness *testHarness, host ConnID) {
		harness.connectionState[host] = "failed"
		harness.apply(Dialed{host, errors.New("too many"), true})
		if harness.node.balancer.Release(0) {
			harness.Fatal("the balancer has released the flow")
		}
	}, true, ""},
	{"dial times out", func(harness *testHarness, host ConnID) {
		harness.advance(0.3)
		harness.apply(TimerFired{})
		failDial(harness, host)
	}, true, ""},
	{"connection broken before the line was sent", func(harness *testHarness, host ConnID) {
		harness.blocked[host] = true
		harness.completeLastDial()
		harness.apply(WriteDone{host, 7, true})
		harness.receive(host, "", StreamBroken)
	}, true, ""},
	{"connection broken after the line was sent", hostAnswers("", StreamBroken), false, "ERR\r\n"},
	{"connection ended after the line was sent", hostAnswers("", StreamEnded), false, "ERR\r\n"},
	{"incomplete answer", hostAnswers("UP 9", StreamEnded), false, "ERR\r\n"},
	{"no answer", hostStaysSilent(2), false, "ERR\r\n"},
	{"answer of single bytes without an end", func(harness *testHarness, host ConnID) {
		harness.completeLastDial()
		for range 25 {
			harness.advance(0.1)
			if harness.pendingReads[host] != nil {
				harness.receive(host, "x", StreamOpen)
			}
		}
	}, false, "ERR\r\n"},
	{"no answer, and the line was accepted in part", func(harness *testHarness, host ConnID) {
		harness.blocked[host] = true
		harness.completeLastDial()
		harness.apply(WriteDone{host, 7, true})
		harness.advance(1.995)
	}, true, "BUSY "},
	{"no answer, and the result of the write is not known", func(harness *testHarness, host ConnID) {
		harness.blocked[host] = true
		harness.completeLastDial()
		harness.advance(1.995)
	}, false, "ERR\r\n"},
	{"connection broken before the result of the write is known", func(harness *testHarness, host ConnID) {
		harness.blocked[host] = true
		harness.completeLastDial()
		harness.receive(host, "", StreamBroken)
	}, false, "ERR\r\n"},
	{"connection ended before the result of the write is known", func(harness *testHarness, host ConnID) {
		harness.blocked[host] = true
		harness.completeLastDial()
		harness.receive(host, "", StreamEnded)
	}, false, "ERR\r\n"},
}

// A non-idempotent request that is sent to a second host after it ran at the first runs twice. An attempt is retried
// only if it cannot have run.
func TestAttemptOutcomeDecidesRetry(t *testing.T) {
	for _, c := range attemptOutcomes {
		t.Run(c.name, func(t *testing.T) {
			harness := newHarness(t, "proxy", 4, 100)
			client := harness.openFlow(orderRequest)
			first := harness.flowDials[0]
			c.event(harness, first)
			got := harness.written[client]
			if retried := len(harness.flowDials) > 1; retried != c.retried {
				t.Fatalf("retried %v, wanted %v; the client was sent %q", retried, c.retried, got)
			}
			if got != c.reply && (c.reply != "BUSY " || !strings.HasPrefix(got, c.reply)) {
				t.Fatalf("the client was sent %q, wanted %q", got, c.reply)
			}
			state := harness.connectionState[first]
			if c.retried && state != "closed" && state != "reset" {
				t.Fatalf("two attempts are under way: the first connection is %q", state)
			}
		})
	}
}

// A node that was held up during a dial handles the dial's result and the end of the attempt's time in one step. If it
// wrote the opening line in that step and rejected the flow as one that never ran, the host would run it, and so would the
// host of the client's retry. Nothing is written for an attempt whose time has passed.
func TestNothingIsWrittenAfterTheAttemptsTime(t *testing.T) {
	for _, late := range []float64{0, 0.001, 0.15} { // seconds after the attempt's time
		t.Run(fmt.Sprintf("%g s late", late), func(t *testing.T) {
			harness := newHarness(t, "proxy", 4, 100)
			client := harness.openFlow("a1 c=order,t=acme,d=100")
			host := harness.flowDials[0]
			harness.now = harness.node.deadlineOf(host) + late
			harness.completeLastDial()
			if harness.written[host] != "" || harness.connectionState[host] != "closed" {
				t.Errorf("the host was sent %q, its connection is %q; want nothing, and closed", harness.written[host],
					harness.connectionState[host])
			}
			harness.advance(0.1)
			if got := harness.written[client]; !strings.HasPrefix(got, "BUSY ") || len(harness.flowDials) != 1 {
				t.Errorf("the client was sent %q after %d dials, want BUSY after one", got, len(harness.flowDials))
			}
			harness.receive(client, "", StreamEnded)
			connections := &harness.node.connections
			if !connections.onlyHealthChecksLeft() || connections.descriptors != len(connections.byID) {
				t.Errorf("not released: %d connections, %d descriptors", len(connections.byID), connections.descriptors)
			}
		})
	}
}

// deadlineOf returns when a connection times out, 0 if it has no deadline.
func (n *Node) deadlineOf(id ConnID) float64 {
	for _, d := range n.timers.deadlines {
		if c := n.deadlineOwner(d); c != nil && c.id == id {
			return d.time
		}
	}
	return 0
}

// A host that receives the client's full timeout on a second attempt would work for a client that no longer waits. An
// opening line is forwarded unchanged except for its timeout, which is that of the attempt.
func TestOpeningLineIsForwardedWithRemainingTime(t *testing.T) {
	harness := newHarness(t, "proxy", 3, 100)
	harness.openFlow(chatRequest + ",g=5c,r=1,zz=1")
	first := harness.completeLastDial()
	got := harness.written[first]
	want := "OPEN 1003 a1 c=chat,t=acme,d=993,g=5c,r=1,zz=1\r\n" // the last digit of d may differ
	if !strings.HasPrefix(got, "OPEN 1003 a1 c=chat,t=acme,d=99") || len(got) != len(want) ||
		!strings.HasSuffix(got, ",g=5c,r=1,zz=1\r\n") {
		t.Fatalf("the host was sent %q", got)
	}
	harness.advance(1.2)
	second := harness.completeLastDial()
	sameHost := harness.dialedAddress[second] == harness.dialedAddress[first]
	if second == first || harness.connectionState[first] != "closed" || sameHost {
		t.Fatalf("a silent host was not replaced by another: dials %v, first connection %s", harness.flowDials,
			harness.connectionState[first])
	}
}

// Attempts for clients that no longer wait would load the hosts and use up descriptors. If a client disconnects before
// its answer, its attempt is canceled, and its descriptors are freed.
func TestClientThatLeavesCancelsItsAttempt(t *testing.T) {
	for _, end := range []StreamState{StreamEnded, StreamBroken} {
		t.Run(fmt.Sprintf("end %d", end), func(t *testing.T) {
			harness := newHarness(t, "proxy", 3, 100)
			client := harness.openFlow(orderRequest)
			host := harness.completeLastDial()
			harness.receive(client, "", end)
			state := harness.connectionState[host]
			if state != "closed" || harness.written[client] != "" || len(harness.flowDials) != 1 {
				t.Fatalf("the host's connection is %q, the client was sent %q, %d dials", state, harness.written[client],
					len(harness.flowDials))
			}
			harness.checkReleased()
			if got := harness.endReasons(); len(got) != 1 || got[0] != ClientLeft {
				t.Fatalf("reasons %v", got)
			}
		})
	}
}

// A flow that is already open at a host must not be opened at another one as well. A flow whose opening line names its
// host is restored there or rejected, and the balancer counts it.
func TestRestoredFlowStaysAtItsHost(t *testing.T) {
	for _, c := range []struct {
		name   string
		event  func(harness *testHarness, host ConnID)
		reply  string
		reason Reason // empty for a flow that is restored
	}{
		{"resumed", hostAnswers("UP 5\r\n", StreamOpen), "UP 5\r\n", ""},
		{"connection refused", failDial, "BUSY\r\n", NotRestored},
		{"error", hostAnswers("ERR\r\n", StreamOpen), "ERR\r\n", NotRestored},
		{"no answer", hostStaysSilent(2.1), "ERR\r\n", NotRestored},
	} {
		t.Run(c.name, func(t *testing.T) {
			harness := newHarness(t, "pass", 5, 100)
			client := harness.openFlow(chatRequest + ",at=s-00000067")
			if len(harness.flowDials) != 1 || harness.dialedAddress[harness.flowDials[0]] != "h3" {
				t.Fatalf("dialed %v", harness.dialedAddress)
			}
			c.event(harness, harness.flowDials[0])
			if harness.written[client] != c.reply || len(harness.flowDials) != 1 {
				t.Fatalf("sent %q after %d dials, wanted %q", harness.written[client], len(harness.flowDials), c.reply)
			}
			if c.reason == "" {
				harness.receive(harness.flowDials[0], "BYE\r\n", StreamEnded)
				c.reason = Served
			}
			harness.checkReleased()
			if got := harness.endReasons(); len(got) != 1 || got[0] != c.reason {
				t.Fatalf("reasons %v, wanted %s", got, c.reason)
			}
		})
	}
}

// A client may disconnect while bytes that it sent before are still unread, so that only the socket shows it. Without
// ClientDisconnected, the node would keep making attempts for this client. The attempt under way is canceled, no other
// follows, and the descriptors are freed.
func TestClientGoneEndsItsAttempts(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(harness *testHarness, host ConnID)
	}{
		{"while the host is dialed", func(*testHarness, ConnID) {}},
		{"while the host is silent", func(harness *testHarness, host ConnID) { harness.completeDial(host) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			harness := newHarness(t, "proxy", 3, 100)
			client := harness.openFlow(chatRequest)
			host := harness.flowDials[0]
			c.before(harness, host)
			harness.apply(ClientDisconnected{client})
			hostState, clientState := harness.connectionState[host], harness.connectionState[client]
			if hostState != "closed" || clientState != "closed" || len(harness.flowDials) != 1 {
				t.Errorf("the host's connection is %q, the client's %q, after %d dials", hostState, clientState,
					len(harness.flowDials))
			}
			harness.apply(ClientDisconnected{client}) // a second report is ignored
			harness.advance(5)
			if got := harness.endReasons(); len(got) != 1 || got[0] != ClientLeft || len(harness.flowDials) != 1 {
				t.Errorf("reasons %v after %d dials", got, len(harness.flowDials))
			}
			harness.checkReleased()
		})
	}
}

// An established client may send its last lines and disconnect at once. Its connections must stay open on
// ClientDisconnected, or these lines would be lost.
func TestClientGoneLeavesEstablishedFlow(t *testing.T) {
	harness := newHarness(t, "proxy", 3, 100)
	client, host := harness.establish(chatRequest)
	harness.apply(ClientDisconnected{client})
	if harness.connectionState[client] != "" || harness.connectionState[host] != "" {
		t.Error("an established connection was closed")
	}
}
