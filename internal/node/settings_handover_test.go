package node

import (
	"fmt"
	"strings"
	"testing"

	"gorseledge/internal/settings"
)

// In an upgrade the successor has the predecessor's revision before it takes a client, each process tells the other
// what comes later, and a host that either has out takes nothing at either.
func TestRevisionGoesOverToSuccessor(t *testing.T) {
	const out = "hosts.s-00000065.disabled_until_s = 1000000060\n"
	predecessor := newHarness(t, "pass", 3, 100)
	if err := predecessor.applySettings(1, out+"limits.max_connects = 2"); err != nil {
		t.Fatal(err)
	}
	predecessor.query(DisableHost, "s-00000066")
	successor := predecessor.startSuccessor("pass")
	if successor.node.live.revision.Number != 1 || successor.node.balancer.MaxAttempts != 2 || successor.unavailable() != 2 {
		t.Fatalf("%+v, %d connects, %d out", successor.node.live.revision, successor.node.balancer.MaxAttempts, successor.unavailable())
	}
	if err := predecessor.applySettings(2, out+"limits.max_connects = 1"); err != nil { // between claim and take
		t.Fatal(err)
	}
	predecessor.deliverTransfers(successor, false)
	if successor.node.live.revision.Number != 2 || successor.node.balancer.MaxAttempts != 1 {
		t.Fatalf("%+v before the clients came", successor.node.live.revision)
	}
	predecessor.handOverTo(successor)
	if successor.unavailable() != 2 || len(successor.discoveryMoves) != 0 {
		t.Errorf("%d out", successor.unavailable())
	}
	for range 40 {
		successor.openFlow(chatRequest)
	}
	if successor.dialsTo("h1", 0)+successor.dialsTo("h2", 0) != 0 || successor.dialsTo("h0", 0) == 0 {
		t.Error("a host that is out got a flow")
	}
	if err := successor.applySettings(3, ""); err != nil { // the one that has the clients follows from here on
		t.Fatal(err)
	}
	successor.deliverTransfers(predecessor, false)
	predecessor.deliverTransfers(successor, false)
	if predecessor.node.live.revision.Number != 3 || predecessor.unavailable() != 1 || successor.unavailable() != 1 || len(successor.updates)+len(predecessor.updates) != 0 {
		t.Errorf("%d and %d in force, %d and %d out", predecessor.node.live.revision.Number, successor.node.live.revision.Number, predecessor.unavailable(), successor.unavailable())
	}
	successor.query(EnableHost, "s-00000066")
	if successor.unavailable() != 0 {
		t.Error("what was out by hand at the predecessor cannot be put back")
	}
}

// A revision that does not fit the successor leaves no window for a host that the predecessor had out.
func TestUnfitRevisionKeepsHostsDisabled(t *testing.T) {
	predecessor := newHarness(t, "pass", 3, 100)
	if err := predecessor.applySettings(1, "hosts.s-00000065.disabled_until_s = 1000000060\nlimits.max_connects = 2"); err != nil {
		t.Fatal(err)
	}
	left := exchangeJSON(predecessor, predecessor.query(ClaimHandover, "").Handover)
	fewer := strings.Replace(settingsJSON, `"max_connects":3`, `"max_connects":1`, 1)
	r, d, err := settings.Parse(fmt.Appendf(nil, fewer, "pass"), 8)
	if err != nil {
		t.Fatal(err)
	}
	successor := newHarness(t, "pass", 0, 100)
	successor.node = New(successor.now, Start{Settings: r, Listener: d, MaxDescriptors: 100, NotListening: true, Handover: left})
	successor.apply(TimerFired{})
	if !successor.node.live.revision.IsZero() || successor.node.balancer.MaxAttempts != 1 || successor.unavailable() != 1 {
		t.Errorf("%+v, %d connects, %d out", successor.node.live.revision, successor.node.balancer.MaxAttempts, successor.unavailable())
	}
}
