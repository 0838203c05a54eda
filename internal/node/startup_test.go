package node

import (
	"fmt"
	"testing"

	"gorseledge/internal/settings"
)

// startAwaitingSettings returns a harness of a node without a predecessor that waits a second for its live settings.
func startAwaitingSettings(t *testing.T) *testHarness {
	t.Helper()
	balancer, listener, err := settings.Parse(fmt.Appendf(nil, settingsWithQuotas, "pass"), 7)
	if err != nil {
		t.Fatal(err)
	}
	harness := newHarnessWith(t, settingsWithQuotas, "pass", 0, 100)
	harness.node = New(harness.now, Start{
		Settings: balancer, Listener: listener, MaxDescriptors: 100, AwaitSettings: 1,
	})
	harness.listenerRequests = 0
	harness.apply(TimerFired{})
	return harness
}

// A node that awaits its live settings opens its listener once it has a first revision.
func TestListenerAwaitsSettings(t *testing.T) {
	harness := startAwaitingSettings(t)
	harness.apply(ListReceived{hostList(4)})
	if harness.listenerRequests != 0 || harness.query(IsReady, "").OK {
		t.Error("opens before the settings are known")
	}
	err := harness.applySettings(1, "hosts.s-00000065.disabled_until_s = 1000000060")
	if err != nil || harness.listenerRequests != 1 {
		t.Errorf("%v, asked for the listener %d times", err, harness.listenerRequests)
	}
}

// A node that awaits its live settings opens its listener without them once the time is over.
func TestListenerOpensWithoutSettingsInTime(t *testing.T) {
	harness := startAwaitingSettings(t)
	if harness.node.timers.armedAt > harness.now+1 {
		t.Errorf("woken at %f at the earliest, %f wanted", harness.node.timers.armedAt, harness.now+1)
	}
	harness.advance(1)
	if harness.listenerRequests != 1 {
		t.Errorf("asked for the listener %d times without any settings", harness.listenerRequests)
	}
}
