package placement

import (
	"slices"
	"testing"
)

// A client that returns is placed at one of three homes by its key. Where its connection is then handed over
// mid-flow to another node, that node looks there, although the nodes know nothing of each other.
func TestReturnedFlowIsFoundByAnotherNode(t *testing.T) {
	const servers, clients = 12, 600
	found := 0
	placedAt := map[int]int{}
	for client := range clients {
		first := newTestBalancer(servers, func(s *Settings) {
			s.Nodes = 300
			s.Seed = uint64(2 * client)
		})
		first.overload.uncertainty = 0.93 // has run for a while
		second := newTestBalancer(servers, func(s *Settings) {
			s.Nodes = 300
			s.Seed = uint64(2*client + 1)
		})
		second.overload.uncertainty = 0.9
		second.overload.level = 1 // has just started
		key := hash64(uint64(client))
		_, placed := first.arrive(1, Arrival{ClientKey: key, GroupKey: 77, Returning: true})
		_, looked := second.arrive(1, Arrival{ClientKey: key, GroupKey: 77, MidFlow: true})
		if looked == placed {
			found++
		}
		placedAt[placed]++
	}
	if found < clients*9/10 {
		t.Errorf("%d of %d were found", found, clients)
	}
	if len(placedAt) < 3 { // returning clients do not all go where the load was too much
		t.Errorf("placed at %v", placedAt)
	}
}

func TestHomeMovesOnlyWithItsServer(t *testing.T) {
	const removedPlace = 3
	b := newTestBalancer(40, nil)
	b.updateUsable(b.now, false)
	before := map[uint64]int{}
	for group := uint64(1); group <= 400; group++ {
		before[group] = b.usable[b.homes(group, 1)[0]]
	}
	b.changeState(removedPlace, Removed)
	b.updateUsable(b.now, false)
	moved := 0
	for group, was := range before {
		is := b.usable[b.homes(group, 1)[0]]
		if is == was {
			continue
		}
		moved++
		if was != b.serverIndex(removedPlace) {
			t.Fatalf("group %d moved from a server that stays", group)
		}
	}
	if moved == 0 || moved > 40 {
		t.Fatalf("%d of 400 groups moved with one of 40 servers", moved)
	}
}

// What spills of a group goes to its second home, and what returns to an uncertain node goes to one of the first
// three. Each server with flows of a group pays for the group once.
func TestGroupGathersAtItsHomes(t *testing.T) {
	for _, returning := range []bool{false, true} {
		name := "spilled"
		if returning {
			name = "returning"
		}
		t.Run(name, func(t *testing.T) {
			byHome, all := placeGroup(returning)
			if byHome[none] > 0 {
				t.Errorf("%d of %d elsewhere than at the group's homes", byHome[none], all)
			}
			if !returning && byHome[1] != all {
				t.Errorf("%d of %d at the second home", byHome[1], all)
			}
			if returning && (byHome[0] < all/8 || byHome[1] < all/4 || byHome[2] < all/4) {
				t.Errorf("at the homes %v of %d", byHome, all)
			}
		})
	}
}

// placeGroup lets each of 400 nodes place one flow of a group. It returns how many were placed at each of the
// group's homes, with none for other servers, and how many in all.
func placeGroup(returning bool) (byHome map[int]int, all int) {
	byHome = map[int]int{}
	for seed := range uint64(400) {
		b := newTestBalancer(40, func(s *Settings) {
			s.Seed = hash64(seed)
			s.Nodes = 100
		})
		b.overload.level = 1
		homes := b.homes(77, 3)
		if !returning {
			b.serverAt(homes[0]).threshold.load = 0
		}
		b.overload.uncertainty = 1
		for range hash64(seed) % 50 { // the nodes have made different numbers of draws
			b.random()
		}
		decision, place := b.arrive(0, Arrival{ClientKey: seed + 1, GroupKey: 77, Returning: returning})
		if decision.Action == Connect {
			byHome[slices.Index(homes, place)]++
			all++
		}
	}
	return byHome, all
}

