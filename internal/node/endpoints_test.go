package node

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"

	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/settings"
)

// listChange returns a list with a change of one host.
func listChange(index int64, host endpoint.Host) endpoint.List {
	return endpoint.List{Index: index, Hosts: []endpoint.Host{host}}
}

// Nodes that disagree on the primary of a client key send its flows to different hosts. The primary is the list's entry
// at the hash of the client key modulo the length of the list, in the order of host ids.
func TestPrimaryFollowsClientKeyAndHostID(t *testing.T) {
	harness := newHarness(t, "pass", 7, 1000)
	for _, key := range []uint64{1, 0xa1, 0x7f3a9c21e0b4d655, 0x0008cb70f96f9305} {
		harness.openFlow(fmt.Sprintf("%016x c=chat,t=acme,d=2000", key))
		hash := xxhash.Sum64(binary.BigEndian.AppendUint64(nil, key))
		want := fmt.Sprint("h", hash%7)
		if got := harness.dialedAddress[harness.flowDials[len(harness.flowDials)-1]]; got != want {
			t.Errorf("key %x went to %s, wanted %s", key, got, want)
		}
	}
}

// The order of the list differs between nodes if they derive different ids. A host's id is the hexadecimal number in its
// name, or a hash of a name without one.
func TestHostIDIsTheNumberInTheName(t *testing.T) {
	for name, want := range map[string]uint32{"s-5be2a07c": 0x5be2a07c, "a-b-00000010": 16, "ff": 255} {
		if got := hostID(name); got != want {
			t.Errorf("hostID(%q) is %x, wanted %x", name, got, want)
		}
	}
	if hostID("relay-one") == hostID("relay-two") {
		t.Error("two names without a number have the same id")
	}
}

// isReadyByPing reports whether the node answers a readiness check, as load balancers in front of it send, with PONG.
func isReadyByPing(harness *testHarness) bool {
	client := harness.accept()
	harness.receive(client, "PING\r\n", StreamEnded)
	return harness.written[client] == "PONG\r\n"
}

// startWithCachedList returns a harness with a node that has a cached list and no answer from discovery yet.
func startWithCachedList(t *testing.T, cached endpoint.List) *testHarness {
	t.Helper()
	balancer, listener, err := settings.Parse(fmt.Appendf(nil, settingsJSON, "pass"), 7)
	if err != nil {
		t.Fatal(err)
	}
	harness := newHarness(t, "pass", 0, 100)
	harness.node = New(harness.now, Start{
		Settings: balancer, Listener: listener, CachedList: cached, MaxDescriptors: 100,
	})
	harness.watchIndices = nil
	harness.advance(1)
	return harness
}

// A node that is ready too early places flows by an outdated list; one that waits for a discovery which is down has
// no clients. The node is ready once discovery has sent a list, or after two failed calls if it has a cached list.
func TestReadyOnceThereIsAList(t *testing.T) {
	harness := startWithCachedList(t, hostList(2))
	if isReadyByPing(harness) || !slices.Equal(harness.watchIndices, []int64{6}) {
		t.Fatalf("ready before discovery has answered, or watches %v", harness.watchIndices)
	}
	harness.apply(WatchFailed{Reason: "503"})
	harness.advance(3)
	if isReadyByPing(harness) || len(harness.watchIndices) != 2 {
		t.Fatalf("ready after one failed call, or watches %v", harness.watchIndices)
	}
	harness.apply(WatchFailed{Reason: "503"})
	if !isReadyByPing(harness) {
		t.Fatal("not ready with the cached list although discovery is unavailable")
	}
}

// A node without any host would reject all its clients. If the cached list is empty, the node is not ready until
// discovery sends a list.
func TestNotReadyWithoutAnyHost(t *testing.T) {
	harness := startWithCachedList(t, endpoint.List{})
	harness.apply(WatchFailed{Reason: "503"})
	harness.apply(WatchFailed{Reason: "503"})
	if isReadyByPing(harness) {
		t.Fatal("ready without any host")
	}
	harness.apply(ListReceived{hostList(2)})
	if !isReadyByPing(harness) {
		t.Fatal("not ready with a list")
	}
}

