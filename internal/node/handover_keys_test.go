package node

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"gorseledge/internal/discovery/endpoint"
	"gorseledge/placement"
)

// hostState is all that a process hands over of one host.
type hostState struct {
	listing     endpoint.Host
	server      placement.ServerState
	disabled    bool // by an operator
	revision    int64
	connections int // open ones of the process and its predecessors
}

// hostStates returns what a process hands over, by the names of the hosts.
func hostStates(harness *testHarness) map[string]hostState {
	harness.Helper()
	state := exchangeJSON(harness, harness.node.handoverState())
	states := map[string]hostState{}
	for i, listing := range state.Hosts {
		index := harness.node.endpoints.byName[listing.Name]
		of := hostState{
			listing:  listing,
			server:   state.Balancer.Servers[i],
			disabled: harness.node.endpoints.hosts[index].administrative.disabled,
			revision: state.HostRevisions[listing.Name],
		}
		for _, connection := range state.Connections {
			if connection.Host == listing.Name {
				of.connections++
			}
		}
		states[listing.Name] = of
	}
	return states
}

// distinctServer returns a state of a server of which no other one has a value in common.
func distinctServer(number int) placement.ServerState {
	value := float64(1 + number)
	return placement.ServerState{
		LoadThreshold: 10 + value, LoweredAt: 1e9 + value, ReportedAt: 1e9 + 2*value, DrainingAt: 1e9 + 3*value, Load: value / 1024,
		OverloadedAt: 1e9 + 4*value, RejectedAt: 1e9 - 100 - value, Failures: value, Successes: 100 + value, EjectionTime: 1 + value,
		NextCheckAt: 1e9 + 5*value, ShortestCheck: value / 4096, DisabledAt: 1e9 + 6*value, ChecksPassed: number, RoundingOffset: value / 2048,
	}
}

// startWithDistinctHosts starts a node whose hosts differ in everything that is handed over of them.
func startWithDistinctHosts(t *testing.T, hosts int) *testHarness {
	t.Helper()
	harness := newHarness(t, "pass", hosts, 1000)
	for key := range 3 * hosts {
		harness.establish(fmt.Sprintf("%x c=chat,t=acme,d=2000", key))
	}
	state := harness.node.balancer.HandoverState()
	for i := range state.Servers {
		state.Servers[i] = distinctServer(i)
	}
	harness.node.balancer.Restore(state)
	harness.query(DisableHost, "s-00000065")
	harness.query(DisableHost, "s-00000067")
	harness.query(EnableHost, "s-00000067")
	return harness
}

// drawnList returns a list that a successor may know: some of the hosts, in another order, with an other entry here and there,
// and hosts that the predecessor never had.
func drawnList(random *rand.Rand, hosts int) endpoint.List {
	list := endpoint.List{Index: 1, Complete: true}
	for _, i := range random.Perm(2 * hosts) {
		if random.IntN(3) == 0 {
			continue
		}
		host := endpoint.Host{Name: fmt.Sprintf("s-%08x", 100+i), Address: fmt.Sprint("old", i), Zone: "b", Status: "SERVING", Weight: 3}
		if random.IntN(4) == 0 {
			host.Status = "DRAINING"
		}
		list.Hosts = append(list.Hosts, host)
	}
	return list
}

// If anything that is handed over of hosts were restored by a position, a successor that knows another list would take one host's
// drain, load or ejection for that of another. Whatever the successor knew at its start, each host of the predecessor has the
// same state in it, and in its own successor.
func TestEverythingIsHandedOverByHost(t *testing.T) {
	const hosts = 6
	for seed := range uint64(100) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 4))
			predecessor := startWithDistinctHosts(t, hosts)
			want := hostStates(predecessor)
			for range 2 {
				successor := predecessor.newSuccessor("pass", drawnList(random, hosts))
				got := hostStates(successor)
				for name, state := range want {
					if !reflect.DeepEqual(got[name], state) {
						t.Fatalf("host %s:\n%+v\nwant:\n%+v", name, got[name], state)
					}
				}
				for name := range got {
					if _, known := want[name]; !known && got[name].listing.Status != statusRemoved {
						t.Errorf("host %s is on the list, although the predecessor's list does not have it", name)
					}
				}
				predecessor = successor
			}
		})
	}
}
