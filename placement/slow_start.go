package placement

import (
	"cmp"
	"math"
)

// reentryTime is the time in seconds within which a flow enters a server that was enabled again. Five are allowed.
const reentryTime = 2.0

// slowStartWindow counts the attempts at a server in slow start within one overload window.
type slowStartWindow struct {
	attempts float64
	startAt  float64
}

// slowStartWeight returns the share of its capacity, from the settings' share to 1, that a server has by now at the
// least.
func (b *Balancer) slowStartWeight(now float64, s *server) float64 {
	startedAt := max(s.StartedAt, s.admin.changedAt)
	if startedAt <= 0 || b.SlowStartTime <= 0 || now-startedAt >= b.SlowStartTime {
		return 1
	}
	return b.SlowStartShare + (1-b.SlowStartShare)*max(now-startedAt, 0)/b.SlowStartTime
}

// slowStartShare returns the chance of one attempt in a window that a node has at a server at the least: all nodes'
// part is the overload multiple of the server's even share. Beyond the first step of a path it counts half of the
// base list as usable at the least. This protects a server in slow start that is the last usable one.
func (b *Balancer) slowStartShare(weight float64, step int) float64 {
	usable := float64(len(b.usable))
	if step == 0 {
		return weight * min(1, b.OverloadMultiple/2*usable/float64(len(b.base)))
	}
	return weight * min(1, b.OverloadMultiple/2/max(usable, float64(len(b.base))/2))
}

// withinSlowStartBudget reports whether this node may send one more attempt to a server in the current window. The
// budget of all nodes is what the connections of a server with its whole capacity, spread over the slow-start time,
// come to in the window, times the server's weight and half of the overload multiple: a window of the server's own
// may overlap two of these. A node whose process began in the window has no budget there, and none after its
// handover, as another process of the node may have used it.
func (b *Balancer) withinSlowStartBudget(now float64, s *server, weight, meanInFlight, leastShare float64) bool {
	s.slowStart.advance(now, cmp.Or(b.OverloadWindow, 1))
	if weight >= 1 {
		return true
	}
	if b.handedOver || s.slowStart.startAt <= b.StartedAt {
		return false
	}
	connections := max(meanInFlight, b.quotaPerServer)
	budget := max(leastShare, 1/float64(b.Nodes),
		weight*connections*b.OverloadMultiple/2*b.OverloadWindow/b.SlowStartTime)
	return s.slowStart.attempts+1 <= budget+b.budgetDraw(s)/float64(b.Nodes)
}

// advance begins the window of the current time where it is another one. Windows begin at the multiples of their
// length, and thus at the same time at all nodes.
func (w *slowStartWindow) advance(now, length float64) {
	startAt := math.Floor(now/length) * length
	if startAt != w.startAt {
		w.startAt = startAt
		w.attempts = 0
	}
}

// budgetDraw returns a number from 0 to the number of nodes that rounds this node's budget at a server in the
// current window. A budget far below one connection would otherwise be void in nearly every window of a large
// fleet. The draws of all nodes are spaced evenly, so that equal budgets add up to their sum and one at the most;
// independent draws would send too much to a server whose budget is near the number of nodes.
func (b *Balancer) budgetDraw(s *server) float64 {
	process := hash64(s.idHash ^ math.Float64bits(max(s.StartedAt, s.admin.changedAt)))
	draw := hash64(process ^ math.Float64bits(s.slowStart.startAt))
	turn := (draw>>32 + uint64(b.NodeNumber)) % uint64(b.Nodes)
	return float64(turn) + float64(uint32(draw))/(1<<32)
}

// reentryServer returns a usable server that was enabled again and that no flow has entered since, or none. Each
// node sends it one flow at the most, as far as its slow-start weight allows. This prevents such a server from
// being empty for long where few flows arrive.
func (b *Balancer) reentryServer(now float64, f *flow, meanInFlight float64) int {
	if f.attempts != 0 || f.midFlow {
		return none
	}
	for _, index := range b.usable {
		s := &b.servers[index]
		if s.admin.enterFrom <= 0 || now < s.admin.enterFrom {
			continue
		}
		s.admin.enterFrom = 0
		borne := b.slowStartWeight(now, s) * meanInFlight * b.OverloadMultiple / 2 * reentryTime / cmp.Or(b.OverloadWindow, 1)
		if b.random() < borne {
			return index
		}
	}
	return none
}
