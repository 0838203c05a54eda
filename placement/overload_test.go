package placement

import (
	"math"
	"testing"
)

// slowMessages reports a message delay on one connection of each server, in seconds.
func (b *testBalancer) slowMessages(servers int, delay float64) {
	for place := range servers {
		for id := range b.flows {
			f := &b.flows[id]
			if f.established && f.server == b.serverIndex(place) {
				b.ReportDelay(b.now, id, delay)
				break
			}
		}
	}
}

// Servers that get new flows while they are overloaded do not recover. Flows are rejected and some connections migrate while
// messages are slow, the load threshold rises slowly so that all nodes do not send flows at once to a server that has just
// recovered, and it does not limit the server for long after the overload.
func TestOverloadRejectsAndMigratesUntilItEnds(t *testing.T) {
	b := newTestBalancer(3, nil)
	b.establish(0, 30)
	b.slowMessages(3, 0.5) // five times the objective
	decision, _ := b.arrive(50, Arrival{ClientKey: 3})
	requireReject(t, decision)
	migrated := map[int]bool{}
	for _, decision := range b.advance(0.5) {
		if decision.Action == Migrate && migrated[decision.Flow] {
			t.Fatal("a connection migrated twice")
		}
		migrated[decision.Flow] = decision.Action == Migrate
	}
	if len(migrated) == 0 || len(migrated) > 12 {
		t.Fatalf("%d connections migrated, want 1 to 12", len(migrated))
	}
	load := 10 * b.meanUsualLoad()
	b.advance(8)
	if b.serverAt(0).threshold.load > 2*load {
		t.Fatal("the threshold rose so fast that all nodes may send flows at once to a server that has just recovered")
	}
	b.advance(90)
	if b.serverAt(0).threshold.load < 10*load {
		t.Fatalf("threshold %g long after the overload has ended, want at least ten times the load", b.serverAt(0).threshold.load)
	}
}

// A threshold that was set before any load was known can be close to zero, and a rise in proportion to it would keep flows
// away from the server for a long time. It rises by at least a fraction of the usual load, but not within the first seconds,
// because all nodes would then send flows at once.
func TestLowThresholdRises(t *testing.T) {
	b := newTestBalancer(3, func(s *Settings) { s.Quotas = []float64{40, 20} }) // ten connections for each server and node
	b.establish(0, 30)
	for id := range b.flows {
		b.ReportLoad(id, 0.1)
	}
	s := b.serverAt(0)
	s.assignedLoad = 0.02
	s.threshold.load = 0.02
	s.threshold.loweredAt = b.now
	b.advance(3)
	if s.threshold.load > 0.4 {
		t.Fatalf("threshold %g after 3 s, want at most 0.4", s.threshold.load)
	}
	b.advance(9)
	if s.threshold.load < 0.3 {
		t.Fatalf("threshold %g after 12 s, want at least 0.3", s.threshold.load)
	}
}

// The lower bound of a threshold is the mean load of all service types. If it were that of one of them, such as the first, the
// order of the types in the settings would change decisions.
func TestOrderOfServiceTypesIsIrrelevant(t *testing.T) {
	for _, loads := range [][]float64{{0.1, 1}, {1, 0.1}} {
		b := newTestBalancer(3, func(s *Settings) { s.ServiceTypes = append(s.ServiceTypes, s.ServiceTypes[0]) })
		b.loads.usual = loads
		b.lowerThreshold(b.now, b.serverAt(0), 0.9)
		if floor := b.serverAt(0).threshold.load; math.Abs(floor-0.55) > 1e-9 {
			t.Errorf("loads %v: lowered to %g, want 0.55", loads, floor)
		}
	}
}

// If a hundred nodes have one connection each on an overloaded server, none of them is above a threshold of at least one
// connection, and the server would never be relieved. At each delay report a part of the nodes migrate their connections, and
// more of them as the overload continues, but never all at once.
func TestPartOfNodesWithOneConnectionEachMigrate(t *testing.T) {
	const nodes, place, servers = 100, 3, 10
	for _, c := range []struct {
		name            string
		delay           float64 // in message objectives
		reports         int     // number of reports, 1.25 s apart
		atLeast, atMost int     // migrations of all nodes
	}{
		{"no overload", 0.2, 3, 0, 0},
		{"light, three reports", 1.5, 3, 1, 45}, // about a seventh after the second report and a fifth after the third
		{"heavy, one report", 6, 1, 8, 40},
		{"heavy, five reports", 6, 5, 60, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			migrated := 0
			for seed := range nodes {
				b := newTestBalancer(servers, func(s *Settings) {
					s.Nodes = nodes
					s.Seed = uint64(seed)
				})
				b.arrive(0, Arrival{ClientKey: clientKeyFor(place, servers)})
				b.Established(0, 0)
				b.ReportLoad(0, 0.02)
				b.advance(1)
				migrated += b.migrateDuringReports(c.reports, c.delay*b.messageObjective)
			}
			if migrated < c.atLeast || migrated > c.atMost {
				t.Errorf("%d of %d migrated, want %d to %d", migrated, nodes, c.atLeast, c.atMost)
			}
		})
	}
}

// migrateDuringReports reports the delay of flow 0 several times and returns how often it was migrated.
func (b *testBalancer) migrateDuringReports(reports int, delay float64) int {
	migrated := 0
	for range reports {
		b.ReportDelay(b.now, 0, delay)
		for _, decision := range b.advance(1.25) {
			if decision.Action == Migrate {
				migrated++
				b.AttemptEnded(b.now, 0, 0, Canceled, true)
			}
		}
	}
	return migrated
}

// Clients whose connections an overloaded server dropped return at once, and their client key leads them to the same server.
// It gets no flows for the time of overloadHold.
func TestServerThatDroppedConnectionsIsPaused(t *testing.T) {
	const place, servers = 2, 5
	for _, c := range []struct {
		name    string
		outcome Outcome
		later   float64 // seconds from the loss to the next flow
		used    bool    // the server gets flows again
	}{
		{"dropped just now", ConnectionLost, 0.1, false},
		{"dropped a while ago", ConnectionLost, overloadHold + 1, true},
		{"ended without an error just now", Served, 0.1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBalancer(servers, nil)
			arrival := Arrival{ClientKey: clientKeyFor(place, servers)}
			b.arrive(0, arrival)
			b.Established(0, 0)
			b.AttemptEnded(b.now, 0, 0, c.outcome, true)
			b.advance(c.later)
			if _, at := b.arrive(1, arrival); (at == place) != c.used {
				t.Errorf("sent to place %d", at)
			}
		})
	}
}
