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
	start := func() *world {
		w := newWorldOf(t, settingsWithShares, "pass", 0, 100)
		w.n = New(w.now, Start{Settings: r, Listener: d, MaxDescriptors: 100, AwaitSettings: 1})
		w.ready = 0
		w.do(TimerFired{})
		return w
	}
	w := start()
	w.do(ListReceived{hostList(4)})
	if w.ready != 0 || w.asks(IsReady, "").OK {
		t.Error("opens before the settings are known")
	}
	if err := w.configure(1, "hosts.s-00000065.disabled_until_s = 1000000060"); err != nil || w.ready != 1 {
		t.Errorf("%v, opened %d times", err, w.ready)
	}
	w = start()
	if w.n.timerAt > w.now+1 {
		t.Errorf("woken at %f at the earliest, %f wanted", w.n.timerAt, w.now+1)
	}
	w.pass(1)
	if w.ready != 1 {
		t.Errorf("opened %d times without a word of the settings", w.ready)
	}
}

// In an upgrade the successor has the predecessor's revision before it takes a client, each process tells the other
// what comes later, and a host that either has out takes nothing at either.
func TestRevisionGoesOver(t *testing.T) {
	const out = "hosts.s-00000065.disabled_until_s = 1000000060\n"
	w := newWorld(t, "pass", 3, 100)
	if err := w.configure(1, out+"limits.max_connects = 2"); err != nil {
		t.Fatal(err)
	}
	w.asks(DisableHost, "s-00000066")
	h := w.successor("pass")
	if h.n.live.revision.Number != 1 || h.n.module.MaxAttempts != 2 || h.n.tell().Unavailable != 2 {
		t.Fatalf("%+v, %d connects, %d out", h.n.live.revision, h.n.module.MaxAttempts, h.n.tell().Unavailable)
	}
	if err := w.configure(2, out+"limits.max_connects = 1"); err != nil { // between claim and take
		t.Fatal(err)
	}
	w.carry(h, false)
	if h.n.live.revision.Number != 2 || h.n.module.MaxAttempts != 1 {
		t.Fatalf("%+v before the clients came", h.n.live.revision)
	}
	w.takenBy(h)
	if h.n.tell().Unavailable != 2 || len(h.relocated) != 0 {
		t.Errorf("%d out", h.n.tell().Unavailable)
	}
	for range 40 {
		h.come(chat)
	}
	if h.to("h1", 0)+h.to("h2", 0) != 0 || h.to("h0", 0) == 0 {
		t.Error("a host that is out got a flow")
	}
	if err := h.configure(3, ""); err != nil { // the one that has the clients follows from here on
		t.Fatal(err)
	}
	h.carry(w, false)
	w.carry(h, false)
	if w.n.live.revision.Number != 3 || w.n.tell().Unavailable != 1 || h.n.tell().Unavailable != 1 || len(h.news)+len(w.news) != 0 {
		t.Errorf("%d and %d in force, %d and %d out", w.n.live.revision.Number, h.n.live.revision.Number, w.n.tell().Unavailable, h.n.tell().Unavailable)
	}
	if h.asks(EnableHost, "s-00000066"); h.n.tell().Unavailable != 0 {
		t.Error("what was out by hand at the predecessor cannot be put back")
	}
}

// A revision that does not fit the successor leaves no window for a host that the predecessor had out.
func TestUnfitRevisionKeepsHostsOut(t *testing.T) {
	w := newWorld(t, "pass", 3, 100)
	if err := w.configure(1, "hosts.s-00000065.disabled_until_s = 1000000060\nlimits.max_connects = 2"); err != nil {
		t.Fatal(err)
	}
	left := crossed(w, w.asks(ClaimHandover, "").Handover)
	fewer := strings.Replace(settingsJSON, `"max_connects":3`, `"max_connects":1`, 1)
	r, d, err := settings.Parse(fmt.Appendf(nil, fewer, "pass"), 8)
	if err != nil {
		t.Fatal(err)
	}
	h := newWorld(t, "pass", 0, 100)
	h.n = New(h.now, Start{Settings: r, Listener: d, MaxDescriptors: 100, NotListening: true, Handover: left})
	h.do(TimerFired{})
	if !h.n.live.revision.IsZero() || h.n.module.MaxAttempts != 1 || h.n.tell().Unavailable != 1 {
		t.Errorf("%+v, %d connects, %d out", h.n.live.revision, h.n.module.MaxAttempts, h.n.tell().Unavailable)
	}
}
