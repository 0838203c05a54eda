package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"

	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/peers"
	"gorseledge/internal/settings"
)

// The primary is entry CA mod n of the list by id, with the numbers that names and keys stand for.
func TestPrimaryFollowsClientKeyAndHostID(t *testing.T) {
	harness := newHarness(t, "pass", 7, 1000)
	for _, key := range []uint64{1, 0xa1, 0x7f3a9c21e0b4d655, 0x0008cb70f96f9305} {
		harness.openFlow(fmt.Sprintf("%016x c=chat,t=acme,d=2000", key))
		var be [8]byte
		for i := range be {
			be[i] = byte(key >> (56 - 8*i))
		}
		want := fmt.Sprint("h", xxhash.Sum64(be[:])%7)
		if got := harness.dialedAddress[harness.flowDials[len(harness.flowDials)-1]]; got != want {
			t.Errorf("key %x went to %s, wanted %s", key, got, want)
		}
	}
	for name, want := range map[string]uint32{"s-5be2a07c": 0x5be2a07c, "a-b-00000010": 16, "ff": 255} {
		if got := hostID(name); got != want {
			t.Errorf("%s is %x", name, got)
		}
	}
	if hostID("relay-one") == hostID("relay-two") {
		t.Error("names that hold no number are alike")
	}
}

// The node is ready once discovery told a list, or when discovery is out and the old list must do.
func TestReadyOnceThereIsAList(t *testing.T) {
	ready := func(harness *testHarness) bool {
		c := harness.accept()
		harness.receive(c, "PING\r\n", Ended)
		return harness.written[c] == "PONG\r\n"
	}
	r, d, err := settings.Parse(fmt.Appendf(nil, settingsJSON, "pass"), 7)
	if err != nil {
		t.Fatal(err)
	}
	fresh := func(known endpoint.List) *testHarness {
		harness := newHarness(t, "pass", 0, 100)
		harness.node = New(harness.now, Start{Settings: r, Listener: d, CachedList: known, MaxDescriptors: 100})
		harness.watchIndices = nil
		harness.advance(1)
		return harness
	}
	harness := fresh(hostList(2))
	if ready(harness) || !slices.Equal(harness.watchIndices, []int64{6}) {
		t.Fatalf("ready before discovery has answered, or watches %v", harness.watchIndices)
	}
	harness.apply(WatchFailed{Reason: "503"})
	harness.advance(3)
	if ready(harness) || len(harness.watchIndices) != 2 {
		t.Fatalf("ready after one failed call, or watches %v", harness.watchIndices)
	}
	harness.apply(WatchFailed{Reason: "503"})
	if !ready(harness) {
		t.Fatal("not ready on the old list though discovery is out")
	}
	harness = fresh(endpoint.List{})
	harness.apply(WatchFailed{Reason: "503"})
	harness.apply(WatchFailed{Reason: "503"})
	if ready(harness) {
		t.Fatal("ready without any host")
	}
	harness.apply(ListReceived{hostList(2)})
	if !ready(harness) {
		t.Fatal("not ready with a list")
	}
}

// Lists that are odd, and hosts that drain, go or come again.
func TestListDecidesWhereFlowsGo(t *testing.T) {
	harness := newHarness(t, "pass", 1, 1000)
	where := func() string {
		before := len(harness.flowDials)
		c := harness.openFlow(chatRequest)
		if len(harness.flowDials) == before {
			return strings.Fields(harness.written[c])[0]
		}
		return harness.dialedAddress[harness.flowDials[before]]
	}
	one := func(name, address, status string) ListReceived {
		return ListReceived{endpoint.List{Index: 9, Hosts: []endpoint.Host{{Name: name, Address: address, Status: status}}}}
	}
	steps := []struct {
		name string
		in   Input
		want string
	}{
		{"as listed", TimerFired{}, "h0"},
		{"another address", one("s-00000064", "h9", "SERVING"), "h9"},
		{"draining", one("s-00000064", "", "DRAINING"), "BUSY"},
		{"a state that is not known gets nothing", one("s-00000064", "", "RESTING"), "BUSY"},
		{"back, address not told again", one("s-00000064", "", "SERVING"), "h9"},
		{"gone", one("s-00000064", "", "DELETED"), "BUSY"},
		{"no address was ever told", one("s-00000065", "", "SERVING"), "BUSY"},
		{"not on a whole list", ListReceived{hostList(0)}, "BUSY"},
	}
	for _, s := range steps {
		harness.apply(s.in)
		if where() != s.want {
			t.Errorf("%s: sent to %s, wanted %s", s.name, where(), s.want)
		}
	}
}

