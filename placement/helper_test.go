package placement

import "slices"

// rig is a balancer with n ready servers whose ids are 100, 101, ... and whose indices run the other way.
type rig struct {
	*Balancer
	now float64
}

func newRig(n int, tune func(*Settings)) *rig {
	r := Settings{Seed: 7, Nodes: 2, Tick: 0.002, MaxAttempts: 3, HealthChecks: true, MaxRetryAfter: 2, SlowStartShare: 0.2,
		SlowStartTime: 10, OverloadMultiple: 3, OverloadWindow: 2, ServiceTypes: []ServiceType{
			{Idempotency: Idempotent, SetupObjective: 0.3, MessageObjective: 0.1}}}
	if tune != nil {
		tune(&r)
	}
	g := &rig{New(r), 1000}
	g.strain, g.blind = 0, 0 // as after some quiet minutes, with many connections
	var list []Endpoint
	for i := range n {
		list = append(list, g.entry(i, Ready))
	}
	g.UpdateEndpoints(g.now, ListFull, list)
	g.pull()
	return g
}

// entry lists the server that is i-th by id.
func (g *rig) entry(i int, st EndpointState) Endpoint {
	return Endpoint{Server: g.index(i), ID: uint32(100 + i), State: st, Zone: i % 2, Cell: i / 2}
}

// index is the door's index of the server that is i-th by id.
func (g *rig) index(i int) int {
	if i > 20 {
		return i
	}
	return 20 - i
}

// pull returns the decisions of now, without wakes and log lines.
func (g *rig) pull() (out []Decision) {
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
func (g *rig) arrive(id int, a Arrival) (Decision, int) {
	if a.Timeout == 0 {
		a.Timeout = 3
	}
	g.AddFlow(g.now, id, a)
	for _, d := range g.pull() {
		if d.Flow == id && d.Action <= Abort {
			return d, g.index(d.Server)
		}
	}
	return Decision{Action: Log}, -1
}

// fill establishes n connections with the keys that follow from.
func (g *rig) fill(from, n int) {
	for id := from; id < from+n; id++ {
		if d, _ := g.arrive(id, Arrival{ClientKey: uint64(id + 1)}); d.Action == Connect {
			g.Established(id, 0)
		}
	}
}

// pass lets time go by in steps of the housekeeping and collects what was decided.
func (g *rig) pass(seconds float64) (out []Decision) {
	for end := g.now + seconds; g.now < end; {
		g.now += beat
		g.Woken(g.now)
		out = append(out, g.pull()...)
	}
	return out
}

// keyFor finds a client key whose primary among n is the one at place.
func keyFor(place, n int) uint64 {
	for key := uint64(1); ; key++ {
		if int(mix(key)%uint64(n)) == place {
			return key
		}
	}
}

// groupFor finds a group whose first home among n servers is the one at place, and whose further ones follow.
func groupFor(place, n int, further ...int) uint64 {
	g := newRig(n, nil)
	want := append([]int{place}, further...)
	for group := uint64(1); ; group++ {
		if slices.Equal(g.homes(group, len(want)), want) {
			return group
		}
	}
}

// homes gives a group's first homes by their places.
func (g *rig) homes(group uint64, n int) (out []int) {
	g.survey(g.now, false)
	for after := -1.0; len(out) < n; {
		place, draw := g.homeOf(mix(group), after)
		out, after = append(out, place), draw
	}
	return out
}
