package node

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"gorseledge/internal/node/live"
)

// liveKeys contains, for each key of the live settings, a decision that the key changes.
var liveKeys = []struct {
	name     string
	text     string
	decision func(harness *testHarness) any
}{
	{"Retry-After", "retry_advice_s = 100", func(harness *testHarness) any {
		return retryAfterOfRejection(harness) > 1500
	}},
	{"no Retry-After", "retry_advice_s = 0", func(harness *testHarness) any {
		return retryAfterOfRejection(harness) > 0
	}},
	{"attempts for a flow", "limits.max_connects = 1", countFailedDials},
	{"descriptors", "limits.sockets = 32", countRejected},
	{"poll interval", "ask_within_s = 0.5", countWatches},
	{"number of nodes", "nodes = 100", func(harness *testHarness) any { return harness.node.balancer.Nodes }},
	{"discovery", `discovery = "127.0.0.1:9"`, func(harness *testHarness) any {
		return fmt.Sprint(harness.discoveryMoves, len(harness.watchIndices))
	}},
	{"initial share of slow start", "slow_start = {from = 1.0}", countFlowsOnWarmingHost},
	{"duration of slow start", "slow_start = {for_s = 0.1}", countFlowsOnWarmingHost},
	{"overload multiple", "slow_start = {fall_multiple = 20}", countFlowsOnWarmingHost},
	{"overload window", "slow_start = {fall_for_s = 60}", countFlowsOnWarmingHost},
	{"tenant's quota", "tenants.acme.connections = 0", func(harness *testHarness) any {
		return harness.node.balancer.Quotas[0]
	}},
	{"setup objective", "service_types.chat.setup_target_s = 1.8", countAttemptsOnSilentHost},
	{"message objective", "service_types.mail.message_target_s = 0.01", func(harness *testHarness) any {
		return harness.node.balancer.ServiceTypes[1].MessageObjective
	}},
	{"disabled host", "hosts.s-00000065.disabled_until_s = 1000000060", func(harness *testHarness) any {
		for range 40 {
			harness.openFlow(chatRequest)
		}
		return harness.dialsTo("h1", 0) > 0
	}},
	{"host's weight", "hosts.s-00000065.weight = 99", func(harness *testHarness) any {
		for key := range 24 {
			harness.openFlow(fmt.Sprintf("%x g=%x,c=chat,t=acme,d=2000", key+1, key+1))
		}
		return harness.dialsTo("h1", 0)
	}},
}

// decideAfterWaitingFlow opens a flow and applies the settings of text, unless it is empty, while the flow waits for its
// answer. It returns after how many seconds the flow is answered, and the decision that is made next.
func decideAfterWaitingFlow(t *testing.T, text string, decision func(*testHarness) any) (seconds float64, decided any) {
	t.Helper()
	harness := newHarnessWith(t, settingsWithQuotas, "pass", 4, 60)
	harness.apply(NodesChanged{0})
	harness.node.live.memberCount = 0 // as if membership had never counted the nodes
	began := harness.now
	waiting := harness.openFlow(orderRequest)
	harness.completeLastDial() // the host accepts the line and sends nothing
	harness.advance(0.1)
	if text != "" {
		err := harness.applySettings(1, text)
		if ignored := harness.settingsResults[0].Ignored; err != nil || len(ignored) != 0 {
			t.Fatalf("%v, ignored %v", err, ignored)
		}
	}
	for harness.written[waiting] == "" && harness.now < began+5 {
		harness.advance(0.01)
	}
	seconds = harness.now - began
	harness.flowDials = nil
	return seconds, decision(harness)
}

// A key that is parsed but not applied would change nothing, and one that is applied too widely would change flows that
// already wait. Each key changes the next decision, and a flow that was already waiting keeps its deadline.
func TestLiveKeyAffectsOnlyLaterFlows(t *testing.T) {
	for _, c := range liveKeys {
		t.Run(c.name, func(t *testing.T) {
			secondsWithout, decidedWithout := decideAfterWaitingFlow(t, "", c.decision)
			seconds, decided := decideAfterWaitingFlow(t, c.text, c.decision)
			if decided == decidedWithout {
				t.Errorf("the decision is %v with and without the key", decided)
			}
			if seconds != secondsWithout || seconds > 2 || seconds < 1.9 {
				t.Errorf("the waiting flow was answered after %g s, and after %g s with the change",
					secondsWithout, seconds)
			}
		})
	}
}