// placeFlow opens a flow and returns the address that it is sent to, or the first word of its rejection.
func placeFlow(harness *testHarness) string {
	before := len(harness.flowDials)
	client := harness.openFlow(chatRequest)
	if len(harness.flowDials) == before {
		return strings.Fields(harness.written[client])[0]
	}
	return harness.dialedAddress[harness.flowDials[before]]
}

// Flows fail at hosts that are no longer serving or have moved. As each list is received, flows go only to hosts that are
// listed as serving and have an address, at their last listed address.
func TestFlowsFollowTheList(t *testing.T) {
	harness := newHarness(t, "pass", 1, 1000)
	one := func(name, address, status string) ListReceived {
		return ListReceived{listChange(9, endpoint.Host{Name: name, Address: address, Status: status})}
	}
	for _, step := range []struct {
		name  string
		input Input
		want  string
	}{
		{"as listed", TimerFired{}, "h0"},
		{"new address", one("s-00000064", "h9", "SERVING"), "h9"},
		{"draining", one("s-00000064", "", "DRAINING"), "BUSY"},
		{"unknown status", one("s-00000064", "", "RESTING"), "BUSY"},
		{"serving again, listed without an address", one("s-00000064", "", "SERVING"), "h9"},
		{"removed", one("s-00000064", "", "DELETED"), "BUSY"},
		{"host never listed with an address", one("s-00000065", "", "SERVING"), "BUSY"},
		{"not on a complete list", ListReceived{hostList(0)}, "BUSY"},
	} {
		harness.apply(step.input)
		if got := placeFlow(harness); got != step.want {
			t.Errorf("%s: sent to %s, wanted %s", step.name, got, step.want)
		}
	}
}

// openFlowTo opens flows until one is dialed to an address, and returns its client and its dial. It ends the other flows.
func openFlowTo(harness *testHarness, address, serviceType string) (client, dial ConnID) {
	harness.Helper()
	for key := 1; ; key++ {
		client = harness.openFlow(fmt.Sprintf("%x c=%s,t=acme,d=2000", key, serviceType))
		dial = harness.flowDials[len(harness.flowDials)-1]
		if harness.dialedAddress[dial] == address {
			return client, dial
		}
		harness.receive(client, "", StreamEnded)
	}
}

// listsAs returns an input after which the first of two hosts is listed with a status.
func listsAs(status string) func(*testHarness) {
	return func(harness *testHarness) {
		list := hostList(2)
		list.Hosts[0].Status = status
		harness.apply(ListReceived{list})
	}
}

// operatorAsks returns an input in which an operator asks a question about the first host.
func operatorAsks(question Question) func(*testHarness) {
	return func(harness *testHarness) { harness.query(question, "s-00000064") }
}

// settingsDisable is an input after which the live settings disable the first host.
func settingsDisable(harness *testHarness) {
	if err := harness.applySettings(1, "hosts.s-00000064.disabled_until_s = 1000000060"); err != nil {
		harness.Fatal(err)
	}
}

// peerProcessDisables is an input in which the other process of an upgrade disables the first host.
func peerProcessDisables(harness *testHarness) {
	harness.apply(PeerProcessChanged{Update: HandoverUpdate{DisabledHost: "s-00000064"}, From: Successor})
}

