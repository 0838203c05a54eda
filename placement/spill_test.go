package placement

import "testing"

// pathCase is one flow among five servers, and the place of the server where it is attempted.
type pathCase struct {
	name    string
	setup   func(*testBalancer)
	arrival Arrival
	want    int // none for a Reject
}

// pathKey is a client key whose primary among five servers is at place 2.
var pathKey = clientKeyFor(2, 5)

var primaryCases = []pathCase{
	{"primary", nil, Arrival{ClientKey: pathKey}, 2},
	{"draining primary: its keys are spread over the usable servers", func(b *testBalancer) {
		b.changeState(2, Draining)
	}, Arrival{ClientKey: pathKey}, []int{0, 1, 3, 4}[hash64(pathKey)%4]},
	{"another server draining: the primary stays", func(b *testBalancer) {
		b.changeState(0, Draining)
	}, Arrival{ClientKey: pathKey}, 2},
	{"over the limit of two: next by id", func(b *testBalancer) {
		b.restoreFlows(2, 3)
	}, Arrival{ClientKey: pathKey}, 3},
	{"at the limit of two: primary", func(b *testBalancer) {
		b.restoreFlows(2, 2)
	}, Arrival{ClientKey: pathKey}, 2},
	{"without capacity under its load threshold: next by id", func(b *testBalancer) {
		b.serverAt(2).threshold.load = 0
	}, Arrival{ClientKey: pathKey}, 3},
	{"without a client key the group decides", nil, Arrival{GroupKey: pathKey}, 2},
	{"mid-flow does not spill", func(b *testBalancer) {
		b.restoreFlows(2, 9)
	}, Arrival{ClientKey: pathKey, MidFlow: true}, 2},
	{"mid-flow does not heed the load threshold", func(b *testBalancer) {
		b.serverAt(2).threshold.load = 0
	}, Arrival{ClientKey: pathKey, MidFlow: true}, 2},
}

var homeCases = []pathCase{
	{"over the limit, in a group: the group's home", func(b *testBalancer) {
		b.restoreFlows(2, 3)
	}, Arrival{ClientKey: pathKey, GroupKey: groupKeyFor(5, 0)}, 0},
	{"returning after a lost connection: the group's home", nil,
		Arrival{ClientKey: pathKey, GroupKey: groupKeyFor(5, 4), Returning: true}, 4},
	{"overload seen: the group's home at once", func(b *testBalancer) {
		b.overload.level = 1
	}, Arrival{ClientKey: pathKey, GroupKey: groupKeyFor(5, 4)}, 4},
	{"overload seen, an uncertain node has one flow at the home: the second home", func(b *testBalancer) {
		b.overload.level = 1
		b.overload.uncertainty = 0.5
		b.restoreFlows(4, 1)
	}, Arrival{ClientKey: pathKey, GroupKey: groupKeyFor(5, 4, 1)}, 1},
	{"the group's first two homes are full: the third, whatever the ids", func(b *testBalancer) {
		b.overload.level = 1
		b.overload.uncertainty = 0.5
		b.serverAt(4).threshold.load = 0
		b.serverAt(1).threshold.load = 0
	}, Arrival{ClientKey: pathKey, GroupKey: groupKeyFor(5, 4, 1, 3)}, 3},
	{"the same at a node with many connections: the first home, then by id", func(b *testBalancer) {
		b.overload.level = 1
		b.overload.uncertainty = 0
		b.serverAt(4).threshold.load = 0
		b.serverAt(0).threshold.load = 0
	}, Arrival{ClientKey: pathKey, GroupKey: groupKeyFor(5, 4, 3)}, 1},
	{"quiet for long: the primary, with or without a group", nil,
		Arrival{ClientKey: pathKey, GroupKey: groupKeyFor(5, 4)}, 2},
	{"mid-flow, quiet for long: the primary, where it most likely is", nil,
		Arrival{ClientKey: pathKey, GroupKey: groupKeyFor(5, 4), MidFlow: true}, 2},
	{"mid-flow, overload seen: its group's home", func(b *testBalancer) {
		b.overload.level = 1
	}, Arrival{ClientKey: pathKey, GroupKey: groupKeyFor(5, 4), MidFlow: true}, 4},
}

var rejectedCases = []pathCase{
	{"all draining", func(b *testBalancer) {
		for place := range 5 {
			b.changeState(place, Draining)
		}
	}, Arrival{ClientKey: pathKey}, none},
	{"empty list", func(b *testBalancer) {
		b.UpdateEndpoints(b.now, ListFull, nil)
	}, Arrival{ClientKey: pathKey}, none},
	{"no attempt allowed", func(b *testBalancer) {
		b.MaxAttempts = 0
	}, Arrival{ClientKey: pathKey}, none},
	{"too late for an attempt", nil, Arrival{ClientKey: pathKey, Timeout: 0.003}, none},
}

func TestFlowIsSentAlongItsPath(t *testing.T) {
	for _, cases := range [][]pathCase{primaryCases, homeCases, rejectedCases} {
		for _, c := range cases {
			t.Run(c.name, func(t *testing.T) {
				b := newTestBalancer(5, nil)
				if c.setup != nil {
					c.setup(b)
				}
				decision, place := b.arrive(0, c.arrival)
				if c.want == none {
					requireReject(t, decision)
					return
				}
				if decision.Action != Connect || place != c.want {
					t.Fatalf("got %+v at place %d, want place %d", decision, place, c.want)
				}
			})
		}
	}
}
