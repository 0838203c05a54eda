package placement

import (
	"slices"
	"testing"
)

const (
	loadServers     = 60
	loadConnections = 1200 // connections of all nodes, set up within one second
	loadMaxNodes    = 40   // nodes that a test runs; in a larger fleet each of them represents several
	startedPlace    = 7    // place of a server that has just started
)

// fleetLoad counts the requests that all nodes of a fleet together send to the list service and to servers.
type fleetLoad struct {
	nodes         int
	nodesRun      int
	checks        float64   // health checks of servers in use, in 5 s
	firstPolls    []float64 // by second after the start
	toLastServer  float64   // connections to a server in slow start while all others reject flows
	roundTripSeen LoadReport
}

func (l *fleetLoad) weight() float64 {
	return float64(l.nodes) / float64(l.nodesRun)
}

// connectionsPerNode returns the number of connections of each node, at least one.
func (l *fleetLoad) connectionsPerNode() int {
	return max(loadConnections/l.nodes, 1)
}

func (l *fleetLoad) newNode(node int, change func(*Settings)) *testBalancer {
	return newTestBalancer(loadServers, func(s *Settings) {
		s.Nodes = l.nodes
		s.Seed = uint64(node)
		s.NodeNumber = node * l.nodes / l.nodesRun
		s.OverloadWindow = 1
		if change != nil {
			change(s)
		}
	})
}

// countPollsAndChecks starts one node from a cached list and counts its first poll and its health checks.
func (l *fleetLoad) countPollsAndChecks(node int) {
	b := l.newNode(node, func(s *Settings) {
		s.TimeHealthChecks = true
		s.WatchEndpoints = true
		s.PollInterval = 1000
	})
	b.polling.watching = false
	b.UpdateEndpoints(b.now, ListCached, b.readyEndpoints(loadServers))
	l.firstPolls[int(b.polling.nextAt-b.now)] += l.weight()
	b.restartServer(startedPlace, b.now)
	b.establish(node*1000, l.connectionsPerNode())
	for i := range b.servers {
		if b.servers[i].check.inFlight { // requested while the flows arrived
			l.answerCheck(b, i)
		}
	}
	for range 20 { // 5 s
		for _, decision := range b.advance(housekeepingInterval) {
			if decision.Action == CheckHealth {
				l.answerCheck(b, decision.Server)
			}
		}
	}
}

func (l *fleetLoad) answerCheck(b *testBalancer, index int) {
	l.checks += l.weight()
	b.HealthChecked(b.now, index, Served, l.roundTripSeen)
}

// countAtLastServer lets one node's flows arrive while only the server in slow start accepts flows.
func (l *fleetLoad) countAtLastServer(node int) {
	b := l.newNode(node, nil)
	list := b.readyEndpoints(loadServers)
	list[startedPlace].StartedAt = b.now
	b.UpdateEndpoints(b.now, ListFull, list)
	for place := range loadServers {
		if place != startedPlace {
			b.serverAt(place).rejectedAt = b.now
		}
	}
	b.establish(node*1000, l.connectionsPerNode())
	l.toLastServer += l.weight() * float64(b.serverAt(startedPlace).inFlight)
}

// Requests that are few for one node may overload the list service or a server if a thousand nodes send them. Their sums over
// all nodes stay within bounds for any number of nodes.
func TestLoadOfAllNodesIsBounded(t *testing.T) {
	for _, nodes := range []int{1, 3, 80, 1000} {
		load := fleetLoad{nodes: nodes, nodesRun: min(nodes, loadMaxNodes), firstPolls: make([]float64, 1000),
			roundTripSeen: roundTripOnly(0.004)}
		for node := range load.nodesRun {
			load.countPollsAndChecks(node)
			load.countAtLastServer(node)
		}
		// Two checks a second of each server, and one check of each server that a node starts to use.
		maxChecks := 5*2*loadServers*1.4 + float64(min(nodes*loadServers, loadConnections))
		if load.checks > maxChecks {
			t.Errorf("%d nodes: %.0f health checks in 5 s, want at most %.0f", nodes, load.checks, maxChecks)
		}
		// A server past its slow start would get an even part of the connections. At a weight of a fifth, the server may get
		// the overload multiple of a fifth of that.
		maxConnections := 0.2 * 3 * loadConnections / loadServers
		if load.toLastServer > 1.5*maxConnections+load.weight() {
			t.Errorf("%d nodes: %.0f connections to a server in slow start, want at most %.0f", nodes,
				load.toLastServer, maxConnections)
		}
		// The rate of the list service, or the rate at which all nodes poll within maxPollSpread if that is higher: they must
		// learn of a change before it counts as in force.
		maxPolls := max(listServiceRate/loadServers+1.0, float64(nodes)/maxPollSpread)
		if slices.Max(load.firstPolls) > 1.5*maxPolls+3*load.weight() {
			t.Errorf("%d nodes: %.0f first polls in one second, want about %.0f", nodes, slices.Max(load.firstPolls),
				maxPolls)
		}
	}
}
