package scale

import (
	"context"
	"math"
	"time"

	"gorseledge/internal/fleet/view"
)

// sample holds the usage and the traffic of all processes up to one time.
type sample struct {
	at            time.Time
	hollowSeconds float64 // running time in seconds, summed over all hollow nodes
	hollowNodes   int
	hollow        []hollowSample
	hollowTraffic []view.Traffic
	suspicions    int                // number of changes to suspect in hollow nodes' views
	real          map[int]realSample // by process ID
	servers       map[int]usage      // usage of control servers, by process ID
}

type hollowSample struct {
	usage
	nodes int
}

type realSample struct {
	usage
	traffic []view.Traffic
}

// sample reads the usage and the traffic of all processes. It omits control servers that have ended, and real nodes
// that have ended or do not answer.
func (r *run) sample(ctx context.Context) (s sample, err error) {
	replies, err := r.hollows.requestAll(request{Kind: requestReport})
	if err != nil {
		return s, err
	}
	s = sample{real: map[int]realSample{}}
	for i, pid := range r.hollows.pids() {
		u, err := usageOf(pid)
		if err != nil {
			return s, err
		}
		s.hollow = append(s.hollow, hollowSample{u, replies[i].Report.Nodes})
		s.hollowNodes += replies[i].Report.Nodes
		s.suspicions += replies[i].Report.Detections.Suspicions
		s.hollowTraffic = addTraffic(s.hollowTraffic, replies[i].Report.Traffic)
	}
	s.at, s.hollowSeconds = time.Now(), r.running.seconds(time.Now())
	s.servers = map[int]usage{}
	for _, pid := range r.controls.pids() {
		if u, err := usageOf(pid); err == nil {
			s.servers[pid] = u
		}
	}
	configs := r.reals.configs(ctx)
	for i, v := range r.reals.views(ctx) {
		if c, known := configs[i]; known {
			v.Traffic = addTraffic(v.Traffic, controlTraffic(&c))
		}
		pid := r.reals.nodes[i].node.PID()
		if u, err := usageOf(pid); err == nil {
			s.real[pid] = realSample{u, v.Traffic}
		}
	}
	return s, ctx.Err()
}

// running sums the running time of hollow nodes.
type running struct {
	nodes int
	since time.Time // time of the last change of nodes
	sum   float64   // seconds up to since
}

// add changes the number of running nodes; nodes is negative when nodes end.
func (r *running) add(nodes int) {
	now := time.Now()
	r.sum, r.since = r.seconds(now), now
	r.nodes += nodes
}

func (r *running) seconds(now time.Time) float64 {
	if r.nodes == 0 {
		return r.sum
	}
	return r.sum + float64(r.nodes)*now.Sub(r.since).Seconds()
}

// costs are the mean costs of one node of a kind in a phase.
type costs struct {
	nodes      int
	cpu        float64 // fraction of a core
	memory     float64 // resident bytes
	traffic    map[string]rate
	suspicions float64 // suspicions per second; of hollow nodes only
	slope      float64 // bytes that one more hollow node adds to its process; 0 if unknown
	base       float64 // bytes of a hollow process without a node
}

// rate is messages and bytes per second.
type rate struct{ sentMessages, sentBytes, receivedMessages, receivedBytes float64 }

func (a rate) plus(b rate) rate {
	return rate{a.sentMessages + b.sentMessages, a.sentBytes + b.sentBytes, a.receivedMessages + b.receivedMessages,
		a.receivedBytes + b.receivedBytes}
}

// total returns the sum over all kinds of traffic.
func (c costs) total() (sum rate) {
	for _, x := range c.traffic {
		sum = sum.plus(x)
	}
	return sum
}

// memberTraffic returns the sum over the kinds of traffic between members, which are all but control traffic.
func (c costs) memberTraffic() (sum rate) {
	for kind, x := range c.traffic {
		if kind != controlKind {
			sum = sum.plus(x)
		}
	}
	return sum
}

// addRates adds, to the rates in to, the traffic between two samples divided by seconds.
func addRates(to map[string]rate, before, after []view.Traffic, seconds float64) {
	for _, t := range after {
		for _, was := range before {
			if was.Kind == t.Kind {
				t.SentMessages -= was.SentMessages
				t.SentBytes -= was.SentBytes
				t.ReceivedMessages -= was.ReceivedMessages
				t.ReceivedBytes -= was.ReceivedBytes
			}
		}
		to[t.Kind] = to[t.Kind].plus(rate{float64(t.SentMessages) / seconds, float64(t.SentBytes) / seconds,
			float64(t.ReceivedMessages) / seconds, float64(t.ReceivedBytes) / seconds})
	}
}

// hollowCosts returns the mean cost of a hollow node between two samples.
func hollowCosts(before, after sample) costs {
	c := costs{nodes: after.hollowNodes, traffic: map[string]rate{}}
	spent := after.hollowSeconds - before.hollowSeconds
	var memory float64
	var nodes, resident []float64
	for i, h := range after.hollow {
		c.cpu += (h.cpu - before.hollow[i].cpu) / spent
		memory += h.memory
		nodes, resident = append(nodes, float64(h.nodes)), append(resident, h.memory)
	}
	c.memory = memory / float64(max(after.hollowNodes, 1))
	if f := fitLine(nodes, resident); f.Points >= 3 && !math.IsNaN(f.Slope) {
		c.slope, c.base = f.Slope, f.Base
	}
	c.suspicions = float64(after.suspicions-before.suspicions) / spent
	addRates(c.traffic, before.hollowTraffic, after.hollowTraffic, spent)
	return c
}

// realCosts returns the mean cost of a real node between two samples. It includes only processes that occur in both samples.
func realCosts(before, after sample) costs {
	c := costs{traffic: map[string]rate{}}
	for pid := range after.real {
		if _, ran := before.real[pid]; ran {
			c.nodes++
		}
	}
	seconds := after.at.Sub(before.at).Seconds() * float64(c.nodes)
	for pid, now := range after.real {
		if was, ran := before.real[pid]; ran {
			c.cpu += (now.cpu - was.cpu) / seconds
			c.memory += now.memory / float64(c.nodes)
			addRates(c.traffic, was.traffic, now.traffic, seconds)
		}
	}
	return c
}

// serverCosts returns the mean cost of a control server between two samples. It includes only processes that occur in both
// samples. The traffic is derived from the counts of the nodes' followers, so it does not include the traffic between servers.
func serverCosts(before, after sample, hollow, real costs) costs {
	c := costs{traffic: map[string]rate{}}
	for pid := range after.servers {
		if _, ran := before.servers[pid]; ran {
			c.nodes++
		}
	}
	if c.nodes == 0 {
		return c
	}
	for pid, now := range after.servers {
		if was, ran := before.servers[pid]; ran {
			c.cpu += (now.cpu - was.cpu) / after.at.Sub(before.at).Seconds() / float64(c.nodes)
			c.memory += now.memory / float64(c.nodes)
		}
	}
	for _, of := range []costs{hollow, real} {
		t, nodes := of.traffic[controlKind], float64(of.nodes)/float64(c.nodes)
		c.traffic[controlKind] = c.traffic[controlKind].plus(rate{t.receivedMessages * nodes, t.receivedBytes * nodes,
			t.sentMessages * nodes, t.sentBytes * nodes})
	}
	return c
}
