package node

import (
	"fmt"
	"strings"
	"testing"

	"gorseledge/internal/settings"
)

// A process that starts without a predecessor opens its listener once it has a first revision, and without one after
// the time that it is to wait for it.
func TestListenerAwaitsSettings(t *testing.T) {
	r, d, err := settings.Parse(fmt.Appendf(nil, settingsWithShares, "pass"), 7)
	if err != nil {
		t.Fatal(err)
	}
	start := func() *harness {
		w := newHarnessWith(t, settingsWithShares, "pass", 0, 100)
		w.node = New(w.now, Start{Settings: r, Listener: d, MaxDescriptors: 100, AwaitSettings: 1})
		w.openRequests = 0
		w.apply(TimerFired{})
		return w
	}
	w := start()
	w.apply(ListReceived{hostList(4)})
	if w.openRequests != 0 || w.query(IsReady, "").OK {
		t.Error("opens before the settings are known")
	}
	if err := w.applySettings(1, "hosts.s-00000065.disabled_until_s = 1000000060"); err != nil || w.openRequests != 1 {
		t.Errorf("%v, opened %d times", err, w.openRequests)
	}
	w = start()
	if w.node.timers.armedAt > w.now+1 {
		t.Errorf("woken at %f at the earliest, %f wanted", w.node.timers.armedAt, w.now+1)
	}
	w.advance(1)
	if w.openRequests != 1 {
		t.Errorf("opened %d times without a word of the settings", w.openRequests)
	}
}

// In an upgrade the successor has the predecessor's revision before it takes a client, each process tells the other
// what comes later, and a host that either has out takes nothing at either.
func TestRevisionGoesOver(t *testing.T) {
	const out = "hosts.s-00000065.disabled_until_s = 1000000060\n"
	w := newHarness(t, "pass", 3, 100)
	if err := w.applySettings(1, out+"limits.max_connects = 2"); err != nil {
		t.Fatal(err)
	}
	w.query(DisableHost, "s-00000066")
	h := w.successor("pass")
	if h.node.live.revision.Number != 1 || h.node.balancer.MaxAttempts != 2 || h.node.currentFigures().Unavailable != 2 {
		t.Fatalf("%+v, %d connects, %d out", h.node.live.revision, h.node.balancer.MaxAttempts, h.node.currentFigures().Unavailable)
	}
	if err := w.applySettings(2, out+"limits.max_connects = 1"); err != nil { // between claim and take
		t.Fatal(err)
	}
	w.deliverTransfers(h, false)
	if h.node.live.revision.Number != 2 || h.node.balancer.MaxAttempts != 1 {
		t.Fatalf("%+v before the clients came", h.node.live.revision)
	}
	w.handOverTo(h)
	if h.node.currentFigures().Unavailable != 2 || len(h.discoveryMoves) != 0 {
		t.Errorf("%d out", h.node.currentFigures().Unavailable)
	}
	for range 40 {
		h.openFlow(chat)
	}
	if h.dialsTo("h1", 0)+h.dialsTo("h2", 0) != 0 || h.dialsTo("h0", 0) == 0 {
		t.Error("a host that is out got a flow")
	}
	if err := h.applySettings(3, ""); err != nil { // the one that has the clients follows from here on
		t.Fatal(err)
	}
	h.deliverTransfers(w, false)
	w.deliverTransfers(h, false)
	if w.node.live.revision.Number != 3 || w.node.currentFigures().Unavailable != 1 || h.node.currentFigures().Unavailable != 1 || len(h.updates)+len(w.updates) != 0 {
		t.Errorf("%d and %d in force, %d and %d out", w.node.live.revision.Number, h.node.live.revision.Number, w.node.currentFigures().Unavailable, h.node.currentFigures().Unavailable)
	}
	if h.query(EnableHost, "s-00000066"); h.node.currentFigures().Unavailable != 0 {
		t.Error("what was out by hand at the predecessor cannot be put back")
	}
}

// A revision that does not fit the successor leaves no window for a host that the predecessor had out.
func TestUnfitRevisionKeepsHostsOut(t *testing.T) {
	w := newHarness(t, "pass", 3, 100)
	if err := w.applySettings(1, "hosts.s-00000065.disabled_until_s = 1000000060\nlimits.max_connects = 2"); err != nil {
		t.Fatal(err)
	}
	left := exchangeJSON(w, w.query(ClaimHandover, "").Handover)
	fewer := strings.Replace(settingsJSON, `"max_connects":3`, `"max_connects":1`, 1)
	r, d, err := settings.Parse(fmt.Appendf(nil, fewer, "pass"), 8)
	if err != nil {
		t.Fatal(err)
	}
	h := newHarness(t, "pass", 0, 100)
	h.node = New(h.now, Start{Settings: r, Listener: d, MaxDescriptors: 100, NotListening: true, Handover: left})
	h.apply(TimerFired{})
	if !h.node.live.revision.IsZero() || h.node.balancer.MaxAttempts != 1 || h.node.currentFigures().Unavailable != 1 {
		t.Errorf("%+v, %d connects, %d out", h.node.live.revision, h.node.balancer.MaxAttempts, h.node.currentFigures().Unavailable)
	}
}
