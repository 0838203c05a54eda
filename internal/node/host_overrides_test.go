package node

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"gorseledge/internal/discovery/endpoint"
)

// disabledHost is a node whose settings disable one of two hosts while that host has an established flow and a pending
// dial.
type disabledHost struct {
	*testHarness
	address string
	client  ConnID  // client of the established flow
	dial    ConnID  // the pending dial
	until   float64 // Unix time at which the host is enabled again
}

func disableHostWithFlows(t *testing.T) disabledHost {
	t.Helper()
	harness := newHarnessWith(t, settingsWithQuotas, "proxy", 2, 1000)
	client, host := harness.establish(chatRequest)
	address := harness.dialedAddress[host]
	name, listed := map[string]string{"h0": "s-00000064", "h1": "s-00000065"}[address]
	if !listed {
		t.Fatal(address)
	}
	disabled := disabledHost{testHarness: harness, address: address, client: client}
	for disabled.dial == 0 {
		harness.openFlow(chatRequest)
		if dial := harness.flowDials[len(harness.flowDials)-1]; harness.dialedAddress[dial] == address {
			disabled.dial = dial
		}
	}
	disabled.until = math.Ceil(harness.now) + 10
	text := fmt.Sprintf("hosts.%s.disabled_until_s = %.0f", name, disabled.until)
	if err := harness.applySettings(1, text); err != nil {
		t.Fatal(err)
	}
	return disabled
}

// Maintenance of a host that still gets flows breaks them. From when the settings disable a host, it gets no new flow, its
// pending dials are canceled, and its clients are migrated, until the override expires.
func TestDisabledHostGetsNoFlowUntilItsTime(t *testing.T) {
	host := disableHostWithFlows(t)
	if state := host.connectionState[host.dial]; state != "closed" && state != "reset" {
		t.Errorf("the connection of the pending dial is %q", state)
	}
	began := len(host.flowDials)
	for host.now < host.until-0.3 {
		host.establish(chatRequest)
		host.advance(0.2)
	}
	host.advance(host.until - 0.05 - host.now)
	host.establish(chatRequest)
	if dials := host.dialsTo(host.address, began); dials != 0 {
		t.Errorf("%d attempts at a disabled host", dials)
	}
	migrated := strings.HasPrefix(host.written[host.client], "UP 77\r\nMOVE")
	if !migrated && host.connectionState[host.client] == "" {
		t.Errorf("the client of the disabled host was sent %q", host.written[host.client])
	}
	if host.node.timers.armedAt > host.until {
		t.Errorf("the timer is armed for %f, after the override expires at %f", host.node.timers.armedAt, host.until)
	}
	checkEnabledAtItsTime(t, host)
}

// checkEnabledAtItsTime checks that a disabled host is enabled at the time given in the settings, without another input.
func checkEnabledAtItsTime(t *testing.T, host disabledHost) {
	t.Helper()
	host.now = host.until
	host.apply(TimerFired{})
	if host.unavailable() != 0 {
		t.Error("the host is still disabled after its override expired")
	}
	began := len(host.flowDials)
	for range 200 {
		host.openFlow(chatRequest)
		host.advance(0.1)
	}
	if host.dialsTo(host.address, began) == 0 {
		t.Error("the host gets no flow after its override expired")
	}
}

// An operator's disabled host must not be enabled by a change of the settings, nor the reverse. A host is disabled as
// long as an operator or the settings disable it, in any order of the changes.
func TestOperatorAndSettingsDisableIndependently(t *testing.T) {
	const name = "s-00000064"
	const disabled = "hosts.s-00000064.disabled_until_s = 1000000010"
	const disabledLonger = "hosts.s-00000064.disabled_until_s = 1000000020"
	const expired = "hosts.s-00000064.disabled_until_s = 999999999"
	disable := func(harness *testHarness) { harness.query(DisableHost, name) }
	enable := func(harness *testHarness) { harness.query(EnableHost, name) }
	enableWhileDisabledBySettings := func(harness *testHarness) {
		if reply := harness.query(EnableHost, name); !reply.OK || !reply.StillDisabled {
			harness.Errorf("reply %+v", reply)
		}
	}
	set := func(number uint64, text string) func(*testHarness) {
		return func(harness *testHarness) {
			if err := harness.applySettings(number, text); err != nil {
				harness.Fatal(err)
			}
		}
	}
	later := func(harness *testHarness) { harness.advance(11) }
	newList := func(harness *testHarness) { harness.apply(ListReceived{hostList(4)}) }
	for _, c := range []struct {
		name        string
		steps       []func(*testHarness)
		unavailable int
	}{
		{"operator", []func(*testHarness){disable}, 1},
		{"settings", []func(*testHarness){set(1, disabled)}, 1},
		{"both", []func(*testHarness){disable, set(1, disabled)}, 1},
		{"both, operator enables", []func(*testHarness){disable, set(1, disabled), enable}, 1},
		{"both, settings enable", []func(*testHarness){disable, set(1, disabled), set(2, "")}, 1},
		{"both, settings expire", []func(*testHarness){set(1, disabled), disable, later}, 1},
		{"both, both enable", []func(*testHarness){disable, set(1, disabled), enable, set(2, "")}, 0},
		{"both, operator enables, settings expire", []func(*testHarness){disable, set(1, disabled), enable, later}, 0},
		{"settings, operator enables", []func(*testHarness){set(1, disabled), enableWhileDisabledBySettings}, 1},
		{"settings, then a new list", []func(*testHarness){set(1, disabled), newList}, 1},
		{"settings that have already expired", []func(*testHarness){set(1, expired)}, 0},
		{"settings extended", []func(*testHarness){set(1, disabled), set(2, disabledLonger), later}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			harness := newHarnessWith(t, settingsWithQuotas, "pass", 4, 100)
			for _, step := range c.steps {
				step(harness)
			}
			if got := harness.unavailable(); got != c.unavailable {
				t.Errorf("%d unavailable, wanted %d", got, c.unavailable)
			}
		})
	}
}

// A node that starts with a revision in force may learn of a disabled host only later, and must not send flows to it
// then. A host that the settings disable before discovery lists it is disabled from its first listing on.
func TestDisabledHostMayBeListedLater(t *testing.T) {
	harness := newHarnessWith(t, settingsWithQuotas, "pass", 0, 1000)
	if err := harness.applySettings(1, "hosts.s-00000065.disabled_until_s = 1000000060"); err != nil {
		t.Fatal(err)
	}
	harness.apply(ListReceived{endpoint.List{Index: 6, Complete: true, Hosts: hostList(3).Hosts}})
	for range 60 {
		harness.openFlow(chatRequest)
	}
	first, disabled, last := harness.dialsTo("h0", 0), harness.dialsTo("h1", 0), harness.dialsTo("h2", 0)
	if first == 0 || disabled != 0 || last == 0 {
		t.Errorf("%d, %d and %d attempts, wanted none at the second host", first, disabled, last)
	}
}