// withoutSlowStart returns the settings without slow start and Retry-After.
func withoutSlowStart(settings string) string {
	settings = strings.Replace(settings, `"retry_after":true`, `"retry_after":false`, 1)
	return strings.ReplaceAll(settings,
		`"invariants":{"cold_from":0.1,"cold_us":30000000,"fall_multiple":3,"fall_us":2000000},`, "")
}

// A revision that is applied only in part leaves the node with settings that no operator configured. If the start settings do
// not allow one key, none of the revision is applied, and the previous one stays in force.
func TestInvalidRevisionIsRejectedWhole(t *testing.T) {
	for _, c := range []struct {
		text  string
		start string
		want  string // beginning of the error
	}{
		{"retry_advice_s = 1", withoutSlowStart(settingsWithQuotas),
			"retry_advice_s: must be 0, as this node's clients do not follow retry times"},
		{"limits.max_connects = 4", settingsWithQuotas,
			"limits.max_connects: must be at most 3, the value at the start, got 4"},
		{"limits.sockets = 101", settingsWithQuotas,
			"limits.sockets: must be at most 100, the value at the start, got 101"},
		{"slow_start.from = 0.5", withoutSlowStart(settingsWithQuotas),
			"slow_start: all four values are needed, as this node was started without a slow start"},
	} {
		t.Run(c.text, func(t *testing.T) {
			harness := newHarnessWith(t, c.start, "pass", 4, 100)
			if err := harness.applySettings(1, "limits.max_connects = 2"); err != nil {
				t.Fatal(err)
			}
			err := harness.applySettings(2, c.text+"\nhosts.s-00000064.disabled_until_s = 1000000060\nnodes = 9")
			if err == nil || !strings.HasPrefix(err.Error(), c.want) {
				t.Errorf("error %v, wanted %s", err, c.want)
			}
			checkSettings(t, harness, 1, 2, 0)
			if harness.node.balancer.Nodes != 2 {
				t.Errorf("%d nodes, wanted 2", harness.node.balancer.Nodes)
			}
		})
	}
}

// Revisions may arrive late or more than once. An older revision does not replace a newer one, the revision in force has
// no effect when it is received again, and a later epoch replaces it.
func TestOlderRevisionIsRejected(t *testing.T) {
	harness := newHarnessWith(t, settingsWithQuotas, "pass", 4, 100)
	maxAttempts := func() int { return harness.node.balancer.MaxAttempts }
	if err := harness.applySettings(5, "limits.max_connects = 2"); err != nil {
		t.Fatal(err)
	}
	if err := harness.applySettings(4, "limits.max_connects = 1"); err == nil || maxAttempts() != 2 {
		t.Errorf("older revision: error %v, %d attempts, wanted an error and 2", err, maxAttempts())
	}
	updates := len(harness.updates)
	if err := harness.applySettings(5, "limits.max_connects = 2"); err != nil || len(harness.updates) != updates {
		t.Errorf("same revision: error %v, %d updates to the peer process", err, len(harness.updates)-updates)
	}
	harness.apply(SettingsReceived{live.Revision{Epoch: 2, Number: 1}})
	last := harness.settingsResults[len(harness.settingsResults)-1]
	if last.Err != nil || maxAttempts() != 3 {
		t.Errorf("later epoch: error %v, %d attempts, wanted 3", last.Err, maxAttempts())
	}
}

