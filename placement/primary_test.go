package placement

import (
	"slices"
	"testing"
)

// The packets of an established connection may arrive at another node, which has no record of it and would break the
// connection by forwarding them to another server. A returning client is placed by its key at one of three homes of its group,
// so that the other node finds the server without communication.
func TestReturnedFlowIsFoundByAnotherNode(t *testing.T) {
	const servers, clients = 12, 600
	found := 0
	placedAt := map[int]int{}
	for client := range clients {
		first := newTestBalancer(servers, func(s *Settings) {
			s.Nodes = 300
			s.Seed = uint64(2 * client)
		})
		first.overload.uncertainty = 0.93 // as of a node that has run for some time
		second := newTestBalancer(servers, func(s *Settings) {
			s.Nodes = 300
			s.Seed = uint64(2*client + 1)
		})
		second.overload.uncertainty = 0.9
		second.overload.level = 1 // as of a node that has just started
		key := hash64(uint64(client))
		_, placed := first.arrive(1, Arrival{ClientKey: key, GroupKey: 77, Returning: true})
		_, foundAt := second.arrive(1, Arrival{ClientKey: key, GroupKey: 77, MidFlow: true})
		if foundAt == placed {
			found++
		}
		placedAt[placed]++
	}
	if found < clients*9/10 {
		t.Errorf("%d of %d connections were sent to their server mid-flow, want at least 90 %%", found, clients)
	}
	if len(placedAt) < 3 { // returning clients do not all go to the server that was overloaded
		t.Errorf("clients by place: %v, want at least three places", placedAt)
	}
}

// If a change of the endpoint list moved the homes of many groups, their flows would be split between old and new homes. Only
// the groups whose home was the removed server move.
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
			t.Fatalf("group %d moved from a server that is still listed", group)
		}
	}
	if moved == 0 || moved > 40 {
		t.Fatalf("%d of 400 groups moved when one of 40 servers was removed, want 1 to 40", moved)
	}
}

// Each server with flows of a group does the work that the whole group needs, so a group that is scattered over many servers
// costs many times that work. Flows that spill go to the group's second home, and clients that return to an uncertain node go
// to one of the first three homes.
func TestGroupIsPlacedAtItsHomes(t *testing.T) {
	for _, returning := range []bool{false, true} {
		name := "spilled"
		if returning {
			name = "returning"
		}
		t.Run(name, func(t *testing.T) {
			byHome, all := placeGroup(returning)
			if byHome[none] > 0 {
				t.Errorf("%d of %d flows placed at servers that are not homes of the group", byHome[none], all)
			}
			if !returning && byHome[1] != all {
				t.Errorf("%d of %d flows at the second home, want all", byHome[1], all)
			}
			if returning && (byHome[0] < all/8 || byHome[1] < all/4 || byHome[2] < all/4) {
				t.Errorf("flows by home %v of %d, want them spread over the first three", byHome, all)
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
		for range hash64(seed) % 50 { // the nodes have generated different numbers of random numbers
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

// If each node of a large fleet places one client of a group at the same home, that server gets as many connections as there
// are nodes. If the quotas show that three servers cannot hold so many, the clients are spread over as many homes as are
// needed, and every node finds a client where any other node placed it.
func TestLargeGroupIsSpreadOverHomes(t *testing.T) {
	const nodes = groupNodes
	for _, c := range []struct {
		name        string
		connections float64 // connections that the quotas allow for a server; 0 without quotas
		homes       int     // number of homes over which the group is spread
	}{
		{"no quotas", 0, 1},
		{"more than one connection for each node", 1.5 * nodes, 1},
		{"a third of a connection for each node", 0.34 * nodes, 1},
		{"a quarter of a connection for each node", 0.24 * nodes, 4},
		{"a ninth of a connection for each node", 0.115 * nodes, 8},
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
					fleet.requirePrimaryWithoutOverload(t, client)
				}
			}
			most := 0
			for _, clients := range byHome {
				most = max(most, clients)
			}
			if byHome[none] > 0 || len(byHome) != c.homes || most > nodes/c.homes*3/2 {
				t.Errorf("clients by home %v, want them spread evenly over %d homes", byHome, c.homes)
			}
		})
	}
}

const (
	groupNodes   = 300
	groupServers = 90
)

// groupFleet creates the nodes of a fleet in which each node has one client of a group.
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

// place returns the place of the server to which a client's own node sends it.
func (g groupFleet) place(client int) int {
	_, place := g.node(2*client).arrive(1, g.arrival(client))
	return place
}

// requireFound checks that another node sends a returning client, and its connection mid-flow, to the server where it was.
func (g groupFleet) requireFound(t *testing.T, client, place int) {
	t.Helper()
	returning := g.arrival(client)
	returning.Returning = true
	if _, returned := g.node(2*client+1).arrive(1, returning); returned != place {
		t.Errorf("client %d was at place %d, returned to place %d", client, place, returned)
	}
	midFlow := g.arrival(client)
	midFlow.MidFlow = true
	if _, foundAt := g.node(2*client+1).arrive(1, midFlow); foundAt != place {
		t.Errorf("client %d is at place %d, sent to place %d mid-flow", client, place, foundAt)
	}
}

// requirePrimaryWithoutOverload checks that flows, also mid-flow ones, go to their primary again after minutes without
// overload.
func (g groupFleet) requirePrimaryWithoutOverload(t *testing.T, client int) {
	t.Helper()
	for _, midFlow := range []bool{false, true} {
		node := g.node(2*client + 1)
		node.overload.level = 0
		node.overload.uncertainty = 0
		arrival := g.arrival(client)
		arrival.MidFlow = midFlow
		if _, place := node.arrive(1, arrival); place != int(hash64(arrival.ClientKey)%groupServers) {
			t.Errorf("client %d, mid-flow %v: sent to place %d without overload, want its primary", client, midFlow, place)
		}
	}
}

// After an upgrade a mid-flow connection is looked for at the server that the predecessor named. At any other server it would
// be reset: neither the client's primary nor a home of its group may come first while that server can be used.
func TestMidFlowConnectionGoesToNamedServer(t *testing.T) {
	const primary, named, servers = 2, 6, 9
	for _, c := range []struct {
		name    string
		arrival Arrival
		state   EndpointState // of the named server
		want    int           // none for any but the named one
	}{
		{"named", Arrival{MidFlow: true, MidFlowServer: 1}, Ready, named},
		{"named, with a group", Arrival{MidFlow: true, MidFlowServer: 1, GroupKey: 77}, Ready, named},
		{"not named", Arrival{MidFlow: true}, Ready, primary},
		{"named, but not mid-flow", Arrival{MidFlowServer: 1}, Ready, primary},
		{"named, but no longer listed", Arrival{MidFlow: true, MidFlowServer: 1}, Removed, none},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBalancer(servers, nil)
			if c.state != Ready {
				b.changeState(named, c.state)
			}
			c.arrival.ClientKey = clientKeyFor(primary, servers)
			if c.arrival.MidFlowServer > 0 {
				c.arrival.MidFlowServer = 1 + b.serverIndex(named)
			}
			decision, at := b.arrive(0, c.arrival)
			if decision.Action != Connect || at != c.want && (c.want != none || at == named) {
				t.Errorf("decision %+v at place %d, want an attempt at place %d", decision, at, c.want)
			}
		})
	}
}
