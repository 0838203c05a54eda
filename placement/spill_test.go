package placement

import "testing"

// pathCase is one flow among five servers, and the place of the server to which it is sent.
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
	{"another server draining: the same primary", func(b *testBalancer) {
		b.changeState(0, Draining)
	}, Arrival{ClientKey: pathKey}, 2},
	{"primary over the spill limit of two: next by id", func(b *testBalancer) {
		b.restoreFlows(2, 3)
	}, Arrival{ClientKey: pathKey}, 3},
	{"primary at the spill limit of two: primary", func(b *testBalancer) {
		b.restoreFlows(2, 2)
	}, Arrival{ClientKey: pathKey}, 2},
	{"primary has no capacity under its load threshold: next by id", func(b *testBalancer) {
		b.serverAt(2).threshold.load = 0
	}, Arrival{ClientKey: pathKey}, 3},
	{"no client key: primary by the group key", nil, Arrival{GroupKey: pathKey}, 2},
	{"mid-flow does not spill", func(b *testBalancer) {
		b.restoreFlows(2, 9)
	}, Arrival{ClientKey: pathKey, MidFlow: true}, 2},
	{"mid-flow ignores the load threshold", func(b *testBalancer) {
		b.serverAt(2).threshold.load = 0
	}, Arrival{ClientKey: pathKey, MidFlow: true}, 2},
}

var homeCases = []pathCase{
	{"group, primary over the spill limit: the group's home", func(b *testBalancer) {
		b.restoreFlows(2, 3)
	}, Arrival{ClientKey: pathKey, GroupKey: groupKeyFor(5, 0)}, 0},
	{"returning after a lost connection: the group's home", nil,
		Arrival{ClientKey: pathKey, GroupKey: groupKeyFor(5, 4), Returning: true}, 4},
	{"overload: the group's home at once", func(b *testBalancer) {
		b.overload.level = 1
	}, Arrival{ClientKey: pathKey, GroupKey: groupKeyFor(5, 4)}, 4},
	{"overload, uncertain node with one flow at the home: the second home", func(b *testBalancer) {
		b.overload.level = 1
		b.overload.uncertainty = 0.5
		b.restoreFlows(4, 1)
	}, Arrival{ClientKey: pathKey, GroupKey: groupKeyFor(5, 4, 1)}, 1},
	{"overload, uncertain node, the first two homes full: the third home", func(b *testBalancer) {
		b.overload.level = 1
		b.overload.uncertainty = 0.5
		b.serverAt(4).threshold.load = 0
		b.serverAt(1).threshold.load = 0
	}, Arrival{ClientKey: pathKey, GroupKey: groupKeyFor(5, 4, 1, 3)}, 3},
	{"overload, many connections, the home full: from the home on by id", func(b *testBalancer) {
		b.overload.level = 1
		b.overload.uncertainty = 0
		b.serverAt(4).threshold.load = 0
		b.serverAt(0).threshold.load = 0
	}, Arrival{ClientKey: pathKey, GroupKey: groupKeyFor(5, 4, 3)}, 1},
	{"no overload: the primary, also in a group", nil,
		Arrival{ClientKey: pathKey, GroupKey: groupKeyFor(5, 4)}, 2},
	{"mid-flow, no overload: the primary, which most likely has the connection", nil,
		Arrival{ClientKey: pathKey, GroupKey: groupKeyFor(5, 4), MidFlow: true}, 2},
	{"mid-flow, overload: the group's home", func(b *testBalancer) {
		b.overload.level = 1
	}, Arrival{ClientKey: pathKey, GroupKey: groupKeyFor(5, 4), MidFlow: true}, 4},
}

var rejectedCases = []pathCase{
	{"all servers draining", func(b *testBalancer) {
		for place := range 5 {
			b.changeState(place, Draining)
		}
	}, Arrival{ClientKey: pathKey}, none},
	{"empty endpoint list", func(b *testBalancer) {
		b.UpdateEndpoints(b.now, ListFull, nil)
	}, Arrival{ClientKey: pathKey}, none},
	{"no attempt allowed", func(b *testBalancer) {
		b.MaxAttempts = 0
	}, Arrival{ClientKey: pathKey}, none},
	{"no time left for an attempt", nil, Arrival{ClientKey: pathKey, Timeout: 0.003}, none},
}

// Nodes agree on the server of a flow, without communication, only if each follows the same path: the primary, then the next
// servers by id, or the homes of the flow's group. A flow without a usable server or time for an attempt gets a Reject.
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
