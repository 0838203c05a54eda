package node

import (
	"fmt"
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
	start := func() *testHarness {
		w := newHarnessWith(t, settingsWithShares, "pass", 0, 100)
		w.node = New(w.now, Start{Settings: r, Listener: d, MaxDescriptors: 100, AwaitSettings: 1})
		w.listenerRequests = 0
		w.apply(TimerFired{})
		return w
	}
	w := start()
	w.apply(ListReceived{hostList(4)})
	if w.listenerRequests != 0 || w.query(IsReady, "").OK {
		t.Error("opens before the settings are known")
	}
	if err := w.applySettings(1, "hosts.s-00000065.disabled_until_s = 1000000060"); err != nil || w.listenerRequests != 1 {
		t.Errorf("%v, opened %d times", err, w.listenerRequests)
	}
	w = start()
	if w.node.timers.armedAt > w.now+1 {
		t.Errorf("woken at %f at the earliest, %f wanted", w.node.timers.armedAt, w.now+1)
	}
	w.advance(1)
	if w.listenerRequests != 1 {
		t.Errorf("opened %d times without a word of the settings", w.listenerRequests)
	}
}