// A slow dial could succeed after its host's drain grace, and the opening line would be written to a draining host. If
// a host stops accepting new flows, whoever has withdrawn it, an attempt that is still being dialed goes to another host
// at once, and an attempt whose line is written stays.
func TestDialToDrainingHostIsCanceled(t *testing.T) {
	for _, c := range []struct {
		name        string
		serviceType string
		withdraw    func(*testHarness)
		connected   bool
		stays       bool
	}{
		{"draining during the dial", "chat", listsAs("DRAINING"), false, false},
		{"removed during the dial", "chat", listsAs("DELETED"), false, false},
		{"non-idempotent, draining during the dial", "order", listsAs("DRAINING"), false, false},
		{"still serving", "chat", listsAs("SERVING"), false, true},
		{"draining after the line was written", "chat", listsAs("DRAINING"), true, true},
		{"disabled by an operator during the dial", "chat", operatorAsks(DisableHost), false, false},
		{"non-idempotent, disabled by an operator during the dial", "order", operatorAsks(DisableHost), false, false},
		{"disabled by an operator after the line was written", "chat", operatorAsks(DisableHost), true, true},
		{"enabled by an operator during the dial", "chat", operatorAsks(EnableHost), false, true},
		{"disabled at the other process during the dial", "chat", peerProcessDisables, false, false},
		{"disabled by the settings during the dial", "chat", settingsDisable, false, false},
		{"disabled by the settings after the line was written", "chat", settingsDisable, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			harness := newHarness(t, "proxy", 2, 1000)
			client, dial := openFlowTo(harness, "h0", c.serviceType)
			if c.connected {
				harness.completeLastDial()
			}
			dials := len(harness.flowDials)
			c.withdraw(harness)
			if c.stays {
				if len(harness.flowDials) != dials || harness.connectionState[dial] == "closed" {
					t.Errorf("the attempt was canceled")
				}
				return
			}
			harness.apply(Dialed{Conn: dial}) // the dial had succeeded before it was canceled
			if harness.connectionState[dial] != "closed" || harness.written[dial] != "" {
				t.Errorf("the canceled connection is %s and was sent %q", harness.connectionState[dial],
					harness.written[dial])
			}
			if len(harness.flowDials) != dials+1 || harness.dialedAddress[harness.flowDials[dials]] != "h1" {
				t.Fatalf("the flow was not sent to the other host")
			}
			harness.receive(harness.completeLastDial(), "UP 7\r\n", StreamOpen)
			if harness.written[client] != "UP 7\r\n" {
				t.Errorf("the client was sent %q", harness.written[client])
			}
		})
	}
}

// Discovery may send lists that are empty, contradictory or out of order, which must not leave flows without an answer
// or the watch at a wrong index. Each such list has the effect stated here.
func TestUnusualListsAreHandled(t *testing.T) {
	thousand := hostList(1000)
	twice := hostList(1)
	twice.Hosts = append(twice.Hosts, endpoint.Host{Name: twice.Hosts[0].Name, Address: "h7", Status: "SERVING"})
	back := hostList(1)
	back.Index = 2
	named := listChange(6, endpoint.Host{Name: "\x00é", Address: "h3", Status: "SERVING"})
	named.Complete = true
	moved := func(index int64, address string) endpoint.List {
		return listChange(index, endpoint.Host{
			Name: "s-00000064", Address: address, Status: "SERVING", StartedAtMS: -5,
		})
	}
	for _, c := range []struct {
		name  string
		lists []endpoint.List
		known int    // hosts listed at the end
		index int64  // of the next watch
		to    string // prefix of the address that a flow is sent to; BUSY for a rejected one
	}{
		{"empty complete list: no host serves", []endpoint.List{{Index: 8, Complete: true}}, 0, 8, "BUSY"},
		{"empty change: nothing changes", []endpoint.List{hostList(1), {Index: 9}}, 1, 9, "h0"},
		{"a thousand hosts", []endpoint.List{thousand}, 1000, 6, "h"},
		{"one name with two addresses: the last one counts", []endpoint.List{twice}, 1, 6, "h7"},
		{"a later list with a new address", []endpoint.List{hostList(1), moved(7, "h8")}, 1, 7, "h8"},
		{"complete list with a lower index", []endpoint.List{thousand, back}, 1, 2, "h0"},
		{"change with a lower index", []endpoint.List{hostList(1), moved(3, "h5")}, 1, 3, "h5"},
		{"a name without a number", []endpoint.List{named}, 1, 6, "h3"},
	} {
		t.Run(c.name, func(t *testing.T) {
			harness := newHarness(t, "proxy", 2, 1000)
			for _, list := range c.lists {
				harness.apply(ListReceived{list})
			}
			if listed := harness.query(GetStatistics, "").Statistics.Listed; listed != c.known {
				t.Errorf("%d hosts listed, wanted %d", listed, c.known)
			}
			if got := placeFlow(harness); !strings.HasPrefix(got, c.to) {
				t.Errorf("sent to %q, wanted %q", got, c.to)
			}
			harness.apply(WatchFailed{Reason: "the end"})
			harness.advance(8)
			watches := harness.watchIndices
			if len(watches) == 0 || watches[len(watches)-1] != c.index {
				t.Errorf("watches from %v, wanted the last from %d", watches, c.index)
			}
		})
	}
}