// A connect that is still being dialed when its host takes nothing new any more goes elsewhere at once; one whose
// line is written stays. Guards against a line that is written to a draining host past the grace, by a dial from
// before (rule 3).
func TestDialToDrainingHostIsCanceled(t *testing.T) {
	change := func(l endpoint.List, status string) endpoint.List {
		for i := range l.Hosts {
			if l.Hosts[i].Name == "s-00000064" {
				l.Hosts[i].Status = status
			}
		}
		return l
	}
	for _, c := range []struct {
		name, kind, status string
		up, stays          bool
	}{
		{"draining while it is dialed", "chat", "DRAINING", false, false},
		{"gone while it is dialed", "chat", "DELETED", false, false},
		{"once-only, draining while it is dialed", "order", "DRAINING", false, false},
		{"serving all the while", "chat", "SERVING", false, true},
		{"draining once its line is written", "chat", "DRAINING", true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			harness := newHarness(t, "proxy", 2, 1000)
			client, dial := Conn(0), Conn(0)
			for i := 0; harness.dialedAddress[dial] != "h0"; i++ {
				client = harness.openFlow(fmt.Sprintf("%x c=%s,t=acme,d=2000", i+1, c.kind))
				if dial = harness.flowDials[len(harness.flowDials)-1]; harness.dialedAddress[dial] != "h0" {
					harness.receive(client, "", Ended)
				}
			}
			if c.up {
				harness.completeLastDial()
			}
			dials := len(harness.flowDials)
			harness.apply(ListReceived{change(hostList(2), c.status)})
			if c.stays {
				if len(harness.flowDials) != dials || harness.connectionState[dial] == "closed" {
					t.Errorf("called back")
				}
				return
			}
			harness.apply(Dialed{Conn: dial}) // it came up all the same
			if harness.connectionState[dial] != "closed" || harness.written[dial] != "" {
				t.Errorf("%s, and told %q", harness.connectionState[dial], harness.written[dial])
			}
			if len(harness.flowDials) != dials+1 || harness.dialedAddress[harness.flowDials[dials]] != "h1" {
				t.Fatalf("not sent elsewhere")
			}
			harness.receive(harness.completeLastDial(), "UP 7\r\n", Open)
			if harness.written[client] != "UP 7\r\n" {
				t.Errorf("the client was told %q", harness.written[client])
			}
		})
	}
}

