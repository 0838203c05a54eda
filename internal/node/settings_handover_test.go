package node

import (
	"fmt"
	"strings"
	"testing"

	"gorseledge/internal/settings"
)

// A successor that started without the predecessor's revision would send flows to disabled hosts until it received one.
// It has the revision before it serves clients, each process notifies the other of later revisions, and a host that
// either process has disabled gets no flow from either.
func TestRevisionIsHandedOver(t *testing.T) {
	const disabled = "hosts.s-00000065.disabled_until_s = 1000000060\n"
	predecessor := newHarness(t, "pass", 3, 100)
	if err := predecessor.applySettings(1, disabled+"limits.max_connects = 2"); err != nil {
		t.Fatal(err)
	}
	predecessor.query(DisableHost, "s-00000066")
	successor := predecessor.startSuccessor("pass")
	checkSettings(t, successor, 1, 2, 2)
	if err := predecessor.applySettings(2, disabled+"limits.max_connects = 1"); err != nil {
		t.Fatal(err)
	}
	predecessor.deliverTransfers(successor, false)
	checkSettings(t, successor, 2, 1, 2)
	predecessor.handOverTo(successor)
	if successor.unavailable() != 2 || len(successor.discoveryMoves) != 0 {
		t.Errorf("%d unavailable", successor.unavailable())
	}
	for range 40 {
		successor.openFlow(chatRequest)
	}
	toDisabled := successor.dialsTo("h1", 0) + successor.dialsTo("h2", 0)
	if toDisabled != 0 || successor.dialsTo("h0", 0) == 0 {
		t.Error("a disabled host got a flow")
	}
	if err := successor.applySettings(3, ""); err != nil { // the process that serves the clients receives the revisions now
		t.Fatal(err)
	}
	successor.deliverTransfers(predecessor, false)
	predecessor.deliverTransfers(successor, false)
	checkSettings(t, predecessor, 3, 3, 1)
	if updates := len(successor.updates) + len(predecessor.updates); successor.unavailable() != 1 || updates != 0 {
		t.Errorf("%d unavailable, %d updates", successor.unavailable(), updates)
	}
	successor.query(EnableHost, "s-00000066")
	if successor.unavailable() != 0 {
		t.Error("a host that was disabled at the predecessor cannot be enabled")
	}
}

// checkSettings checks the revision in force, the limit of attempts and the number of unavailable hosts.
func checkSettings(t *testing.T, harness *testHarness, number uint64, maxAttempts, unavailable int) {
	t.Helper()
	revision := harness.node.Revision()
	attempts := harness.node.balancer.MaxAttempts
	if revision.Number != number || attempts != maxAttempts || harness.unavailable() != unavailable {
		t.Fatalf("%+v, %d attempts, %d unavailable; wanted revision %d, %d, %d", revision, attempts,
			harness.unavailable(), number, maxAttempts, unavailable)
	}
}

// If a successor's start settings do not allow the predecessor's revision, the hosts that the revision disables would
// get flows until another revision arrives. They stay disabled instead.
func TestRejectedRevisionKeepsHostsDisabled(t *testing.T) {
	predecessor := newHarness(t, "pass", 3, 100)
	text := "hosts.s-00000065.disabled_until_s = 1000000060\nlimits.max_connects = 2"
	if err := predecessor.applySettings(1, text); err != nil {
		t.Fatal(err)
	}
	state := exchangeJSON(predecessor, predecessor.query(ClaimHandover, "").Handover)
	fewer := strings.Replace(settingsJSON, `"max_connects":3`, `"max_connects":1`, 1)
	balancer, listener, err := settings.Parse(fmt.Appendf(nil, fewer, "pass"), 8)
	if err != nil {
		t.Fatal(err)
	}
	successor := newHarness(t, "pass", 0, 100)
	successor.node = New(successor.now, Start{
		Settings: balancer, Listener: listener, MaxDescriptors: 100, HasPredecessor: true, Handover: state,
	})
	successor.apply(TimerFired{})
	if !successor.node.Revision().IsZero() {
		t.Errorf("revision %+v is in force, wanted none", successor.node.Revision())
	}
	checkSettings(t, successor, 0, 1, 1)
}