// A key that is removed from the settings must not keep its last value. Each key that a revision leaves out returns to
// its value at the start.
func TestOmittedKeyReturnsToStart(t *testing.T) {
	harness := newHarnessWith(t, settingsWithQuotas, "pass", 4, 100)
	balancer := harness.node.balancer
	start := balancer.Settings.Live()
	limit := harness.node.connections.limit
	text := "retry_advice_s = 9\nask_within_s = 9\nnodes = 9\ndiscovery = \"127.0.0.1:9\"\n" +
		"limits = {max_connects = 2, sockets = 50}\n" +
		"slow_start = {from = 0.9, for_s = 9, fall_multiple = 9, fall_for_s = 9}\n" +
		"tenants.beta.connections = 9\nservice_types.mail = {setup_target_s = 9, message_target_s = 9}\n" +
		"hosts.s-00000064 = {disabled_until_s = 4000000000, weight = 9}\n"
	if err := harness.applySettings(1, text); err != nil {
		t.Fatal(err)
	}
	if reflect.DeepEqual(balancer.Settings.Live(), start) {
		t.Fatalf("the settings are still those of the start: %+v", start)
	}
	if harness.node.connections.limit != 50 || balancer.Nodes != 9 || harness.unavailable() != 1 {
		t.Fatalf("%d descriptors, %d nodes, %d unavailable", harness.node.connections.limit, balancer.Nodes,
			harness.unavailable())
	}
	if err := harness.applySettings(2, ""); err != nil {
		t.Fatal(err)
	}
	if got := balancer.Settings.Live(); !reflect.DeepEqual(got, start) {
		t.Errorf("settings %+v, wanted %+v", got, start)
	}
	if harness.node.connections.limit != limit || balancer.Nodes != 2 || harness.unavailable() != 0 {
		t.Errorf("%d descriptors, %d nodes, %d unavailable", harness.node.connections.limit, balancer.Nodes,
			harness.unavailable())
	}
	if got := fmt.Sprint(harness.discoveryMoves); got != "[127.0.0.1:9 ]" {
		t.Errorf("discovery moved to %s, wanted its address and back", got)
	}
}

// A revision for all nodes may name a tenant or service type that one of them does not have, and must not be rejected for
// that. These keys have no effect and are reported, and the others are applied.
func TestUnknownNamesAreIgnored(t *testing.T) {
	harness := newHarnessWith(t, settingsWithQuotas, "pass", 4, 100)
	text := "tenants.nobody.connections = 1\nservice_types.none.setup_target_s = 1\nlimits.max_connects = 1"
	if err := harness.applySettings(1, text); err != nil {
		t.Fatal(err)
	}
	got := fmt.Sprint(harness.settingsResults[0].Ignored)
	if got != "[service_types.none tenants.nobody]" || harness.node.balancer.MaxAttempts != 1 {
		t.Errorf("ignored %s, %d attempts", got, harness.node.balancer.MaxAttempts)
	}
}

// A configured number of nodes that is outdated would give each node a wrong share of the hosts. Once membership has
// counted the nodes, its count overrides the setting.
func TestMemberCountOverridesSetting(t *testing.T) {
	harness := newHarnessWith(t, settingsWithQuotas, "pass", 4, 100)
	harness.apply(NodesChanged{7})
	if err := harness.applySettings(1, "nodes = 100"); err != nil || harness.node.balancer.Nodes != 7 {
		t.Errorf("error %v, %d nodes, wanted 7", err, harness.node.balancer.Nodes)
	}
}

// Lowering the limit of descriptors below the number in use must not disconnect clients. New clients are rejected, and
// established connections stay open.
func TestFewerDescriptorsEndNoConnection(t *testing.T) {
	harness := newHarnessWith(t, settingsWithQuotas, "pass", 4, 200)
	var clients, hosts []ConnID
	for range 30 {
		client, host := harness.establish(chatRequest)
		clients = append(clients, client)
		hosts = append(hosts, host)
	}
	if err := harness.applySettings(1, "limits.sockets = 32"); err != nil {
		t.Fatal(err)
	}
	if next := harness.accept(); harness.connectionState[next] != "closed" {
		t.Errorf("the connection of a new client is %q, wanted it closed", harness.connectionState[next])
	}
	harness.advance(3)
	for i := range clients {
		harness.receive(clients[i], "M 1\r\n", StreamOpen)
		if !strings.HasSuffix(harness.written[hosts[i]], "M 1\r\n") {
			t.Fatalf("connection %d: its host was sent %q", i, harness.written[hosts[i]])
		}
	}
}
