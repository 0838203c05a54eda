package node

import (
	"fmt"
	"strings"
	"testing"
)

// shuttingDown is a node that was asked to shut down while one flow was established and another waited for its answer.
type shuttingDown struct {
	*testHarness
	established ConnID
	waiting     ConnID // client of a flow whose host answers after the shutdown began
	late        ConnID // client that connects after the shutdown began
}

func beginShutdown(t *testing.T, mode string) shuttingDown {
	t.Helper()
	harness := newHarness(t, mode, 3, 100)
	established, _ := harness.establish(chatRequest)
	waiting := harness.openFlow(chatRequest)
	host := harness.completeLastDial()
	harness.apply(Shutdown{})
	harness.advance(0.1)
	late := harness.openFlow(chatRequest)
	harness.receive(host, "UP 8\r\n", StreamOpen)
	harness.advance(0.3)
	return shuttingDown{harness, established, waiting, late}
}

// checkWritten checks what the three clients were sent, and that the node is not ready but has not exited.
func (s shuttingDown) checkWritten(established, waiting, late string) {
	s.Helper()
	if s.written[s.established] != established || s.written[s.late] != late ||
		s.written[s.waiting] != waiting || s.exited {
		s.Fatalf("sent %q, %q and %q, exited %v", s.written[s.established], s.written[s.late], s.written[s.waiting],
			s.exited)
	}
	ping := s.accept()
	s.receive(ping, "PING\r\n", StreamEnded)
	if s.written[ping] != "ERR\r\n" {
		s.Fatalf("ready during the shutdown: sent %q", s.written[ping])
	}
}

// checkExited checks whether the node has exited, both shortly before and after its drain time. The drain time is the
// longest connect timeout, two seconds, and exitMargin.
func (s shuttingDown) checkExited(want bool) {
	s.Helper()
	s.advance(1.3)
	if s.exited != want {
		s.Fatalf("exited %v", s.exited)
	}
	s.advance(0.7)
	if s.exited != want {
		s.Fatalf("exited %v", s.exited)
	}
}

// Clients lose their requests if a node exits before it has answered them. A node that shuts down answers the flows that
// it accepted, migrates the established ones unless packets pass through it, and exits.
func TestShutdownAnswersAcceptedFlows(t *testing.T) {
	t.Run("proxy", func(t *testing.T) {
		node := beginShutdown(t, "proxy")
		node.checkWritten("UP 77\r\nMOVE\r\n", "UP 8\r\nMOVE\r\n", "BUSY\r\n")
		node.checkExited(true)
	})
	t.Run("pass", func(t *testing.T) {
		node := beginShutdown(t, "pass")
		node.checkWritten("UP 77\r\n", "UP 8\r\n", "")
		node.checkExited(false)
		if node.written[node.late] == "" {
			t.Fatal("an accepted flow got no answer")
		}
		if late := node.openFlow(chatRequest); node.written[late] != "BUSY\r\n" {
			t.Fatalf("a client that connects too late was sent %q", node.written[late])
		}
		node.advance(5) // an exit would end the connections, which outlive a node that is killed
		if state := node.connectionState[node.established]; node.exited || state != "" {
			t.Fatalf("exited %v, a connection in flight is %q", node.exited, state)
		}
		node.receive(node.established, "", StreamBroken)
		node.receive(node.waiting, "", StreamBroken)
		node.advance(0.1)
		if !node.exited {
			t.Fatal("the node does not exit although nothing is in flight")
		}
	})
}

// A signal for a shutdown or a new configuration may arrive while discovery is unavailable. A flow that is waiting then
// must still get its host's answer.
func TestSignalDuringDiscoveryOutageKeepsWaitingFlow(t *testing.T) {
	for _, input := range []Input{DiscoveryMoved{}, Shutdown{}} {
		t.Run(fmt.Sprintf("%T", input), func(t *testing.T) {
			harness := newHarness(t, "proxy", 1, 100)
			client := harness.openFlow(chatRequest)
			harness.apply(WatchFailed{Reason: "the end"})
			harness.apply(input)
			harness.receive(harness.completeLastDial(), "UP 5\r\n", StreamOpen)
			if want := "UP 5\r\n"; !strings.HasPrefix(harness.written[client], want) {
				t.Errorf("the client was sent %q, wanted %q first", harness.written[client], want)
			}
		})
	}
}

