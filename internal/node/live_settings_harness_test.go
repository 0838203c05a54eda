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
func (w *testHarness) applySettings(number uint64, text string) error {
	w.Helper()
	answers := len(w.settingsResults)
	w.apply(SettingsReceived{revision(w.T, number, text)})
	if len(w.settingsResults) != answers+1 {
		w.Fatalf("%d answers to a revision", len(w.settingsResults)-answers)
	}
	return w.settingsResults[answers].Err
}

// shortestRetryAfter gives the retry time of a flow that is turned away, in milliseconds.
func shortestRetryAfter(w *testHarness) (ms int) {
	for i := range 4 {
		w.query(DisableHost, fmt.Sprintf("s-%08x", 100+i))
	}
	fmt.Sscanf(w.written[w.openFlow(chatRequest)], "BUSY %d", &ms)
	return ms
}

// countFailedDials gives how many connects a flow makes that all fail.
func countFailedDials(w *testHarness) int {
	w.openFlow(chatRequest)
	for made := 0; made < len(w.flowDials); made++ {
		failDial(w, w.flowDials[made])
	}
	return len(w.flowDials)
}

// outcomeOnWarmingHost gives how many of 240 flows go to the one of four hosts that has just started.
func outcomeOnWarmingHost(w *testHarness) any {
	w.node.connections.limit, w.node.connections.configuredLimit = 1000, 1000
	for i := range 40 {
		w.establish(fmt.Sprintf("%x c=chat,t=acme,d=2000", i+1))
	}
	l := hostList(4)
	l.Hosts[1].StartedAtMS = w.now * 1e3
	w.apply(ListReceived{l})
	began := len(w.flowDials)
	for i := range 240 {
		w.establish(fmt.Sprintf("%x c=chat,t=acme,d=2000", i+1))
		w.advance(0.025)
	}
	return w.dialsTo("h1", began)
}

// dialsTo tells how many of the connects that were made since go to an address, and whether one was written there.
func (w *testHarness) dialsTo(address string, since int) (n int) {
	for _, d := range w.flowDials[since:] {
		if w.dialedAddress[d] == address {
			n++
		}
	}
	return n
}
