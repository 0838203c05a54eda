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
	waiting     ConnID // its answer came after the shutdown began
	late        ConnID // it came after the shutdown began
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

// checkWritten checks what the three clients were sent, and that the node is neither ready nor gone.
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
		s.Fatalf("ready although it shuts down: %q", s.written[ping])
	}
}

// checkExited checks whether the node has exited before and after its drain time, which is two seconds, the longest
// connect timeout, and the margin.
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

// A node that shuts down answers what it accepted, migrates what is established and exits.
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
			t.Fatal("a flow that was accepted got no answer")
		}
		if late := node.openFlow(chatRequest); node.written[late] != "BUSY\r\n" {
			t.Fatalf("one that comes too late is sent %q", node.written[late])
		}
		node.advance(5) // an exit would end what goes on elsewhere when the node is killed
		if state := node.connectionState[node.established]; node.exited || state != "" {
			t.Fatalf("exited %v, a connection in flight is %q", node.exited, state)
		}
		node.receive(node.established, "", StreamBroken)
		node.receive(node.waiting, "", StreamBroken)
		node.advance(0.1)
		if !node.exited {
			t.Fatal("nothing is in flight, and it does not exit")
		}
	})
}

// A signal that asks for a shutdown or a new configuration while discovery is out leaves a waiting flow its answer.
func TestSignalWhileDiscoveryIsOutLeavesFlowItsAnswer(t *testing.T) {
	for _, input := range []Input{DiscoveryMoved{}, Shutdown{}} {
		t.Run(fmt.Sprintf("%T", input), func(t *testing.T) {
			harness := newHarness(t, "proxy", 1, 100)
			client := harness.openFlow(chatRequest)
			harness.apply(WatchFailed{Reason: "the end"})
			harness.apply(input)
			harness.receive(harness.completeLastDial(), "UP 5\r\n", StreamOpen)
			if want := "UP 5\r\n"; !strings.HasPrefix(harness.written[client], want) {
				t.Errorf("sent %q", harness.written[client])
			}
		})
	}
}

// A shutdown begins once, whatever asks for it again.
func TestShutdownBeginsOnce(t *testing.T) {
	var s shutdown
	s.begin(10)
	s.begin(12)
	if !s.started || s.startedAt != 10 {
		t.Errorf("started %v at %g", s.started, s.startedAt)
	}
	if s.passed(10.5, 1) || !s.passed(11, 1) {
		t.Error("the time since the begin is wrong")
	}
}
