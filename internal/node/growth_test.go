package node

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"

	"gorseledge/internal/census"
	"gorseledge/internal/discovery/endpoint"
)

// longService is a node in a service of many rounds. In each of them clients come, some send requests that are answered, and
// leave; a host is replaced by another one; and the live settings change.
type longService struct {
	*testHarness
	roundsAUpgrade int // 0 for a service without upgrades
	rounds         int
	hosts          []endpoint.Host // on the list
	added          int             // hosts so far
	clients        int             // so far
	index          int64
}

const (
	serviceHosts = 8
	hostsARound  = 4 // hosts that are replaced in a round
)

// With more rounds and clients the test shows the sizes of docs/operating.md:
// go test ./internal/node -run TestNothingGrowsWithService -v -rounds 625 -clients 400
var (
	rounds        = flag.Int("rounds", 300, "rounds before the first look; three times as many follow")
	clientsARound = flag.Int("clients", 12, "clients a round")
)

// startLongService starts a node with its first hosts.
func startLongService(t *testing.T) *longService {
	t.Helper()
	s := &longService{testHarness: newHarness(t, "pass", 0, 1000), index: 10}
	for range serviceHosts {
		s.hosts = append(s.hosts, s.newHost())
	}
	s.apply(ListReceived{endpoint.List{Index: s.index, Complete: true, Hosts: s.hosts}})
	return s
}

// newHost returns a host that was never listed.
func (s *longService) newHost() endpoint.Host {
	s.added++
	return endpoint.Host{Name: fmt.Sprintf("s-%08x", s.added), Address: fmt.Sprint("a", s.added), Zone: "a", Status: "SERVING", Weight: 1}
}

// serve lets some rounds of service pass.
func (s *longService) serve(rounds int) {
	s.Helper()
	for range rounds {
		s.rounds++
		for range *clientsARound {
			s.serveClient()
		}
		for range hostsARound {
			s.replaceHost()
		}
		s.forgetRecords()
		if s.roundsAUpgrade > 0 && s.rounds%s.roundsAUpgrade == 0 {
			s.upgrade()
		}
	}
	s.settle()
}

// serveClient lets a client come, with or without a request, and leave.
func (s *longService) serveClient() {
	s.Helper()
	s.now += 0.05
	client := s.accept()
	s.clients++
	if s.clients%4 == 0 {
		s.receive(client, "", StreamEnded)
		return
	}
	s.receive(client, fmt.Sprintf("OPEN %x %x c=chat,t=acme,d=2000\r\n", s.clients, s.clients), StreamOpen)
	host := s.completeLastDial()
	s.receive(host, "UP 1\r\nLOAD 4000\r\n", StreamOpen)
	s.receive(client, "M 1\r\n", StreamOpen)
	s.receive(host, "M 1\r\nBYE\r\n", StreamEnded)
	s.receive(client, "", StreamEnded)
}

// replaceHost removes the oldest host from the list and adds a new one, which operators disable for a moment.
func (s *longService) replaceHost() {
	s.Helper()
	removed := s.hosts[0]
	removed.Status = statusRemoved
	added := s.newHost()
	s.hosts = append(s.hosts[1:], added)
	s.index++
	s.apply(ListReceived{endpoint.List{Index: s.index, Hosts: []endpoint.Host{removed, added}}})
	s.query(DisableHost, added.Name)
	s.query(EnableHost, added.Name)
}

// forgetRecords drops what the harness has recorded, which would grow with the service.
func (harness *testHarness) forgetRecords() {
	harness.records, harness.updates, harness.watchIndices, harness.gossip = nil, nil, nil, nil
	for conn, state := range harness.connectionState {
		if state == "closed" || state == "reset" {
			delete(harness.connectionState, conn)
			delete(harness.written, conn)
			delete(harness.dialedAddress, conn)
			delete(harness.pendingReads, conn)
		}
	}
	harness.flowDials, harness.healthChecks = nil, nil
}

// upgrade replaces the process by a successor, which takes over the state.
func (s *longService) upgrade() {
	s.Helper()
	successor := s.startSuccessor("pass")
	s.handOverTo(successor)
	s.deliverTransfers(successor, false)
	s.apply(Shutdown{})
	successor.apply(PredecessorGone{})
	successor.forgetRecords()
	s.testHarness = successor
}

// settle lets the time pass that the node needs to let go of what has ended.
func (s *longService) settle() {
	s.Helper()
	s.advance(lingerTimeout + 12)
	s.forgetRecords()
}

// sizeBounds are the bounds of what is kept of the connections and flows that have ended, two generations of each.
var sizeBounds = map[string]int{
	"flows.ids.ended.recent":         maxEndedIDs,
	"flows.ids.ended.older":          2 * maxEndedIDs,
	"balancer.loads.byClient.recent": 5000,
	"balancer.loads.byClient.older":  2 * 5000,
}

// If a node kept something of each connection, flow, host, list or upgrade, its memory would grow with its service, and what it
// does with it would take longer and longer. After four times as much service everything that it holds is as large as before.
func TestNothingGrowsWithService(t *testing.T) {
	const (
		spread = 2.5 // factor between two moments of something that is cut back now and then; a size that grows has 4
		few    = 8
	)
	for name, roundsAUpgrade := range map[string]int{"one process": 0, "upgrades in a row": 25} {
		t.Run(name, func(t *testing.T) {
			s := startLongService(t)
			s.roundsAUpgrade = roundsAUpgrade
			s.serve(*rounds)
			before := census.Take(s.node)
			s.serve(3 * *rounds)
			after := census.Take(s.node)
			for _, path := range slices.Sorted(maps.Keys(after)) {
				if after[path] > sizeBounds[path] && float64(after[path]) > spread*float64(before[path])+few {
					t.Errorf("%s: %d after %d rounds, %d after %d", path, before[path], *rounds, after[path], 4**rounds)
				}
				if after[path] > few {
					t.Logf("%s: %d, then %d", path, before[path], after[path])
				}
			}
		})
	}
}