// Nodes that each place one client of a group at its home put as many there as there are nodes. Where the quotas say
// that three servers can take less, the clients are dealt over as many homes as can take that, and every node finds a
// client where any other placed it.
func TestLargeGroupIsDealtOverHomes(t *testing.T) {
	const nodes = groupNodes
	for _, c := range []struct {
		name        string
		connections float64 // that the quotas allow for a server; 0 without quotas
		homes       int
	}{
		{"no quotas", 0, 1},
		{"one connection a node and more", 1.5 * nodes, 1},
		{"a third of that", 0.34 * nodes, 1},
		{"a good fifth of that", 0.24 * nodes, 4},
		{"a good ninth of that", 0.115 * nodes, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			fleet := groupFleet{}
			if c.connections > 0 {
				fleet.quotas = []float64{0.75 * groupServers * c.connections, 0.25 * groupServers * c.connections}
			}
			homes := fleet.node(0).homes(77, c.homes)
			byHome := map[int]int{}
			for client := range nodes {
				place := fleet.place(client)
				byHome[slices.Index(homes, place)]++
				if c.homes > 1 {
					fleet.requireFound(t, client, place)
					fleet.requirePrimaryWhenQuiet(t, client)
				}
			}
			most := 0
			for _, clients := range byHome {
				most = max(most, clients)
			}
			if byHome[none] > 0 || len(byHome) != c.homes || most > nodes/c.homes*3/2 {
				t.Errorf("at its homes %v, want %d homes evenly", byHome, c.homes)
			}
		})
	}
}

const (
	groupNodes   = 300
	groupServers = 90
)

// groupFleet makes the nodes of a fleet of which each sees one client of a group.
type groupFleet struct {
	quotas []float64
}

func (g groupFleet) node(seed int) *testBalancer {
	b := newTestBalancer(groupServers, func(s *Settings) {
		s.Nodes = groupNodes
		s.Seed = uint64(seed)
		s.Quotas = g.quotas
	})
	b.overload.level = 1
	b.overload.uncertainty = 0.95
	return b
}

func (g groupFleet) arrival(client int) Arrival {
	return Arrival{ClientKey: hash64(uint64(client)), GroupKey: 77, Tenant: client % 2}
}

// place returns where a client's own node places it.
func (g groupFleet) place(client int) int {
	_, place := g.node(2*client).arrive(1, g.arrival(client))
	return place
}

// requireFound checks that another node places a returning client where it was, and looks for it there mid-flow.
func (g groupFleet) requireFound(t *testing.T, client, place int) {
	t.Helper()
	returning := g.arrival(client)
	returning.Returning = true
	if _, returned := g.node(2*client+1).arrive(1, returning); returned != place {
		t.Errorf("client %d was at %d, returned to %d", client, place, returned)
	}
	midFlow := g.arrival(client)
	midFlow.MidFlow = true
	if _, looked := g.node(2*client+1).arrive(1, midFlow); looked != place {
		t.Errorf("client %d is at %d, mid-flow it is looked for at %d", client, place, looked)
	}
}

// requirePrimaryWhenQuiet checks that the primary decides again after quiet minutes, also of mid-flow connections.
func (g groupFleet) requirePrimaryWhenQuiet(t *testing.T, client int) {
	t.Helper()
	for _, midFlow := range []bool{false, true} {
		quiet := g.node(2*client + 1)
		quiet.overload.level = 0
		quiet.overload.uncertainty = 0
		arrival := g.arrival(client)
		arrival.MidFlow = midFlow
		if _, place := quiet.arrive(1, arrival); place != int(hash64(arrival.ClientKey)%groupServers) {
			t.Errorf("client %d, mid-flow %v, is at %d after quiet minutes", client, midFlow, place)
		}
	}
}
