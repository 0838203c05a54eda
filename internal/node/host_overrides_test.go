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
	w := newHarnessWith(t, settingsWithShares, "proxy", 2, 1000)
	client, host := w.establish(chatRequest)
	if w.dialedAddress[host] != "h0" && w.dialedAddress[host] != "h1" {
		t.Fatal(w.dialedAddress[host])
	}
	at := w.dialedAddress[host]
	name := map[string]string{"h0": "s-00000064", "h1": "s-00000065"}[at]
	var opening Conn // a connect to the host that is not up yet
	for opening == 0 {
		w.openFlow(chatRequest)
		if d := w.flowDials[len(w.flowDials)-1]; w.dialedAddress[d] == at {
			opening = d
		}
	}
	end := math.Ceil(w.now) + 10
	if err := w.applySettings(1, fmt.Sprintf("hosts.%s.disabled_until_s = %.0f", name, end)); err != nil {
		t.Fatal(err)
	}
	if w.connectionState[opening] != "closed" && w.connectionState[opening] != "reset" {
		t.Errorf("a connection that was being opened is %q", w.connectionState[opening])
	}
	began := len(w.flowDials)
	for w.now < end-0.3 {
		w.establish(chatRequest)
		w.advance(0.2)
	}
	w.advance(end - 0.05 - w.now)
	w.establish(chatRequest)
	if n := w.dialsTo(at, began); n != 0 {
		t.Errorf("%d connects to a disabled host", n)
	}
	if !strings.HasPrefix(w.written[client], "UP 77\r\nMOVE") && w.connectionState[client] == "" {
		t.Errorf("its client was told %q", w.written[client])
	}
	if w.node.timers.armedAt > end {
		t.Errorf("asked to be woken at %f, the host comes back at %f", w.node.timers.armedAt, end)
	}
	w.now = end
	w.apply(TimerFired{})
	if w.node.currentFigures().Unavailable != 0 {
		t.Error("still out at its time")
	}
	began = len(w.flowDials)
	for range 200 {
		w.openFlow(chatRequest)
		w.advance(0.1)
	}
	if w.dialsTo(at, began) == 0 {
		t.Error("it gets nothing after its time")
	}
}

// A host is out while an operator or the settings have it out, whichever came first or goes first.
func TestOperatorAndSettingsDisableIndependently(t *testing.T) {
	const name = "s-00000064"
	const entry = "hosts.s-00000064.disabled_until_s = 1000000010"
	byHand := func(q Question) func(*testHarness) { return func(w *testHarness) { w.query(q, name) } }
	set := func(number uint64, text string) func(*testHarness) {
		return func(w *testHarness) {
			if err := w.applySettings(number, text); err != nil {
				w.Fatal(err)
			}
		}
	}
	later := func(w *testHarness) { w.advance(11) }
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
		{"by settings, put back by hand though not out by hand", []func(*testHarness){set(1, entry), func(w *testHarness) {
			if a := w.query(EnableHost, name); !a.OK || !a.StillDisabled {
				w.Errorf("told %+v", a)
			}
		}}, 1},
		{"by settings, a new list", []func(*testHarness){set(1, entry), func(w *testHarness) { w.apply(ListReceived{hostList(4)}) }}, 1},
		{"by settings that expired before", []func(*testHarness){set(1, "hosts.s-00000064.disabled_until_s = 999999999")}, 0},
		{"by settings for longer", []func(*testHarness){set(1, entry), set(2, "hosts.s-00000064.disabled_until_s = 1000000020"), later}, 1},
	} {
		w := newHarnessWith(t, settingsWithShares, "pass", 4, 100)
		for _, step := range c.steps {
			step(w)
		}
		if got := w.node.currentFigures().Unavailable; got != c.out {
			t.Errorf("%s: %d out", c.name, got)
		}
	}
}

// A host that the settings disable before discovery lists it is out from its first listing on, also for a node that has
// just started.
func TestDisabledHostMayBeListedLater(t *testing.T) {
	w := newHarnessWith(t, settingsWithShares, "pass", 0, 1000)
	if err := w.applySettings(1, "hosts.s-00000065.disabled_until_s = 1000000060"); err != nil {
		t.Fatal(err)
	}
	w.apply(ListReceived{endpoint.List{Index: 6, Complete: true, Hosts: hostList(3).Hosts}})
	for range 60 {
		w.openFlow(chatRequest)
	}
	if w.dialsTo("h1", 0) != 0 || w.dialsTo("h0", 0) == 0 || w.dialsTo("h2", 0) == 0 {
		t.Errorf("%d, %d and %d connects", w.dialsTo("h0", 0), w.dialsTo("h1", 0), w.dialsTo("h2", 0))
	}
}
