package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gorseledge/internal/node/live"
)

// Each live key changes the next decision; a flow that waits since before keeps its deadline.
func TestLiveKeyDecidesNextFlow(t *testing.T) {
	for _, c := range []struct {
		name, text string
		decide     func(harness *testHarness) any
	}{
		{"retry advice", "retry_advice_s = 100", func(harness *testHarness) any { return shortestRetryAfter(harness) > 1500 }},
		{"no retry advice", "retry_advice_s = 0", func(harness *testHarness) any { return shortestRetryAfter(harness) > 0 }},
		{"connects for a flow", "limits.max_connects = 1", func(harness *testHarness) any { return countFailedDials(harness) }},
		{"descriptors", "limits.sockets = 32", func(harness *testHarness) any {
			for range 8 {
				harness.openFlow(chatRequest)
			}
			busy := 0
			for _, said := range harness.written {
				if said == "BUSY\r\n" {
					busy++
				}
			}
			return busy
		}},
		{"time to ask within", "ask_within_s = 0.5", func(harness *testHarness) any {
			harness.watchSilent = true
			asked := len(harness.watchIndices)
			for range 20 {
				harness.apply(WatchFailed{"gone"})
				harness.advance(0.6)
			}
			return len(harness.watchIndices) - asked
		}},
		{"number of nodes", "nodes = 100", func(harness *testHarness) any { return harness.node.balancer.Nodes }},
		{"discovery", `discovery = "127.0.0.1:9"`, func(harness *testHarness) any { return fmt.Sprint(harness.discoveryMoves, len(harness.watchIndices)) }},
		{"a cold host's share", "slow_start = {from = 1.0}", outcomeOnWarmingHost},
		{"a cold host's time", "slow_start = {for_s = 0.1}", outcomeOnWarmingHost},
		{"what a cold host falls over at", "slow_start = {fall_multiple = 20}", outcomeOnWarmingHost},
		{"for how long a cold host bears it", "slow_start = {fall_for_s = 60}", outcomeOnWarmingHost},
		{"a tenant's share", "tenants.acme.connections = 0", func(harness *testHarness) any { return harness.node.balancer.Quotas[0] }},
		{"a setup's target", "service_types.chat.setup_target_s = 1.8", func(harness *testHarness) any {
			harness.openFlow(chatRequest)
			harness.completeLastDial() // says nothing
			dials := len(harness.flowDials)
			harness.advance(1.5)
			return len(harness.flowDials) - dials
		}},
		{"a message's target", "service_types.mail.message_target_s = 0.01", func(harness *testHarness) any {
			return harness.node.balancer.ServiceTypes[1].MessageObjective
		}},
		{"a disabled host", "hosts.s-00000065.disabled_until_s = 1000000060", func(harness *testHarness) any {
			for range 40 {
				harness.openFlow(chatRequest)
			}
			return slices.ContainsFunc(harness.flowDials, func(c Conn) bool { return harness.dialedAddress[c] == "h1" })
		}},
		{"a host's weight", "hosts.s-00000065.weight = 99", func(harness *testHarness) any {
			for i := range 24 {
				harness.openFlow(fmt.Sprintf("%x g=%x,c=chat,t=acme,d=2000", i+1, i+1))
			}
			return harness.dialsTo("h1", 0)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			answeredAfter := func(configure bool) (seconds float64, decided any) {
				harness := newHarnessWith(t, settingsWithShares, "pass", 4, 60)
				harness.apply(NodesChanged{0}) // no member is counted
				harness.node.live.memberCount = 0
				began := harness.now
				waits := harness.openFlow(orderRequest)
				harness.completeLastDial() // takes the line and says nothing
				harness.advance(0.1)
				if configure {
					if err := harness.applySettings(1, c.text); err != nil || len(harness.settingsResults[0].Ignored) != 0 {
						t.Fatalf("%v, ignored %v", err, harness.settingsResults[0].Ignored)
					}
				}
				for harness.written[waits] == "" && harness.now < began+5 {
					harness.advance(0.01)
				}
				seconds = harness.now - began
				harness.flowDials = nil
				return seconds, c.decide(harness)
			}
			without, as := answeredAfter(false)
			with, by := answeredAfter(true)
			if as == by {
				t.Errorf("%v with and without", as)
			}
			if without != with || with > 2 || with < 1.9 {
				t.Errorf("the flow that waited was answered after %g s, and after %g s with the change", without, with)
			}
		})
	}
}

// What does not fit the node is refused whole: nothing of the revision is in force, and the one before stays.
func TestRevisionThatDoesNotFitIsRefusedWhole(t *testing.T) {
	for _, c := range []struct{ mode, text, says string }{
		{"none", "retry_advice_s = 1", "retry_advice_s: this node's clients follow no retry time"},
		{"shares", "limits.max_connects = 4", "limits.max_connects: 4 is over the start's 3"},
		{"shares", "limits.sockets = 101", "limits.sockets: 101 is over the start's 100"},
		{"none", "slow_start.from = 0.5", "slow_start: this node's start has none"},
	} {
		t.Run(c.text, func(t *testing.T) {
			settings := settingsWithShares
			if c.mode == "none" {
				settings = strings.ReplaceAll(strings.Replace(settings, `"retry_after":true`, `"retry_after":false`, 1),
					`"invariants":{"cold_from":0.1,"cold_us":30000000,"fall_multiple":3,"fall_us":2000000},`, "")
			}
			harness := newHarnessWith(t, settings, "pass", 4, 100)
			if err := harness.applySettings(1, "limits.max_connects = 2"); err != nil {
				t.Fatal(err)
			}
			err := harness.applySettings(2, c.text+"\nhosts.s-00000064.disabled_until_s = 1000000060\nnodes = 9")
			if err == nil || !strings.HasPrefix(err.Error(), c.says) {
				t.Errorf("%s: %v", c.text, err)
			}
			if harness.node.live.revision.Number != 1 || harness.node.balancer.MaxAttempts != 2 || harness.node.balancer.Nodes != 2 || harness.unavailable() != 0 {
				t.Errorf("%s: %+v in force, %d connects, %d nodes, %d hosts out", c.text, harness.node.live.revision, harness.node.balancer.MaxAttempts,
					harness.node.balancer.Nodes, harness.unavailable())
			}
		})
	}
}

