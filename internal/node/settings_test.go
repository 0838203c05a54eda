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

// configure puts a document in force, or gives why it is not.
func (w *world) configure(number uint64, text string) error {
	w.Helper()
	answers := len(w.configured)
	w.do(SettingsReceived{revision(w.T, number, text)})
	if len(w.configured) != answers+1 {
		w.Fatalf("%d answers to a revision", len(w.configured)-answers)
	}
	return w.configured[answers].Err
}

// busyWithin gives the retry time of a flow that is turned away, in milliseconds.
func busyWithin(w *world) (ms int) {
	for i := range 4 {
		w.asks(DisableHost, fmt.Sprintf("s-%08x", 100+i))
	}
	fmt.Sscanf(w.said[w.come(chat)], "BUSY %d", &ms)
	return ms
}

// failedDials gives how many connects a flow makes that all fail.
func failedDials(w *world) int {
	w.come(chat)
	for made := 0; made < len(w.dials); made++ {
		refuse(w, w.dials[made])
	}
	return len(w.dials)
}

// Each live key changes the next decision; a flow that waits since before keeps its deadline.
func TestLiveKeysDecideNextFlow(t *testing.T) {
	for _, c := range []struct {
		name, text string
		decide     func(w *world) any
	}{
		{"retry advice", "retry_advice_s = 100", func(w *world) any { return busyWithin(w) > 1500 }},
		{"no retry advice", "retry_advice_s = 0", func(w *world) any { return busyWithin(w) > 0 }},
		{"connects for a flow", "limits.max_connects = 1", func(w *world) any { return failedDials(w) }},
		{"descriptors", "limits.sockets = 32", func(w *world) any {
			for range 8 {
				w.come(chat)
			}
			busy := 0
			for _, said := range w.said {
				if said == "BUSY\r\n" {
					busy++
				}
			}
			return busy
		}},
		{"time to ask within", "ask_within_s = 0.5", func(w *world) any {
			w.mute = true
			asked := len(w.watches)
			for range 20 {
				w.do(WatchFailed{"gone"})
				w.pass(0.6)
			}
			return len(w.watches) - asked
		}},
		{"number of nodes", "nodes = 100", func(w *world) any { return w.n.module.Nodes }},
		{"discovery", `discovery = "127.0.0.1:9"`, func(w *world) any { return fmt.Sprint(w.relocated, len(w.watches)) }},
		{"a cold host's share", "slow_start = {from = 1.0}", onColdHost},
		{"a cold host's time", "slow_start = {for_s = 0.1}", onColdHost},
		{"what a cold host falls over at", "slow_start = {fall_multiple = 20}", onColdHost},
		{"for how long a cold host bears it", "slow_start = {fall_for_s = 60}", onColdHost},
		{"a tenant's share", "tenants.acme.connections = 0", func(w *world) any { return w.n.module.Quotas[0] }},
		{"a setup's target", "service_types.chat.setup_target_s = 1.8", func(w *world) any {
			w.come(chat)
			w.up() // says nothing
			dials := len(w.dials)
			w.pass(1.5)
			return len(w.dials) - dials
		}},
		{"a message's target", "service_types.mail.message_target_s = 0.01", func(w *world) any {
			return w.n.module.ServiceTypes[1].MessageObjective
		}},
		{"a disabled host", "hosts.s-00000065.disabled_until_s = 1000000060", func(w *world) any {
			for range 40 {
				w.come(chat)
			}
			return slices.ContainsFunc(w.dials, func(c Conn) bool { return w.address[c] == "h1" })
		}},
		{"a host's weight", "hosts.s-00000065.weight = 99", func(w *world) any {
			for i := range 24 {
				w.come(fmt.Sprintf("%x g=%x,c=chat,t=acme,d=2000", i+1, i+1))
			}
			return w.to("h1", 0)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			answeredAfter := func(configure bool) (seconds float64, decided any) {
				w := newWorldOf(t, settingsWithShares, "pass", 4, 60)
				w.do(NodesChanged{0}) // no member is counted
				w.n.live.siblings = 0
				began := w.now
				waits := w.come(order)
				w.up() // takes the line and says nothing
				w.pass(0.1)
				if configure {
					if err := w.configure(1, c.text); err != nil || len(w.configured[0].Ignored) != 0 {
						t.Fatalf("%v, ignored %v", err, w.configured[0].Ignored)
					}
				}
				for w.said[waits] == "" && w.now < began+5 {
					w.pass(0.01)
				}
				seconds = w.now - began
				w.dials = nil
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

// onColdHost gives how many of 240 flows go to the one of four hosts that has just started.
func onColdHost(w *world) any {
	w.n.limit, w.n.sockets = 1000, 1000
	for i := range 40 {
		w.established(fmt.Sprintf("%x c=chat,t=acme,d=2000", i+1))
	}
	l := hostList(4)
	l.Hosts[1].StartedAtMS = w.now * 1e3
	w.do(ListReceived{l})
	began := len(w.dials)
	for i := range 240 {
		w.established(fmt.Sprintf("%x c=chat,t=acme,d=2000", i+1))
		w.pass(0.025)
	}
	return w.to("h1", began)
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
		w := newWorldOf(t, settings, "pass", 4, 100)
		if err := w.configure(1, "limits.max_connects = 2"); err != nil {
			t.Fatal(err)
		}
		err := w.configure(2, c.text+"\nhosts.s-00000064.disabled_until_s = 1000000060\nnodes = 9")
		if err == nil || !strings.HasPrefix(err.Error(), c.says) {
			t.Errorf("%s: %v", c.text, err)
		}
		if w.n.live.revision.Number != 1 || w.n.module.MaxAttempts != 2 || w.n.module.Nodes != 2 || w.n.tell().Unavailable != 0 {
			t.Errorf("%s: %+v in force, %d connects, %d nodes, %d hosts out", c.text, w.n.live.revision, w.n.module.MaxAttempts,
				w.n.module.Nodes, w.n.tell().Unavailable)
		}
	}
}

// An older revision does not replace a newer one, and the same one again changes nothing.
func TestRevisionsInOrder(t *testing.T) {
	w := newWorldOf(t, settingsWithShares, "pass", 4, 100)
	if err := w.configure(5, "limits.max_connects = 2"); err != nil {
		t.Fatal(err)
	}
	if err := w.configure(4, "limits.max_connects = 1"); err == nil || w.n.module.MaxAttempts != 2 {
		t.Errorf("%v, %d connects", err, w.n.module.MaxAttempts)
	}
	told := len(w.news)
	if err := w.configure(5, "limits.max_connects = 2"); err != nil || len(w.news) != told {
		t.Errorf("%v, %d words to the other process", err, len(w.news)-told)
	}
	w.do(SettingsReceived{live.Revision{Epoch: 2, Number: 1}})
	if w.configured[len(w.configured)-1].Err != nil || w.n.module.MaxAttempts != 3 {
		t.Errorf("a new epoch: %v, %d connects", w.configured[len(w.configured)-1].Err, w.n.module.MaxAttempts)
	}
}

// A key that a revision leaves out goes back to the start's figure.
func TestKeysLeftOutGoBack(t *testing.T) {
	w := newWorldOf(t, settingsWithShares, "pass", 4, 100)
	start := w.n.module.Settings.Live()
	limit := w.n.limit
	text := "retry_advice_s = 9\nask_within_s = 9\nnodes = 9\ndiscovery = \"127.0.0.1:9\"\n" +
		"limits = {max_connects = 2, sockets = 50}\nslow_start = {from = 0.9, for_s = 9, fall_multiple = 9, fall_for_s = 9}\n" +
		"tenants.beta.connections = 9\nservice_types.mail = {setup_target_s = 9, message_target_s = 9}\n" +
		"hosts.s-00000064 = {disabled_until_s = 4000000000, weight = 9}\n"
	if err := w.configure(1, text); err != nil {
		t.Fatal(err)
	}
	if f := w.n.module.Settings.Live(); fmt.Sprint(f) == fmt.Sprint(start) || w.n.limit != 50 || w.n.module.Nodes != 9 || w.n.tell().Unavailable != 1 {
		t.Fatalf("%+v, %d descriptors", f, w.n.limit)
	}
	if err := w.configure(2, ""); err != nil {
		t.Fatal(err)
	}
	if f := w.n.module.Settings.Live(); fmt.Sprint(f) != fmt.Sprint(start) || w.n.limit != limit || w.n.module.Nodes != 2 ||
		w.n.tell().Unavailable != 0 || fmt.Sprint(w.relocated) != "[127.0.0.1:9 ]" {
		t.Errorf("%+v, wanted %+v; %d descriptors, %d nodes, discovery at %q", f, start, w.n.limit, w.n.module.Nodes, w.relocated)
	}
}

// What names nobody that this node knows has no effect, and is said.
func TestUnknownNamesAreIgnored(t *testing.T) {
	w := newWorldOf(t, settingsWithShares, "pass", 4, 100)
	if err := w.configure(1, "tenants.nobody.connections = 1\nservice_types.none.setup_target_s = 1\nlimits.max_connects = 1"); err != nil {
		t.Fatal(err)
	}
	if got := fmt.Sprint(w.configured[0].Ignored); got != "[service_types.none tenants.nobody]" || w.n.module.MaxAttempts != 1 {
		t.Errorf("ignored %s, %d connects", got, w.n.module.MaxAttempts)
	}
}

// Members that are counted are the number of nodes, whatever the settings say.
func TestMembersCountBeforeSetting(t *testing.T) {
	w := newWorldOf(t, settingsWithShares, "pass", 4, 100)
	w.do(NodesChanged{7})
	if err := w.configure(1, "nodes = 100"); err != nil || w.n.module.Nodes != 7 {
		t.Errorf("%v, %d nodes", err, w.n.module.Nodes)
	}
}

// to tells how many of the connects that were made since go to an address, and whether one was written there.
func (w *world) to(address string, since int) (n int) {
	for _, d := range w.dials[since:] {
		if w.address[d] == address {
			n++
		}
	}
	return n
}

// A host that the settings disable gets nothing new from the answer on, also no line on a connection that was being
// opened; its clients are moved; and it comes back by itself at the time that the settings say, cold.
func TestDisabledHostUntilItsTime(t *testing.T) {
	w := newWorldOf(t, settingsWithShares, "proxy", 2, 1000)
	client, host := w.established(chat)
	if w.address[host] != "h0" && w.address[host] != "h1" {
		t.Fatal(w.address[host])
	}
	at := w.address[host]
	name := map[string]string{"h0": "s-00000064", "h1": "s-00000065"}[at]
	var opening Conn // a connect to the host that is not up yet
	for opening == 0 {
		w.come(chat)
		if d := w.dials[len(w.dials)-1]; w.address[d] == at {
			opening = d
		}
	}
	end := math.Ceil(w.now) + 10
	if err := w.configure(1, fmt.Sprintf("hosts.%s.disabled_until_s = %.0f", name, end)); err != nil {
		t.Fatal(err)
	}
	if w.how[opening] != "closed" && w.how[opening] != "reset" {
		t.Errorf("a connection that was being opened is %q", w.how[opening])
	}
	began := len(w.dials)
	for w.now < end-0.3 {
		w.established(chat)
		w.pass(0.2)
	}
	w.pass(end - 0.05 - w.now)
	w.established(chat)
	if n := w.to(at, began); n != 0 {
		t.Errorf("%d connects to a disabled host", n)
	}
	if !strings.HasPrefix(w.said[client], "UP 77\r\nMOVE") && w.how[client] == "" {
		t.Errorf("its client was told %q", w.said[client])
	}
	if w.n.timerAt > end {
		t.Errorf("asked to be woken at %f, the host comes back at %f", w.n.timerAt, end)
	}
	w.now = end
	w.do(TimerFired{})
	if w.n.tell().Unavailable != 0 {
		t.Error("still out at its time")
	}
	began = len(w.dials)
	for range 200 {
		w.come(chat)
		w.pass(0.1)
	}
	if w.to(at, began) == 0 {
		t.Error("it gets nothing after its time")
	}
}

// A host is out while an operator or the settings have it out, whichever came first or goes first.
func TestDisabledByHandAndBySettings(t *testing.T) {
	const name = "s-00000064"
	const entry = "hosts.s-00000064.disabled_until_s = 1000000010"
	byHand := func(q Question) func(*world) { return func(w *world) { w.asks(q, name) } }
	set := func(number uint64, text string) func(*world) {
		return func(w *world) {
			if err := w.configure(number, text); err != nil {
				w.Fatal(err)
			}
		}
	}
	later := func(w *world) { w.pass(11) }
	for _, c := range []struct {
		name  string
		steps []func(*world)
		out   int
	}{
		{"by hand", []func(*world){byHand(DisableHost)}, 1},
		{"by settings", []func(*world){set(1, entry)}, 1},
		{"both", []func(*world){byHand(DisableHost), set(1, entry)}, 1},
		{"both, back by hand", []func(*world){byHand(DisableHost), set(1, entry), byHand(EnableHost)}, 1},
		{"both, back by settings", []func(*world){byHand(DisableHost), set(1, entry), set(2, "")}, 1},
		{"both, settings expire", []func(*world){set(1, entry), byHand(DisableHost), later}, 1},
		{"both, both back", []func(*world){byHand(DisableHost), set(1, entry), byHand(EnableHost), set(2, "")}, 0},
		{"both, back by hand, settings expire", []func(*world){byHand(DisableHost), set(1, entry), byHand(EnableHost), later}, 0},
		{"by settings, put back by hand though not out by hand", []func(*world){set(1, entry), func(w *world) {
			if a := w.asks(EnableHost, name); !a.OK || !a.StillDisabled {
				w.Errorf("told %+v", a)
			}
		}}, 1},
		{"by settings, a new list", []func(*world){set(1, entry), func(w *world) { w.do(ListReceived{hostList(4)}) }}, 1},
		{"by settings that expired before", []func(*world){set(1, "hosts.s-00000064.disabled_until_s = 999999999")}, 0},
		{"by settings for longer", []func(*world){set(1, entry), set(2, "hosts.s-00000064.disabled_until_s = 1000000020"), later}, 1},
	} {
		w := newWorldOf(t, settingsWithShares, "pass", 4, 100)
		for _, step := range c.steps {
			step(w)
		}
		if got := w.n.tell().Unavailable; got != c.out {
			t.Errorf("%s: %d out", c.name, got)
		}
	}
}

// A host that the settings disable before discovery lists it is out from its first listing on, also for a node that has
// just started.
func TestDisabledHostIsListedLater(t *testing.T) {
	w := newWorldOf(t, settingsWithShares, "pass", 0, 1000)
	if err := w.configure(1, "hosts.s-00000065.disabled_until_s = 1000000060"); err != nil {
		t.Fatal(err)
	}
	w.do(ListReceived{endpoint.List{Index: 6, Complete: true, Hosts: hostList(3).Hosts}})
	for range 60 {
		w.come(chat)
	}
	if w.to("h1", 0) != 0 || w.to("h0", 0) == 0 || w.to("h2", 0) == 0 {
		t.Errorf("%d, %d and %d connects", w.to("h0", 0), w.to("h1", 0), w.to("h2", 0))
	}
}

// Fewer descriptors than are held end no connection that is established.
func TestFewerDescriptorsEndNoConnection(t *testing.T) {
	w := newWorldOf(t, settingsWithShares, "pass", 4, 200)
	var clients, hosts []Conn
	for range 30 {
		c, h := w.established(chat)
		clients, hosts = append(clients, c), append(hosts, h)
	}
	if err := w.configure(1, "limits.sockets = 32"); err != nil {
		t.Fatal(err)
	}
	if c := w.accept(); w.how[c] != "closed" {
		t.Errorf("a further client's connection is %q", w.how[c])
	}
	w.pass(3)
	for i := range clients {
		w.say(clients[i], "M 1\r\n", Open)
		if !strings.HasSuffix(w.said[hosts[i]], "M 1\r\n") {
			t.Fatalf("connection %d: its host was told %q", i, w.said[hosts[i]])
		}
	}
}
