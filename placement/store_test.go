package placement

import (
	"math"
	"testing"
)

// One of many nodes that holds next to nothing waits a connect out and, once it sees failures at several servers, sends
// no further one. Guards against 30 to 50 connects a flow on the fleet days (herd, zone, roll), most of them given
// up while they still stood in the queue of a store that all hosts share.
func TestTimeouts(t *testing.T) {
	for _, c := range []struct {
		name  string
		nodes int
		blind float64
		gate  float64
		how   Outcome // of the first connect
		wait  float64 // of the first, of 3 s
		then  float64 // of the second, 0.5 s later; 0 for none
	}{
		{"a node of many connections", 300, 0.2, math.Inf(1), TimedOut, 1.5, 1.25},
		{"and failures at many servers", 300, 0.2, 3, Failed, 1.5, 1.25},
		{"one of few that holds nothing yet", 3, 1, math.Inf(1), TimedOut, 1.5, 1.25},
		{"one of many that holds next to nothing", 300, 0.9, math.Inf(1), TimedOut, 3, 2.5},
		{"and a first that reached nothing", 300, 0.9, math.Inf(1), ConnectFailed, 3, 2.5},
		{"and failures at many servers", 300, 0.9, 3, Failed, 3, 0},
	} {
		g := newFixture(9, func(r *Settings) { r.Nodes, r.Tick = c.nodes, 0 })
		g.overload.uncertainty, g.concurrency.limit, g.concurrency.loweredAt = c.blind, c.gate, g.now
		d, _ := g.arrive(1, Arrival{ClientKey: 1})
		if d.Action != Connect || math.Abs(d.Seconds-c.wait) > 1e-6 {
			t.Errorf("%s: %+v, wanted a connect of %g s", c.name, d, c.wait)
			continue
		}
		g.now += 0.5
		g.AttemptEnded(g.now, 1, 0, c.how, false)
		d = Decision{Action: Log}
		for _, d = range g.decisions() {
			if d.Flow == 1 {
				break
			}
		}
		switch {
		case c.then == 0 && d.Action != Reject:
			t.Errorf("%s: then %+v, wanted a reject at once", c.name, d)
		case c.then > 0 && (d.Action != Connect || math.Abs(d.Seconds-c.then) > 1e-6):
			t.Errorf("%s: then %+v, wanted a connect of %g s", c.name, d, c.then)
		}
	}
}

// A store that all hosts share works through set-ups in turn, also those that were given up meanwhile, and turns
// away what finds its queue full. The clients of many nodes come to it at once and come again when they are told
// no: they are served as it works, in little more than one connect each.
func TestSharedStore(t *testing.T) {
	const nodes, each, pace, room, step = 60, 5, 100.0, 220, 0.01
	type ask struct {
		node, flow, try int
		until           float64
	}
	type client struct {
		at   float64 // comes (again) then
		gone bool
	}
	balancers, clients := make([]*fixture, nodes), make([][each]client, nodes)
	for i := range balancers {
		balancers[i] = newFixture(20, func(r *Settings) { r.Seed, r.Nodes, r.MaxAttempts = uint64(i), nodes, 5 })
		balancers[i].overload.uncertainty = 1
	}
	var queue []ask
	var connects, established int
	work := 0.0
	for now := 1000.0; now < 1012; now += step {
		for i, g := range balancers {
			g.now = now
			for k := range clients[i] {
				if c := &clients[i][k]; !c.gone && c.at <= now {
					c.at = math.Inf(1)
					g.AddFlow(now, k, Arrival{ClientKey: uint64(i*each + k + 1), Timeout: 2, Returning: true})
				}
			}
			if math.Mod(now, housekeepingInterval) < step {
				g.Woken(now)
			}
			for {
				d, ok := g.Next(now)
				if !ok {
					break
				}
				switch d.Action {
				case Connect:
					connects++
					try := g.flows[d.Flow].attempts - 1
					if len(queue) >= room {
						g.AttemptEnded(now, d.Flow, try, Failed, false)
						continue
					}
					queue = append(queue, ask{i, d.Flow, try, now + d.Seconds})
				case Reject, Abort:
					clients[i][d.Flow].at = now + 0.05
				}
			}
		}
		for _, q := range queue {
			g := balancers[q.node]
			if f := &g.flows[q.flow]; now >= q.until && f.inFlight && !f.established && f.attempts-1 == q.try {
				g.AttemptEnded(now, q.flow, q.try, TimedOut, false)
			}
		}
		for work += pace * step; work >= 1 && len(queue) > 0; work-- {
			q := queue[0]
			queue = queue[1:]
			g := balancers[q.node]
			if f := &g.flows[q.flow]; f.inFlight && !f.established && f.attempts-1 == q.try {
				g.Established(q.flow, q.try)
				clients[q.node][q.flow].gone = true
				established++
			}
		}
		work = min(work, 1)
	}
	if established < nodes*each || connects > 4*nodes*each {
		t.Errorf("%d of %d established, %d connects", established, nodes*each, connects)
	}
}