// What a probe of one node tells of a host reaches the flows of another. Guards against hot hosts that a
// hundred nodes go on filling: each has a host's report once in a minute.
func TestGossipedLoadIsHeeded(t *testing.T) {
	talking := strings.Replace(settingsJSON, `"probes":true,`, `"probes":true,"peers":true,`, 1)
	talking = strings.Replace(talking, `"parties"`, `"reporting":{"source":"on_probe","fields":["x0"]},"parties"`, 1)
	world := func() *testHarness { return newHarnessWith(t, talking, "pass", 2, 100) }
	one, other := world(), world()
	for range 200 { // by its second round it has asked all hosts
		one.advance(0.25)
		if len(one.healthChecks) == 2 {
			break
		}
	}
	if len(one.healthChecks) != 2 {
		t.Fatalf("%d probes", len(one.healthChecks))
	}
	for _, c := range one.healthChecks {
		one.completeDial(c)
		load := map[string]string{"h0": "0.9", "h1": "0.2"}[one.dialedAddress[c]]
		one.receive(c, "PONG waiting=3 x0="+load+"\r\n", Open)
	}
	one.advance(0.25)
	if len(one.gossip) != 1 || one.gossip[0].Host != 100 || one.gossip[0].Load != 0.9 {
		t.Fatalf("said %v", one.gossip)
	}
	other.apply(GossipReceived{append(one.gossip, peers.HostLoad{Host: 7, Load: 3})}) // 7: never listed
	for id := range 4 {
		other.openFlow(fmt.Sprintf("a%d c=chat,t=acme,d=2000", id))
	}
	for _, h := range other.flowDials {
		if other.dialedAddress[h] != "h1" {
			t.Errorf("a flow went to %s", other.dialedAddress[h])
		}
	}
	if len(other.flowDials) != 4 || len(other.gossip) > 0 {
		t.Errorf("%d flows placed, %d words passed on", len(other.flowDials), len(other.gossip))
	}
}

// What discovery may say wrongly, or again and again: each has a stated treatment, and each flow gets its
// answer.
func TestOddListsHaveAStatedEffect(t *testing.T) {
	thousand := hostList(1000)
	twice := hostList(1)
	twice.Hosts = append(twice.Hosts, endpoint.Host{Name: twice.Hosts[0].Name, Address: "h7", Status: "SERVING"})
	back := hostList(1)
	back.Index = 2
	change := func(index int64, name, address string) endpoint.List {
		return endpoint.List{Index: index, Hosts: []endpoint.Host{{Name: name, Address: address, Status: "SERVING", StartedAtMS: -5}}}
	}
	for _, c := range []struct {
		name  string
		lists []endpoint.List
		known int    // hosts listed at the end
		index int64  // from which a watch is taken up again
		to    string // where a flow goes; BUSY for nowhere
	}{
		{"an empty whole list: nobody serves", []endpoint.List{{Index: 8, Complete: true}}, 0, 8, "BUSY"},
		{"an empty change changes nothing", []endpoint.List{hostList(1), {Index: 9}}, 1, 9, "h0"},
		{"a thousand hosts", []endpoint.List{thousand}, 1000, 6, "h"},
		{"one name under two addresses: the last counts", []endpoint.List{twice}, 1, 6, "h7"},
		{"a name under a new address, told later", []endpoint.List{hostList(1), change(7, "s-00000064", "h8")}, 1, 7, "h8"},
		{"an index that goes back with a whole list: that list counts", []endpoint.List{thousand, back}, 1, 2, "h0"},
		{"an index that goes back with a change", []endpoint.List{hostList(1), change(3, "s-00000064", "h5")}, 1, 3, "h5"},
		{"a name that is no number", []endpoint.List{{Index: 6, Complete: true, Hosts: []endpoint.Host{{Name: "\x00é", Address: "h3",
			Status: "SERVING"}}}}, 1, 6, "h3"},
	} {
		t.Run(c.name, func(t *testing.T) {
			harness := newHarness(t, "proxy", 2, 1000)
			for _, l := range c.lists {
				harness.apply(ListReceived{l})
			}
			client := harness.openFlow(chatRequest)
			got := strings.TrimSpace(harness.written[client])
			if len(harness.flowDials) > 0 {
				got = harness.dialedAddress[harness.flowDials[0]]
			}
			if !strings.HasPrefix(got, c.to) {
				t.Errorf("to %q, wanted %q", got, c.to)
			}
			harness.apply(WatchFailed{Reason: "the end"})
			harness.advance(8)
			if len(harness.watchIndices) == 0 || harness.watchIndices[len(harness.watchIndices)-1] != c.index {
				t.Errorf("watches from %v, wanted the last from %d", harness.watchIndices, c.index)
			}
		})
	}
}