// An older revision does not replace a newer one, and the same one again changes nothing.
func TestOlderRevisionIsRefused(t *testing.T) {
	harness := newHarnessWith(t, settingsWithShares, "pass", 4, 100)
	if err := harness.applySettings(5, "limits.max_connects = 2"); err != nil {
		t.Fatal(err)
	}
	if err := harness.applySettings(4, "limits.max_connects = 1"); err == nil || harness.node.balancer.MaxAttempts != 2 {
		t.Errorf("%v, %d connects", err, harness.node.balancer.MaxAttempts)
	}
	told := len(harness.updates)
	if err := harness.applySettings(5, "limits.max_connects = 2"); err != nil || len(harness.updates) != told {
		t.Errorf("%v, %d words to the other process", err, len(harness.updates)-told)
	}
	harness.apply(SettingsReceived{live.Revision{Epoch: 2, Number: 1}})
	if harness.settingsResults[len(harness.settingsResults)-1].Err != nil || harness.node.balancer.MaxAttempts != 3 {
		t.Errorf("a new epoch: %v, %d connects", harness.settingsResults[len(harness.settingsResults)-1].Err, harness.node.balancer.MaxAttempts)
	}
}

// A key that a revision leaves out goes back to the start's figure.
func TestOmittedKeyReturnsToStart(t *testing.T) {
	harness := newHarnessWith(t, settingsWithShares, "pass", 4, 100)
	start := harness.node.balancer.Settings.Live()
	limit := harness.node.connections.limit
	text := "retry_advice_s = 9\nask_within_s = 9\nnodes = 9\ndiscovery = \"127.0.0.1:9\"\n" +
		"limits = {max_connects = 2, sockets = 50}\nslow_start = {from = 0.9, for_s = 9, fall_multiple = 9, fall_for_s = 9}\n" +
		"tenants.beta.connections = 9\nservice_types.mail = {setup_target_s = 9, message_target_s = 9}\n" +
		"hosts.s-00000064 = {disabled_until_s = 4000000000, weight = 9}\n"
	if err := harness.applySettings(1, text); err != nil {
		t.Fatal(err)
	}
	if f := harness.node.balancer.Settings.Live(); fmt.Sprint(f) == fmt.Sprint(start) || harness.node.connections.limit != 50 || harness.node.balancer.Nodes != 9 || harness.unavailable() != 1 {
		t.Fatalf("%+v, %d descriptors", f, harness.node.connections.limit)
	}
	if err := harness.applySettings(2, ""); err != nil {
		t.Fatal(err)
	}
	if f := harness.node.balancer.Settings.Live(); fmt.Sprint(f) != fmt.Sprint(start) || harness.node.connections.limit != limit || harness.node.balancer.Nodes != 2 ||
		harness.unavailable() != 0 || fmt.Sprint(harness.discoveryMoves) != "[127.0.0.1:9 ]" {
		t.Errorf("%+v, wanted %+v; %d descriptors, %d nodes, discovery at %q", f, start, harness.node.connections.limit, harness.node.balancer.Nodes, harness.discoveryMoves)
	}
}

// What names nobody that this node knows has no effect, and is said.
func TestUnknownNamesAreIgnored(t *testing.T) {
	harness := newHarnessWith(t, settingsWithShares, "pass", 4, 100)
	if err := harness.applySettings(1, "tenants.nobody.connections = 1\nservice_types.none.setup_target_s = 1\nlimits.max_connects = 1"); err != nil {
		t.Fatal(err)
	}
	if got := fmt.Sprint(harness.settingsResults[0].Ignored); got != "[service_types.none tenants.nobody]" || harness.node.balancer.MaxAttempts != 1 {
		t.Errorf("ignored %s, %d connects", got, harness.node.balancer.MaxAttempts)
	}
}

// Members that are counted are the number of nodes, whatever the settings say.
func TestMemberCountOverridesSetting(t *testing.T) {
	harness := newHarnessWith(t, settingsWithShares, "pass", 4, 100)
	harness.apply(NodesChanged{7})
	if err := harness.applySettings(1, "nodes = 100"); err != nil || harness.node.balancer.Nodes != 7 {
		t.Errorf("%v, %d nodes", err, harness.node.balancer.Nodes)
	}
}

// Fewer descriptors than are held end no connection that is established.
func TestFewerDescriptorsEndNoConnection(t *testing.T) {
	harness := newHarnessWith(t, settingsWithShares, "pass", 4, 200)
	var clients, hosts []Conn
	for range 30 {
		c, h := harness.establish(chatRequest)
		clients, hosts = append(clients, c), append(hosts, h)
	}
	if err := harness.applySettings(1, "limits.sockets = 32"); err != nil {
		t.Fatal(err)
	}
	if c := harness.accept(); harness.connectionState[c] != "closed" {
		t.Errorf("a further client's connection is %q", harness.connectionState[c])
	}
	harness.advance(3)
	for i := range clients {
		harness.receive(clients[i], "M 1\r\n", Open)
		if !strings.HasSuffix(harness.written[hosts[i]], "M 1\r\n") {
			t.Fatalf("connection %d: its host was told %q", i, harness.written[hosts[i]])
		}
	}
}
