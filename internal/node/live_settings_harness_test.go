package node

import (
	"fmt"
	"testing"

	"gorseledge/internal/livesettings"
	"gorseledge/internal/node/live"
)

const settingsWithShares = `{"family_info":{"mode":"%s","tells_delay":true,"message_aim_us":[50000,50000],"tenant_quota_connections":[20,20]},
	"granularity_us":4000,"invariants":{"cold_from":0.1,"cold_us":30000000,"fall_multiple":3,"fall_us":2000000},
	"limits":{"dial_timeout_us":250000,"max_connects":3,"max_retry_after_us":2000000,"probes":true,"retry_after":true},
	"parties":[{"name":"acme"},{"name":"beta"}],"zones":["a","b"],"siblings":2,"service_types":[
	{"name":"chat","effect":"repeatable","group":"all","give_up_us":2000000,"setup_target_us":300000},
	{"name":"mail","effect":"by_key","group":"all","give_up_us":2000000,"memory_span_us":5000000},
	{"name":"order","effect":"once","group":"all","give_up_us":2000000,"setup_target_us":300000}]}`

// revision gives a document's settings under a number.
func revision(t *testing.T, number uint64, text string) live.Revision {
	t.Helper()
	entries, err := livesettings.Parse("live.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	s, err := livesettings.Decode(entries)
	if err != nil {
		t.Fatal(err)
	}
	return live.Revision{Epoch: 1, Number: number, Settings: s}
}

// applySettings puts a document in force, or gives why it is not.
func (harness *testHarness) applySettings(number uint64, text string) error {
	harness.Helper()
	answers := len(harness.settingsResults)
	harness.apply(SettingsReceived{revision(harness.T, number, text)})
	if len(harness.settingsResults) != answers+1 {
		harness.Fatalf("%d answers to a revision", len(harness.settingsResults)-answers)
	}
	return harness.settingsResults[answers].Err
}

// shortestRetryAfter gives the retry time of a flow that is turned away, in milliseconds.
func shortestRetryAfter(harness *testHarness) (ms int) {
	for i := range 4 {
		harness.query(DisableHost, fmt.Sprintf("s-%08x", 100+i))
	}
	fmt.Sscanf(harness.written[harness.openFlow(chatRequest)], "BUSY %d", &ms)
	return ms
}

// countFailedDials gives how many connects a flow makes that all fail.
func countFailedDials(harness *testHarness) int {
	harness.openFlow(chatRequest)
	for made := 0; made < len(harness.flowDials); made++ {
		failDial(harness, harness.flowDials[made])
	}
	return len(harness.flowDials)
}

// outcomeOnWarmingHost gives how many of 240 flows go to the one of four hosts that has just started.
func outcomeOnWarmingHost(harness *testHarness) any {
	harness.node.connections.limit, harness.node.connections.configuredLimit = 1000, 1000
	for i := range 40 {
		harness.establish(fmt.Sprintf("%x c=chat,t=acme,d=2000", i+1))
	}
	l := hostList(4)
	l.Hosts[1].StartedAtMS = harness.now * 1e3
	harness.apply(ListReceived{l})
	began := len(harness.flowDials)
	for i := range 240 {
		harness.establish(fmt.Sprintf("%x c=chat,t=acme,d=2000", i+1))
		harness.advance(0.025)
	}
	return harness.dialsTo("h1", began)
}

// dialsTo tells how many of the connects that were made since go to an address, and whether one was written there.
func (harness *testHarness) dialsTo(address string, since int) (n int) {
	for _, d := range harness.flowDials[since:] {
		if harness.dialedAddress[d] == address {
			n++
		}
	}
	return n
}
