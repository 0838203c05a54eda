package node

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"gorseledge/internal/discovery/endpoint"
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
func (w *harness) applySettings(number uint64, text string) error {
	w.Helper()
	answers := len(w.settingsResults)
	w.apply(SettingsReceived{revision(w.T, number, text)})
	if len(w.settingsResults) != answers+1 {
		w.Fatalf("%d answers to a revision", len(w.settingsResults)-answers)
	}
	return w.settingsResults[answers].Err
}

// shortestRetryAfter gives the retry time of a flow that is turned away, in milliseconds.
func shortestRetryAfter(w *harness) (ms int) {
	for i := range 4 {
		w.query(DisableHost, fmt.Sprintf("s-%08x", 100+i))
	}
	fmt.Sscanf(w.written[w.openFlow(chat)], "BUSY %d", &ms)
	return ms
}

// countFailedDials gives how many connects a flow makes that all fail.
func countFailedDials(w *harness) int {
	w.openFlow(chat)
	for made := 0; made < len(w.flowDials); made++ {
		failDial(w, w.flowDials[made])
	}
	return len(w.flowDials)
}

// Each live key changes the next decision; a flow that waits since before keeps its deadline.
func TestLiveKeysDecideNextFlow(t *testing.T) {
	for _, c := range []struct {
		name, text string
		decide     func(w *harness) any
	}{
		{"retry advice", "retry_advice_s = 100", func(w *harness) any { return shortestRetryAfter(w) > 1500 }},
		{"no retry advice", "retry_advice_s = 0", func(w *harness) any { return shortestRetryAfter(w) > 0 }},
		{"connects for a flow", "limits.max_connects = 1", func(w *harness) any { return countFailedDials(w) }},
		{"descriptors", "limits.sockets = 32", func(w *harness) any {
			for range 8 {
				w.openFlow(chat)
			}
			busy := 0
			for _, said := range w.written {
				if said == "BUSY\r\n" {
					busy++
				}
			}
			return busy
		}},
		{"time to ask within", "ask_within_s = 0.5", func(w *harness) any {
			w.watchSilent = true
			asked := len(w.watchIndices)
			for range 20 {
				w.apply(WatchFailed{"gone"})
				w.advance(0.6)
			}
			return len(w.watchIndices) - asked
		}},
		{"number of nodes", "nodes = 100", func(w *harness) any { return w.node.balancer.Nodes }},
		{"discovery", `discovery = "127.0.0.1:9"`, func(w *harness) any { return fmt.Sprint(w.discoveryMoves, len(w.watchIndices)) }},
		{"a cold host's share", "slow_start = {from = 1.0}", outcomeOnWarmingHost},
		{"a cold host's time", "slow_start = {for_s = 0.1}", outcomeOnWarmingHost},
		{"what a cold host falls over at", "slow_start = {fall_multiple = 20}", outcomeOnWarmingHost},
		{"for how long a cold host bears it", "slow_start = {fall_for_s = 60}", outcomeOnWarmingHost},
		{"a tenant's share", "tenants.acme.connections = 0", func(w *harness) any { return w.node.balancer.Quotas[0] }},
		{"a setup's target", "service_types.chat.setup_target_s = 1.8", func(w *harness) any {
			w.openFlow(chat)
			w.completeLastDial() // says nothing
			dials := len(w.flowDials)
			w.advance(1.5)
			return len(w.flowDials) - dials
		}},
		{"a message's target", "service_types.mail.message_target_s = 0.01", func(w *harness) any {
			return w.node.balancer.ServiceTypes[1].MessageObjective
		}},
		{"a disabled host", "hosts.s-00000065.disabled_until_s = 1000000060", func(w *harness) any {
			for range 40 {
				w.openFlow(chat)
			}
			return slices.ContainsFunc(w.flowDials, func(c Conn) bool { return w.dialedAddress[c] == "h1" })
		}},
		{"a host's weight", "hosts.s-00000065.weight = 99", func(w *harness) any {
			for i := range 24 {
				w.openFlow(fmt.Sprintf("%x g=%x,c=chat,t=acme,d=2000", i+1, i+1))
			}
			return w.dialsTo("h1", 0)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			answeredAfter := func(configure bool) (seconds float64, decided any) {
				w := newHarnessWith(t, settingsWithShares, "pass", 4, 60)
				w.apply(NodesChanged{0}) // no member is counted
				w.node.live.memberCount = 0
				began := w.now
				waits := w.openFlow(order)
				w.completeLastDial() // takes the line and says nothing
				w.advance(0.1)
				if configure {
					if err := w.applySettings(1, c.text); err != nil || len(w.settingsResults[0].Ignored) != 0 {
						t.Fatalf("%v, ignored %v", err, w.settingsResults[0].Ignored)
					}
				}
				for w.written[waits] == "" && w.now < began+5 {
					w.advance(0.01)
				}
				seconds = w.now - began
				w.flowDials = nil
				return seconds, c.decide(w)
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

// outcomeOnWarmingHost gives how many of 240 flows go to the one of four hosts that has just started.
func outcomeOnWarmingHost(w *harness) any {
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

// What does not fit the node is refused whole: nothing of the revision is in force, and the one before stays.
func TestRevisionsThatDoNotFit(t *testing.T) {
	for _, c := range []struct{ mode, text, says string }{
		{"none", "retry_advice_s = 1", "retry_advice_s: this node's clients follow no retry time"},
		{"shares", "limits.max_connects = 4", "limits.max_connects: 4 is over the start's 3"},
		{"shares", "limits.sockets = 101", "limits.sockets: 101 is over the start's 100"},
		{"none", "slow_start.from = 0.5", "slow_start: this node's start has none"},
	} {
		settings := settingsWithShares
		if c.mode == "none" {
			settings = strings.ReplaceAll(strings.Replace(settings, `"retry_after":true`, `"retry_after":false`, 1),
				`"invariants":{"cold_from":0.1,"cold_us":30000000,"fall_multiple":3,"fall_us":2000000},`, "")
		}
		w := newHarnessWith(t, settings, "pass", 4, 100)
		if err := w.applySettings(1, "limits.max_connects = 2"); err != nil {
			t.Fatal(err)
		}
		err := w.applySettings(2, c.text+"\nhosts.s-00000064.disabled_until_s = 1000000060\nnodes = 9")
		if err == nil || !strings.HasPrefix(err.Error(), c.says) {
			t.Errorf("%s: %v", c.text, err)
		}
		if w.node.live.revision.Number != 1 || w.node.balancer.MaxAttempts != 2 || w.node.balancer.Nodes != 2 || w.node.currentFigures().Unavailable != 0 {
			t.Errorf("%s: %+v in force, %d connects, %d nodes, %d hosts out", c.text, w.node.live.revision, w.node.balancer.MaxAttempts,
				w.node.balancer.Nodes, w.node.currentFigures().Unavailable)
		}
	}
}

// An older revision does not replace a newer one, and the same one again changes nothing.
func TestRevisionsInOrder(t *testing.T) {
	w := newHarnessWith(t, settingsWithShares, "pass", 4, 100)
	if err := w.applySettings(5, "limits.max_connects = 2"); err != nil {
		t.Fatal(err)
	}
	if err := w.applySettings(4, "limits.max_connects = 1"); err == nil || w.node.balancer.MaxAttempts != 2 {
		t.Errorf("%v, %d connects", err, w.node.balancer.MaxAttempts)
	}
	told := len(w.updates)
	if err := w.applySettings(5, "limits.max_connects = 2"); err != nil || len(w.updates) != told {
		t.Errorf("%v, %d words to the other process", err, len(w.updates)-told)
	}
	w.apply(SettingsReceived{live.Revision{Epoch: 2, Number: 1}})
	if w.settingsResults[len(w.settingsResults)-1].Err != nil || w.node.balancer.MaxAttempts != 3 {
		t.Errorf("a new epoch: %v, %d connects", w.settingsResults[len(w.settingsResults)-1].Err, w.node.balancer.MaxAttempts)
	}
}

// A key that a revision leaves out goes back to the start's figure.
func TestKeysLeftOutGoBack(t *testing.T) {
	w := newHarnessWith(t, settingsWithShares, "pass", 4, 100)
	start := w.node.balancer.Settings.Live()
	limit := w.node.connections.limit
	text := "retry_advice_s = 9\nask_within_s = 9\nnodes = 9\ndiscovery = \"127.0.0.1:9\"\n" +
		"limits = {max_connects = 2, sockets = 50}\nslow_start = {from = 0.9, for_s = 9, fall_multiple = 9, fall_for_s = 9}\n" +
		"tenants.beta.connections = 9\nservice_types.mail = {setup_target_s = 9, message_target_s = 9}\n" +
		"hosts.s-00000064 = {disabled_until_s = 4000000000, weight = 9}\n"
	if err := w.applySettings(1, text); err != nil {
		t.Fatal(err)
	}
	if f := w.node.balancer.Settings.Live(); fmt.Sprint(f) == fmt.Sprint(start) || w.node.connections.limit != 50 || w.node.balancer.Nodes != 9 || w.node.currentFigures().Unavailable != 1 {
		t.Fatalf("%+v, %d descriptors", f, w.node.connections.limit)
	}
	if err := w.applySettings(2, ""); err != nil {
		t.Fatal(err)
	}
	if f := w.node.balancer.Settings.Live(); fmt.Sprint(f) != fmt.Sprint(start) || w.node.connections.limit != limit || w.node.balancer.Nodes != 2 ||
		w.node.currentFigures().Unavailable != 0 || fmt.Sprint(w.discoveryMoves) != "[127.0.0.1:9 ]" {
		t.Errorf("%+v, wanted %+v; %d descriptors, %d nodes, discovery at %q", f, start, w.node.connections.limit, w.node.balancer.Nodes, w.discoveryMoves)
	}
}

// What names nobody that this node knows has no effect, and is said.
func TestUnknownNamesAreIgnored(t *testing.T) {
	w := newHarnessWith(t, settingsWithShares, "pass", 4, 100)
	if err := w.applySettings(1, "tenants.nobody.connections = 1\nservice_types.none.setup_target_s = 1\nlimits.max_connects = 1"); err != nil {
		t.Fatal(err)
	}
	if got := fmt.Sprint(w.settingsResults[0].Ignored); got != "[service_types.none tenants.nobody]" || w.node.balancer.MaxAttempts != 1 {
		t.Errorf("ignored %s, %d connects", got, w.node.balancer.MaxAttempts)
	}
}

// Members that are counted are the number of nodes, whatever the settings say.
func TestMembersCountBeforeSetting(t *testing.T) {
	w := newHarnessWith(t, settingsWithShares, "pass", 4, 100)
	w.apply(NodesChanged{7})
	if err := w.applySettings(1, "nodes = 100"); err != nil || w.node.balancer.Nodes != 7 {
		t.Errorf("%v, %d nodes", err, w.node.balancer.Nodes)
	}
}

// dialsTo tells how many of the connects that were made since go to an address, and whether one was written there.
func (w *harness) dialsTo(address string, since int) (n int) {
	for _, d := range w.flowDials[since:] {
		if w.dialedAddress[d] == address {
			n++
		}
	}
	return n
}

// A host that the settings disable gets nothing new from the answer on, also no line on a connection that was being
// opened; its clients are moved; and it comes back by itself at the time that the settings say, cold.
func TestDisabledHostUntilItsTime(t *testing.T) {
	w := newHarnessWith(t, settingsWithShares, "proxy", 2, 1000)
	client, host := w.establish(chat)
	if w.dialedAddress[host] != "h0" && w.dialedAddress[host] != "h1" {
		t.Fatal(w.dialedAddress[host])
	}
	at := w.dialedAddress[host]
	name := map[string]string{"h0": "s-00000064", "h1": "s-00000065"}[at]
	var opening Conn // a connect to the host that is not up yet
	for opening == 0 {
		w.openFlow(chat)
		if d := w.flowDials[len(w.flowDials)-1]; w.dialedAddress[d] == at {
			opening = d
		}
	}
	end := math.Ceil(w.now) + 10
	if err := w.applySettings(1, fmt.Sprintf("hosts.%s.disabled_until_s = %.0f", name, end)); err != nil {
		t.Fatal(err)
	}
	if w.state[opening] != "closed" && w.state[opening] != "reset" {
		t.Errorf("a connection that was being opened is %q", w.state[opening])
	}
	began := len(w.flowDials)
	for w.now < end-0.3 {
		w.establish(chat)
		w.advance(0.2)
	}
	w.advance(end - 0.05 - w.now)
	w.establish(chat)
	if n := w.dialsTo(at, began); n != 0 {
		t.Errorf("%d connects to a disabled host", n)
	}
	if !strings.HasPrefix(w.written[client], "UP 77\r\nMOVE") && w.state[client] == "" {
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
		w.openFlow(chat)
		w.advance(0.1)
	}
	if w.dialsTo(at, began) == 0 {
		t.Error("it gets nothing after its time")
	}
}

// A host is out while an operator or the settings have it out, whichever came first or goes first.
func TestDisabledByHandAndBySettings(t *testing.T) {
	const name = "s-00000064"
	const entry = "hosts.s-00000064.disabled_until_s = 1000000010"
	byHand := func(q Question) func(*harness) { return func(w *harness) { w.query(q, name) } }
	set := func(number uint64, text string) func(*harness) {
		return func(w *harness) {
			if err := w.applySettings(number, text); err != nil {
				w.Fatal(err)
			}
		}
	}
	later := func(w *harness) { w.advance(11) }
	for _, c := range []struct {
		name  string
		steps []func(*harness)
		out   int
	}{
		{"by hand", []func(*harness){byHand(DisableHost)}, 1},
		{"by settings", []func(*harness){set(1, entry)}, 1},
		{"both", []func(*harness){byHand(DisableHost), set(1, entry)}, 1},
		{"both, back by hand", []func(*harness){byHand(DisableHost), set(1, entry), byHand(EnableHost)}, 1},
		{"both, back by settings", []func(*harness){byHand(DisableHost), set(1, entry), set(2, "")}, 1},
		{"both, settings expire", []func(*harness){set(1, entry), byHand(DisableHost), later}, 1},
		{"both, both back", []func(*harness){byHand(DisableHost), set(1, entry), byHand(EnableHost), set(2, "")}, 0},
		{"both, back by hand, settings expire", []func(*harness){byHand(DisableHost), set(1, entry), byHand(EnableHost), later}, 0},
		{"by settings, put back by hand though not out by hand", []func(*harness){set(1, entry), func(w *harness) {
			if a := w.query(EnableHost, name); !a.OK || !a.StillDisabled {
				w.Errorf("told %+v", a)
			}
		}}, 1},
		{"by settings, a new list", []func(*harness){set(1, entry), func(w *harness) { w.apply(ListReceived{hostList(4)}) }}, 1},
		{"by settings that expired before", []func(*harness){set(1, "hosts.s-00000064.disabled_until_s = 999999999")}, 0},
		{"by settings for longer", []func(*harness){set(1, entry), set(2, "hosts.s-00000064.disabled_until_s = 1000000020"), later}, 1},
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
func TestDisabledHostIsListedLater(t *testing.T) {
	w := newHarnessWith(t, settingsWithShares, "pass", 0, 1000)
	if err := w.applySettings(1, "hosts.s-00000065.disabled_until_s = 1000000060"); err != nil {
		t.Fatal(err)
	}
	w.apply(ListReceived{endpoint.List{Index: 6, Complete: true, Hosts: hostList(3).Hosts}})
	for range 60 {
		w.openFlow(chat)
	}
	if w.dialsTo("h1", 0) != 0 || w.dialsTo("h0", 0) == 0 || w.dialsTo("h2", 0) == 0 {
		t.Errorf("%d, %d and %d connects", w.dialsTo("h0", 0), w.dialsTo("h1", 0), w.dialsTo("h2", 0))
	}
}

// Fewer descriptors than are held end no connection that is established.
func TestFewerDescriptorsEndNoConnection(t *testing.T) {
	w := newHarnessWith(t, settingsWithShares, "pass", 4, 200)
	var clients, hosts []Conn
	for range 30 {
		c, h := w.establish(chat)
		clients, hosts = append(clients, c), append(hosts, h)
	}
	if err := w.applySettings(1, "limits.sockets = 32"); err != nil {
		t.Fatal(err)
	}
	if c := w.accept(); w.state[c] != "closed" {
		t.Errorf("a further client's connection is %q", w.state[c])
	}
	w.advance(3)
	for i := range clients {
		w.receive(clients[i], "M 1\r\n", Open)
		if !strings.HasSuffix(w.written[hosts[i]], "M 1\r\n") {
			t.Fatalf("connection %d: its host was told %q", i, w.written[hosts[i]])
		}
	}
}
