package node

import (
	"fmt"
	"testing"

	"gorseledge/internal/settings"
)

// startAwaitingSettings returns a harness with a node that has no predecessor and waits a second for its live settings.
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

// A node that serves clients before its first revision could send them to disabled hosts. Its listener stays closed until
// the revision is received.
func TestListenerAwaitsSettings(t *testing.T) {
	harness := startAwaitingSettings(t)
	harness.apply(ListReceived{hostList(4)})
	if harness.listenerRequests != 0 || harness.query(IsReady, "").OK {
		t.Error("the listener was requested before the first revision")
	}
	err := harness.applySettings(1, "hosts.s-00000065.disabled_until_s = 1000000060")
	if err != nil || harness.listenerRequests != 1 {
		t.Errorf("error %v, %d requests for the listener, wanted 1", err, harness.listenerRequests)
	}
}

// If the configuration is unavailable, a node that waited for it without a limit would never serve. The listener is
// opened without a revision once the time is over.
func TestListenerOpensWithoutSettingsInTime(t *testing.T) {
	harness := startAwaitingSettings(t)
	if harness.node.timers.armedAt > harness.now+1 {
		t.Errorf("the timer is armed for %f, wanted %f or earlier", harness.node.timers.armedAt, harness.now+1)
	}
	harness.advance(1)
	if harness.listenerRequests != 1 {
		t.Errorf("%d requests for the listener after the time was over, wanted 1", harness.listenerRequests)
	}
}

// An operator who ends the old process as soon as the new one is ready would have it reject clients that it accepted before
// and whose first line is still to come. A node that replaces another process reports that it is ready only after the time
// in which a client sends its first line; readiness checks of clients, which reach it alone, are answered at once.
func TestReadyOnceOtherProcessMayShutDown(t *testing.T) {
	for _, c := range []struct {
		name        string
		opened      ListenerOpened
		readyAtOnce bool
	}{
		{"replaces another process", ListenerOpened{Replaces: true}, false},
		{"replaces none", ListenerOpened{}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			harness := startAwaitingSettings(t)
			harness.apply(ListReceived{hostList(4)})
			harness.advance(1)
			harness.apply(c.opened)
			if got := harness.query(IsReady, "").OK; got != c.readyAtOnce {
				t.Errorf("ready at once: %v, want %v", got, c.readyAtOnce)
			}
			if !isReadyByPing(harness) {
				t.Error("a client's readiness check was answered with not ready")
			}
			harness.advance(firstLineGrace + 0.01)
			if !harness.query(IsReady, "").OK {
				t.Errorf("not ready %g s after the listener was opened", firstLineGrace)
			}
		})
	}
}
