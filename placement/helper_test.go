package placement

import "slices"

// fixture is a balancer with n ready servers whose ids are 100, 101, ... and whose indices run the other way.
type fixture struct {
	*Balancer
	now float64
}

func newFixture(n int, tune func(*Settings)) *fixture {
	r := Settings{Seed: 7, Nodes: 2, Tick: 0.002, MaxAttempts: 3, HealthChecks: true, MaxRetryAfter: 2, SlowStartShare: 0.2,
		SlowStartTime: 10, OverloadMultiple: 3, OverloadWindow: 2, ServiceTypes: []ServiceType{
			{Idempotency: Idempotent, SetupObjective: 0.3, MessageObjective: 0.1}}}
	if tune != nil {
		tune(&r)
	}
	g := &fixture{New(r), 1000}
	g.overload.level, g.overload.uncertainty = 0, 0 // as after some quiet minutes, with many connections
	var list []Endpoint
	for i := range n {
		list = append(list, g.endpoint(i, Ready))
	}
	g.UpdateEndpoints(g.now, ListFull, list)
	g.decisions()
	return g
}

// endpoint lists the server that is i-th by id.
func (g *fixture) endpoint(i int, st EndpointState) Endpoint {
	return Endpoint{Server: g.serverIndex(i), ID: uint32(100 + i), State: st, Zone: i % 2, Cell: i / 2}
}

// serverIndex is the door's index of the server that is i-th by id.
func (g *fixture) serverIndex(i int) int {
	if i > 20 {
		return i
	}
	return 20 - i
}

// decisions returns the decisions of now, without wakes and log lines.
func (g *fixture) decisions() (out []Decision) {
	for {
		d, ok := g.Next(g.now)
		if !ok {
			return out
		}
		if d.Action != Wake && d.Action != Log {
			out = append(out, d)
		}
	}
}

// arrive brings a flow and returns what was decided for it and, for a connect, the place by id.
func (g *fixture) arrive(id int, a Arrival) (Decision, int) {
	if a.Timeout == 0 {
		a.Timeout = 3
	}
	g.AddFlow(g.now, id, a)
	for _, d := range g.decisions() {
		if d.Flow == id && d.Action <= Abort {
			return d, g.serverIndex(d.Server)
		}
	}
	return Decision{Action: Log}, -1
}

// establish establishes n connections with the keys that follow from.
func (g *fixture) establish(from, n int) {
	for id := from; id < from+n; id++ {
		if d, _ := g.arrive(id, Arrival{ClientKey: uint64(id + 1)}); d.Action == Connect {
			g.Established(id, 0)
		}
	}
}

// advance lets time go by in steps of the housekeeping and collects what was decided.
func (g *fixture) advance(seconds float64) (out []Decision) {
	for end := g.now + seconds; g.now < end; {
		g.now += housekeepingInterval
		g.Woken(g.now)
		out = append(out, g.decisions()...)
	}
	return out
}

// keyFor finds a client key whose primary among n is the one at place.
func keyFor(place, n int) uint64 {
	for key := uint64(1); ; key++ {
		if int(hash64(key)%uint64(n)) == place {
			return key
		}
	}
}

// groupFor finds a group whose first home among n servers is the one at place, and whose further ones follow.
func groupFor(place, n int, further ...int) uint64 {
	g := newFixture(n, nil)
	want := append([]int{place}, further...)
	for group := uint64(1); ; group++ {
		if slices.Equal(g.homes(group, len(want)), want) {
			return group
		}
	}
}

// homes gives a group's first homes by their places.
func (g *fixture) homes(group uint64, n int) (out []int) {
	g.updateUsable(g.now, false)
	for after := -1.0; len(out) < n; {
		place, draw := g.nextHome(hash64(group), after)
		out, after = append(out, place), draw
	}
	return out
}
