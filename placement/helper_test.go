package placement

import (
	"slices"
	"testing"
)

// testStart is the time in seconds at which the clock of a testBalancer starts.
const testStart = 1000

// testBalancer is a balancer with a clock, now, and with ready servers whose ids are 100, 101 and so on. Tests identify a
// server by its place, which is its position by id from 0 on. The indices of the servers are in another order than their
// places, so that a test fails if the balancer confuses the two.
type testBalancer struct {
	*Balancer
	now float64
}

// newTestBalancer returns a balancer that is one of two nodes. Its overload level and uncertainty are 0, as after some
// minutes without overload and with many connections.
func newTestBalancer(servers int, change func(*Settings)) *testBalancer {
	settings := Settings{
		Seed:              7,
		Nodes:             2,
		Tick:              0.002,
		MaxAttempts:       3,
		HealthChecks:      true,
		MaxRetryAfter:     2,
		SlowStartFraction: 0.2,
		SlowStartTime:     10,
		OverloadMultiple:  3,
		OverloadWindow:    2,
		ServiceTypes:      []ServiceType{{Idempotency: Idempotent, SetupObjective: 0.3, MessageObjective: 0.1}},
	}
	if change != nil {
		change(&settings)
	}
	b := &testBalancer{Balancer: New(settings), now: testStart}
	b.overload.level = 0
	b.overload.uncertainty = 0
	b.UpdateEndpoints(b.now, ListFull, b.readyEndpoints(servers))
	b.decisions()
	return b
}

// endpoint returns the list entry of the server at a place.
func (b *testBalancer) endpoint(place int, state EndpointState) Endpoint {
	return Endpoint{Server: b.serverIndex(place), ID: uint32(100 + place), State: state, Zone: place % 2, Cell: place / 2}
}

// readyEndpoints returns the list entries of the servers at the first places.
func (b *testBalancer) readyEndpoints(servers int) []Endpoint {
	var list []Endpoint
	for place := range servers {
		list = append(list, b.endpoint(place, Ready))
	}
	return list
}

// changeState reports a change of one server's state in the endpoint list. Its start time is long ago.
func (b *testBalancer) changeState(place int, state EndpointState) {
	b.UpdateEndpoints(b.now, ListChanges, []Endpoint{b.endpoint(place, state)})
}

// restartServer reports a change of one server's start time in the endpoint list.
func (b *testBalancer) restartServer(place int, startedAt float64) {
	b.listStarted(place, Ready, startedAt)
}

// listStarted reports a change of one server's state and start time in the endpoint list.
func (b *testBalancer) listStarted(place int, state EndpointState, startedAt float64) {
	item := b.endpoint(place, state)
	item.StartedAt = startedAt
	b.UpdateEndpoints(b.now, ListChanges, []Endpoint{item})
}

// serverIndex returns the host's index of the server at a place.
func (b *testBalancer) serverIndex(place int) int {
	if place > 20 {
		return place
	}
	return 20 - place
}

// serverAt returns the state of the server at a place.
func (b *testBalancer) serverAt(place int) *server {
	return b.server(b.serverIndex(place))
}

// ejectedServers returns how many servers are ejected.
func (b *testBalancer) ejectedServers() int {
	ejected := 0
	for i := range b.servers {
		if b.servers[i].outlier.ejected {
			ejected++
		}
	}
	return ejected
}

// decisions returns all decisions at the current time except Wake and Log.
func (b *testBalancer) decisions() []Decision {
	var decisions []Decision
	for {
		decision, ok := b.Next(b.now)
		if !ok {
			return decisions
		}
		if decision.Action != Wake && decision.Action != Log {
			decisions = append(decisions, decision)
		}
	}
}

// arrive adds a flow and returns the decision for it and, for a Connect, the server's place. If there is no decision, it
// returns one with the action Log.
func (b *testBalancer) arrive(id int, arrival Arrival) (Decision, int) {
	if arrival.Timeout == 0 {
		arrival.Timeout = 3
	}
	b.AddFlow(b.now, id, arrival)
	for _, decision := range b.decisions() {
		if decision.Flow == id && decision.Action <= Abort {
			return decision, b.serverIndex(decision.Server)
		}
	}
	return Decision{Action: Log}, none
}

// connectsTo reports whether a flow that arrives is sent to the server at a place.
func (b *testBalancer) connectsTo(place, id int, arrival Arrival) bool {
	decision, at := b.arrive(id, arrival)
	return decision.Action == Connect && at == place
}

// establish adds flows with indices from first on and establishes those that are sent to a server.
func (b *testBalancer) establish(first, count int) {
	for id := first; id < first+count; id++ {
		decision, _ := b.arrive(id, Arrival{ClientKey: uint64(id + 1)})
		if decision.Action == Connect {
			b.Established(id, 0)
		}
	}
}

// restoreFlows restores connections to the server at a place, with flow indices from 900 on.
func (b *testBalancer) restoreFlows(place, count int) {
	for i := range count {
		b.RestoreFlow(b.now, 900+i, Arrival{ClientKey: 1}, b.serverIndex(place))
	}
}

// advance moves the clock forward in housekeeping intervals and returns the decisions during that time.
func (b *testBalancer) advance(seconds float64) []Decision {
	var decisions []Decision
	end := b.now + seconds
	for b.now < end {
		b.now += housekeepingInterval
		b.Woken(b.now)
		decisions = append(decisions, b.decisions()...)
	}
	return decisions
}

// homes returns the places of a group's first homes.
func (b *testBalancer) homes(group uint64, count int) []int {
	b.updateUsable(b.now, false)
	var homes []int
	after := belowFirstRank
	for len(homes) < count {
		place, rank := b.nextHome(hash64(group), after)
		homes = append(homes, place)
		after = rank
	}
	return homes
}

// countActions returns how many decisions have an action.
func countActions(decisions []Decision, action Action) int {
	count := 0
	for _, decision := range decisions {
		if decision.Action == action {
			count++
		}
	}
	return count
}

// clientKeyFor returns a client key whose primary among some servers is the one at a place.
func clientKeyFor(place, servers int) uint64 {
	for key := uint64(1); ; key++ {
		if int(hash64(key)%uint64(servers)) == place {
			return key
		}
	}
}

// groupKeyFor returns a group key whose first homes among some servers are those at the places.
func groupKeyFor(servers int, places ...int) uint64 {
	b := newTestBalancer(servers, nil)
	for group := uint64(1); ; group++ {
		if slices.Equal(b.homes(group, len(places)), places) {
			return group
		}
	}
}

// loadOnly is a load report without a round trip, and roundTripOnly one without a load.
func loadOnly(load float64) LoadReport {
	return LoadReport{Load: load}
}

func roundTripOnly(seconds float64) LoadReport {
	return LoadReport{Load: -1, RoundTrip: seconds}
}

// requireReject fails the test unless a decision is a Reject with a Retry-After.
func requireReject(t *testing.T, decision Decision) {
	t.Helper()
	if decision.Action != Reject || decision.Seconds <= 0 {
		t.Fatalf("got %+v, want a Reject with a Retry-After", decision)
	}
}