// A second signal would extend the shutdown if it began again. Its times count from the first request.
func TestShutdownBeginsOnce(t *testing.T) {
	var s shutdown
	s.begin(10)
	s.begin(12)
	if !s.started || s.startedAt != 10 {
		t.Errorf("started %v at %g", s.started, s.startedAt)
	}
	if s.passed(10.5, 1) || !s.passed(11, 1) {
		t.Error("passed does not count from the beginning of the shutdown")
	}
}

// A node that exits before the clients in its listener's queue are accepted resets their connections. It exits only after
// the listener has been reported as closed, and answers the clients that were accepted until then.
func TestShutdownAnswersClientsInListenerQueue(t *testing.T) {
	for name, shares := range map[string]bool{"address shared": true, "address not shared": false} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, "proxy", 1, 100)
			harness.node.sharesAddress = shares
			harness.holdListener = true
			harness.apply(Shutdown{})
			harness.advance(0.5)
			if harness.closeRequests != 0 || harness.exited {
				t.Fatalf("0.5 s after the request: %d requests to close the listener, exited %v", harness.closeRequests, harness.exited)
			}
			harness.advance(0.2)
			if harness.closeRequests != 1 || harness.exited {
				t.Fatalf("%d requests to close the listener, exited %v; want 1, and no exit before its queue is empty",
					harness.closeRequests, harness.exited)
			}
			client := harness.accept()
			harness.apply(ListenerClosed{})
			if harness.exited {
				t.Fatal("exited before the last client in the queue was answered")
			}
			harness.receive(client, "OPEN 0c "+chatRequest+"\r\n", StreamOpen)
			harness.receive(client, "", StreamEnded)
			harness.advance(0.1)
			if got := harness.written[client]; got != "BUSY\r\n" || !harness.exited {
				t.Fatalf("the last client was sent %q, exited %v; want BUSY and an exit", got, harness.exited)
			}
		})
	}
}

// A listener whose address no other process shares is the only one for new clients. It stays open as long as the node has
// flows to serve.
func TestUnsharedListenerStaysOpenDuringShutdown(t *testing.T) {
	node := beginShutdown(t, "pass")
	node.holdListener = true
	node.advance(1)
	if node.closeRequests != 0 {
		t.Fatal("the listener was closed although a flow is established and no other process shares the address")
	}
	node.receive(node.established, "", StreamBroken)
	node.receive(node.waiting, "", StreamBroken)
	node.receive(node.late, "", StreamBroken)
	node.advance(0.1)
	if node.closeRequests != 1 {
		t.Fatalf("%d requests to close the listener once no flow is left, want 1", node.closeRequests)
	}
}

// A predecessor that shuts down leaves the listener to its successor. If the successor ends first, clients are in the
// predecessor's queue again, and an exit before they are accepted would reset them.
func TestShutdownClosesListenerAfterSuccessorIsGone(t *testing.T) {
	harness := newHarness(t, "proxy", 1, 100)
	harness.node.sharesAddress = true
	harness.holdListener = true
	harness.establish(chatRequest)
	harness.apply(Query{Question: ClaimHandover})
	harness.apply(Query{Question: TakeOver})
	harness.apply(Shutdown{})
	harness.advance(0.7)
	if harness.closeRequests != 0 {
		t.Fatal("the listener was closed while the successor accepts the clients")
	}
	harness.apply(SuccessorGone{})
	harness.advance(0.1)
	if harness.closeRequests != 1 || harness.exited {
		t.Fatalf("%d requests to close the listener after the successor's end, exited %v; want 1, and no exit yet",
			harness.closeRequests, harness.exited)
	}
}

// Connect timeouts can be shorter than the time for which the listener stays open. The node must not exit before that.
func TestShortConnectTimeoutsDoNotEndShutdownEarly(t *testing.T) {
	harness := newHarness(t, "proxy", 1, 100)
	harness.node.listener.MaxConnectTimeout = 0.05
	harness.node.sharesAddress = true
	harness.holdListener = true
	client := harness.accept()
	harness.apply(Shutdown{})
	harness.advance(0.59)
	if harness.exited {
		t.Fatal("exited while the listener was open")
	}
	harness.advance(0.02)
	if harness.closeRequests != 1 || harness.written[client] != "BUSY\r\n" {
		t.Fatalf("%d requests to close the listener, an idle client was sent %q", harness.closeRequests, harness.written[client])
	}
	harness.advance(0.2)
	if !harness.exited {
		t.Fatal("no exit although the time is over")
	}
}
