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
		harness := newHarnessWith(t, settingsWithShares, "pass", 0, 100)
		harness.node = New(harness.now, Start{Settings: r, Listener: d, MaxDescriptors: 100, AwaitSettings: 1})
		harness.listenerRequests = 0
		harness.apply(TimerFired{})
		return harness
	}
	harness := start()
	harness.apply(ListReceived{hostList(4)})
	if harness.listenerRequests != 0 || harness.query(IsReady, "").OK {
		t.Error("opens before the settings are known")
	}
	if err := harness.applySettings(1, "hosts.s-00000065.disabled_until_s = 1000000060"); err != nil || harness.listenerRequests != 1 {
		t.Errorf("%v, opened %d times", err, harness.listenerRequests)
	}
	harness = start()
	if harness.node.timers.armedAt > harness.now+1 {
		t.Errorf("woken at %f at the earliest, %f wanted", harness.node.timers.armedAt, harness.now+1)
	}
	harness.advance(1)
	if harness.listenerRequests != 1 {
		t.Errorf("opened %d times without a word of the settings", harness.listenerRequests)
	}
}
