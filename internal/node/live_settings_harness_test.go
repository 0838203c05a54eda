package node

import (
	"fmt"
	"testing"

	"gorseledge/internal/livesettings"
	"gorseledge/internal/node/live"
)

// settingsWithQuotas are settings with tenants' quotas, a slow start, and hosts that report delays.
const settingsWithQuotas = `{"family_info":{"mode":"%s","tells_delay":true,"message_aim_us":[50000,50000],
	"tenant_quota_connections":[20,20]},
	"granularity_us":4000,"invariants":{"cold_from":0.1,"cold_us":30000000,"fall_multiple":3,"fall_us":2000000},
	"limits":{"dial_timeout_us":250000,"max_connects":3,"max_retry_after_us":2000000,"probes":true,"retry_after":true},
	"parties":[{"name":"acme"},{"name":"beta"}],"zones":["a","b"],"siblings":2,"service_types":[
	{"name":"chat","effect":"repeatable","group":"all","give_up_us":2000000,"setup_target_us":300000},
	{"name":"mail","effect":"by_key","group":"all","give_up_us":2000000,"memory_span_us":5000000},
	{"name":"order","effect":"once","group":"all","give_up_us":2000000,"setup_target_us":300000}]}`

// newRevision returns the revision of the given number with the settings of a document.
func newRevision(t *testing.T, number uint64, text string) live.Revision {
	t.Helper()
	entries, err := livesettings.Parse("live.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := livesettings.Decode(entries)
	if err != nil {
		t.Fatal(err)
	}
	return live.Revision{Epoch: 1, Number: number, Settings: decoded}
}

// applySettings applies the settings of a document as a revision, and returns the node's error if it rejects them.
func (harness *testHarness) applySettings(number uint64, text string) error {
	harness.Helper()
	results := len(harness.settingsResults)
	harness.apply(SettingsReceived{newRevision(harness.T, number, text)})
	if len(harness.settingsResults) != results+1 {
		harness.Fatalf("%d results for one revision", len(harness.settingsResults)-results)
	}
	return harness.settingsResults[results].Err
}

// dialsTo returns how many of the dials for flows, beginning with the one at index from, went to an address.
func (harness *testHarness) dialsTo(address string, from int) int {
	count := 0
	for _, dial := range harness.flowDials[from:] {
		if harness.dialedAddress[dial] == address {
			count++
		}
	}
	return count
}

// retryAfterOfRejection disables all hosts, and returns the Retry-After of a rejected flow in milliseconds.
func retryAfterOfRejection(harness *testHarness) int {
	harness.Helper()
	for i := range 4 {
		harness.query(DisableHost, fmt.Sprintf("s-%08x", 100+i))
	}
	milliseconds := 0
	fmt.Sscanf(harness.written[harness.openFlow(chatRequest)], "BUSY %d", &milliseconds)
	return milliseconds
}

// countFailedDials returns how many attempts are made for a flow whose dials all fail.
func countFailedDials(harness *testHarness) any {
	harness.Helper()
	harness.openFlow(chatRequest)
	for made := 0; made < len(harness.flowDials); made++ {
		failDial(harness, harness.flowDials[made])
	}
	return len(harness.flowDials)
}

// countRejected returns how many of eight flows are rejected.
func countRejected(harness *testHarness) any {
	harness.Helper()
	for range 8 {
		harness.openFlow(chatRequest)
	}
	rejected := 0
	for _, written := range harness.written {
		if written == "BUSY\r\n" {
			rejected++
		}
	}
	return rejected
}

// countWatches returns how many watches are asked for while each call fails.
func countWatches(harness *testHarness) any {
	harness.Helper()
	harness.watchSilent = true
	watches := len(harness.watchIndices)
	for range 20 {
		harness.apply(WatchFailed{"gone"})
		harness.advance(0.6)
	}
	return len(harness.watchIndices) - watches
}

// countAttemptsOnSilentHost returns how many further attempts are made in 1.5 seconds while the first host is silent.
func countAttemptsOnSilentHost(harness *testHarness) any {
	harness.Helper()
	harness.openFlow(chatRequest)
	harness.completeLastDial()
	dials := len(harness.flowDials)
	harness.advance(1.5)
	return len(harness.flowDials) - dials
}

// countFlowsOnWarmingHost returns how many of 240 flows go to the one of four hosts that has just started.
func countFlowsOnWarmingHost(harness *testHarness) any {
	harness.Helper()
	harness.node.connections.limit = 1000
	harness.node.connections.configuredLimit = 1000
	for key := range 40 {
		harness.establish(fmt.Sprintf("%x c=chat,t=acme,d=2000", key+1))
	}
	list := hostList(4)
	list.Hosts[1].StartedAtMS = harness.now * 1e3
	harness.apply(ListReceived{list})
	began := len(harness.flowDials)
	for key := range 240 {
		harness.establish(fmt.Sprintf("%x c=chat,t=acme,d=2000", key+1))
		harness.advance(0.025)
	}
	return harness.dialsTo("h1", began)
}
