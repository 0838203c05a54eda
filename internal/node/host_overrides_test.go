package node

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"gorseledge/internal/discovery/endpoint"
)

// A host that the settings disable gets nothing new from the answer on, also no line on a connection that was being
// opened; its clients are moved; and it comes back by itself at the time that the settings say, cold.
func TestHostIsDisabledUntilItsTime(t *testing.T) {
	harness := newHarnessWith(t, settingsWithShares, "proxy", 2, 1000)
	client, host := harness.establish(chatRequest)
	if harness.dialedAddress[host] != "h0" && harness.dialedAddress[host] != "h1" {
		t.Fatal(harness.dialedAddress[host])
	}
	at := harness.dialedAddress[host]
	name := map[string]string{"h0": "s-00000064", "h1": "s-00000065"}[at]
	var opening Conn // a connect to the host that is not up yet
	for opening == 0 {
		harness.openFlow(chatRequest)
		if d := harness.flowDials[len(harness.flowDials)-1]; harness.dialedAddress[d] == at {
			opening = d
		}
	}
	end := math.Ceil(harness.now) + 10
	if err := harness.applySettings(1, fmt.Sprintf("hosts.%s.disabled_until_s = %.0f", name, end)); err != nil {
		t.Fatal(err)
	}
	if harness.connectionState[opening] != "closed" && harness.connectionState[opening] != "reset" {
		t.Errorf("a connection that was being opened is %q", harness.connectionState[opening])
	}
	began := len(harness.flowDials)
	for harness.now < end-0.3 {
		harness.establish(chatRequest)
		harness.advance(0.2)
	}
	harness.advance(end - 0.05 - harness.now)
	harness.establish(chatRequest)
	if n := harness.dialsTo(at, began); n != 0 {
		t.Errorf("%d connects to a disabled host", n)
	}
	if !strings.HasPrefix(harness.written[client], "UP 77\r\nMOVE") && harness.connectionState[client] == "" {
		t.Errorf("its client was told %q", harness.written[client])
	}
	if harness.node.timers.armedAt > end {
		t.Errorf("asked to be woken at %f, the host comes back at %f", harness.node.timers.armedAt, end)
	}
	harness.now = end
	harness.apply(TimerFired{})
	if harness.unavailable() != 0 {
		t.Error("still out at its time")
	}
	began = len(harness.flowDials)
	for range 200 {
		harness.openFlow(chatRequest)
		harness.advance(0.1)
	}
	if harness.dialsTo(at, began) == 0 {
		t.Error("it gets nothing after its time")
	}
}

// A host is out while an operator or the settings have it out, whichever came first or goes first.
func TestOperatorAndSettingsDisableIndependently(t *testing.T) {
	const name = "s-00000064"
	const entry = "hosts.s-00000064.disabled_until_s = 1000000010"
	byHand := func(q Question) func(*testHarness) { return func(harness *testHarness) { harness.query(q, name) } }
	set := func(number uint64, text string) func(*testHarness) {
		return func(harness *testHarness) {
			if err := harness.applySettings(number, text); err != nil {
				harness.Fatal(err)
			}
		}
	}
	later := func(harness *testHarness) { harness.advance(11) }
	for _, c := range []struct {
		name  string
		steps []func(*testHarness)
		out   int
	}{
		{"by hand", []func(*testHarness){byHand(DisableHost)}, 1},
		{"by settings", []func(*testHarness){set(1, entry)}, 1},
		{"both", []func(*testHarness){byHand(DisableHost), set(1, entry)}, 1},
		{"both, back by hand", []func(*testHarness){byHand(DisableHost), set(1, entry), byHand(EnableHost)}, 1},
		{"both, back by settings", []func(*testHarness){byHand(DisableHost), set(1, entry), set(2, "")}, 1},
		{"both, settings expire", []func(*testHarness){set(1, entry), byHand(DisableHost), later}, 1},
		{"both, both back", []func(*testHarness){byHand(DisableHost), set(1, entry), byHand(EnableHost), set(2, "")}, 0},
		{"both, back by hand, settings expire", []func(*testHarness){byHand(DisableHost), set(1, entry), byHand(EnableHost), later}, 0},
		{"by settings, put back by hand though not out by hand", []func(*testHarness){set(1, entry), func(harness *testHarness) {
			if a := harness.query(EnableHost, name); !a.OK || !a.StillDisabled {
				harness.Errorf("told %+v", a)
			}
		}}, 1},
		{"by settings, a new list", []func(*testHarness){set(1, entry), func(harness *testHarness) { harness.apply(ListReceived{hostList(4)}) }}, 1},
		{"by settings that expired before", []func(*testHarness){set(1, "hosts.s-00000064.disabled_until_s = 999999999")}, 0},
		{"by settings for longer", []func(*testHarness){set(1, entry), set(2, "hosts.s-00000064.disabled_until_s = 1000000020"), later}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			harness := newHarnessWith(t, settingsWithShares, "pass", 4, 100)
			for _, step := range c.steps {
				step(harness)
			}
			if got := harness.unavailable(); got != c.out {
				t.Errorf("%d out", got)
			}
		})
	}
}

// A host that the settings disable before discovery lists it is out from its first listing on, also for a node that has
// just started.
func TestDisabledHostMayBeListedLater(t *testing.T) {
	harness := newHarnessWith(t, settingsWithShares, "pass", 0, 1000)
	if err := harness.applySettings(1, "hosts.s-00000065.disabled_until_s = 1000000060"); err != nil {
		t.Fatal(err)
	}
	harness.apply(ListReceived{endpoint.List{Index: 6, Complete: true, Hosts: hostList(3).Hosts}})
	for range 60 {
		harness.openFlow(chatRequest)
	}
	if harness.dialsTo("h1", 0) != 0 || harness.dialsTo("h0", 0) == 0 || harness.dialsTo("h2", 0) == 0 {
		t.Errorf("%d, %d and %d connects", harness.dialsTo("h0", 0), harness.dialsTo("h1", 0), harness.dialsTo("h2", 0))
	}
}
