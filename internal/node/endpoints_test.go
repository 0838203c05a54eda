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

// listChange returns a change of one host in the list.
func listChange(index int64, host endpoint.Host) endpoint.List {
	return endpoint.List{Index: index, Hosts: []endpoint.Host{host}}
}

// The primary is the entry at the hash of the client key, modulo the length of the list in the order of host ids.
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

// A host's id is the hexadecimal number in its name, or a hash of the name.
func TestHostIDIsTheNumberInTheName(t *testing.T) {
	for name, want := range map[string]uint32{"s-5be2a07c": 0x5be2a07c, "a-b-00000010": 16, "ff": 255} {
		if got := hostID(name); got != want {
			t.Errorf("%s is %x", name, got)
		}
	}
	if hostID("relay-one") == hostID("relay-two") {
		t.Error("names that hold no number are alike")
	}
}

// isReadyByPing asks the node as the front does whether clients may be sent to it.
func isReadyByPing(harness *testHarness) bool {
	client := harness.accept()
	harness.receive(client, "PING\r\n", StreamEnded)
	return harness.written[client] == "PONG\r\n"
}

// startWithCachedList returns a harness of a node that has a cached list and no answer of discovery yet.
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

// The node is ready once discovery has sent a list, or when discovery is out and the cached list must do.
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
		t.Fatal("not ready on the cached list though discovery is out")
	}
}

// A node whose cached list is empty is not ready until discovery sends a list.
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

// Flows go to hosts that are listed as serving and have an address, as lists come one after the other.
func TestListDecidesWhereFlowsGo(t *testing.T) {
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
		{"another address", one("s-00000064", "h9", "SERVING"), "h9"},
		{"draining", one("s-00000064", "", "DRAINING"), "BUSY"},
		{"a status that is not known", one("s-00000064", "", "RESTING"), "BUSY"},
		{"back, without its address", one("s-00000064", "", "SERVING"), "h9"},
		{"removed", one("s-00000064", "", "DELETED"), "BUSY"},
		{"no address was ever listed", one("s-00000065", "", "SERVING"), "BUSY"},
		{"not on a complete list", ListReceived{hostList(0)}, "BUSY"},
	} {
		harness.apply(step.input)
		if got := placeFlow(harness); got != step.want {
			t.Errorf("%s: sent to %s, wanted %s", step.name, got, step.want)
		}
	}
}

// openFlowTo opens flows until one is dialed to an address, and returns its client and the dial. The others are ended.
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

// An attempt that is still being dialed when its host takes no new flows any more goes to another host at once; one
// whose line is written stays. This prevents a line that a slow dial writes to a draining host past the grace.
func TestDialToDrainingHostIsCanceled(t *testing.T) {
	for _, c := range []struct {
		name        string
		serviceType string
		status      string
		connected   bool
		stays       bool
	}{
		{"draining while it is dialed", "chat", "DRAINING", false, false},
		{"gone while it is dialed", "chat", "DELETED", false, false},
		{"non-idempotent, draining while it is dialed", "order", "DRAINING", false, false},
		{"serving all the while", "chat", "SERVING", false, true},
		{"draining once its line is written", "chat", "DRAINING", true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			harness := newHarness(t, "proxy", 2, 1000)
			client, dial := openFlowTo(harness, "h0", c.serviceType)
			if c.connected {
				harness.completeLastDial()
			}
			dials := len(harness.flowDials)
			list := hostList(2)
			list.Hosts[0].Status = c.status
			harness.apply(ListReceived{list})
			if c.stays {
				if len(harness.flowDials) != dials || harness.connectionState[dial] == "closed" {
					t.Errorf("the attempt was canceled")
				}
				return
			}
			harness.apply(Dialed{Conn: dial}) // it came up all the same
			if harness.connectionState[dial] != "closed" || harness.written[dial] != "" {
				t.Errorf("%s, and sent %q", harness.connectionState[dial], harness.written[dial])
			}
			if len(harness.flowDials) != dials+1 || harness.dialedAddress[harness.flowDials[dials]] != "h1" {
				t.Fatalf("not sent to the other host")
			}
			harness.receive(harness.completeLastDial(), "UP 7\r\n", StreamOpen)
			if harness.written[client] != "UP 7\r\n" {
				t.Errorf("the client was sent %q", harness.written[client])
			}
		})
	}
}

// Lists that are wrong, empty or repeated have a stated effect, and each flow gets its answer.
func TestOddListsHaveAStatedEffect(t *testing.T) {
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
		index int64  // from which a watch is taken up again
		to    string // a prefix of where a flow goes; BUSY for nowhere
	}{
		{"an empty complete list: no host serves", []endpoint.List{{Index: 8, Complete: true}}, 0, 8, "BUSY"},
		{"an empty change changes nothing", []endpoint.List{hostList(1), {Index: 9}}, 1, 9, "h0"},
		{"a thousand hosts", []endpoint.List{thousand}, 1000, 6, "h"},
		{"one name under two addresses: the last counts", []endpoint.List{twice}, 1, 6, "h7"},
		{"a name under a new address, listed later", []endpoint.List{hostList(1), moved(7, "h8")}, 1, 7, "h8"},
		{"an index that goes back with a complete list", []endpoint.List{thousand, back}, 1, 2, "h0"},
		{"an index that goes back with a change", []endpoint.List{hostList(1), moved(3, "h5")}, 1, 3, "h5"},
		{"a name that is no number", []endpoint.List{named}, 1, 6, "h3"},
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
				t.Errorf("to %q, wanted %q", got, c.to)
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
