package placement

import (
	"cmp"
	"math"
)

// reentryTime is the time in seconds within which a first flow is sent to a server that was enabled again. It must happen
// within five seconds.
const reentryTime = 2.0

// slowStartWindow counts the attempts at a server in slow start within one overload window.
type slowStartWindow struct {
	attempts float64 // attempts of this node in the window
	startAt  float64 // when the window began
}

// slowStartWeight returns the fraction of its capacity that a server has at least. It rises from SlowStartFraction to 1
// during the slow start.
func (b *Balancer) slowStartWeight(now float64, s *server) float64 {
	startedAt := max(s.StartedAt, s.admin.changedAt)
	if startedAt <= 0 || b.SlowStartTime <= 0 || now-startedAt >= b.SlowStartTime {
		return 1
	}
	return b.SlowStartFraction + (1-b.SlowStartFraction)*max(now-startedAt, 0)/b.SlowStartTime
}

// minAttemptChance returns the lower bound of this node's budget at a server in one overload window, as the chance of one
// attempt. The bounds of all nodes together add up to the overload multiple of the server's even part of the flows. Half
// of that is allowed in each window, because a window as observed by the server may overlap two of the nodes' windows.
// After the first step of a path, at least half of the base list is counted as usable, which protects a server in slow
// start that is the last usable one.
func (b *Balancer) minAttemptChance(weight float64, step int) float64 {
	usable := float64(len(b.usable))
	if step == 0 {
		return weight * min(1, b.OverloadMultiple/2*usable/float64(len(b.base)))
	}
	return weight * min(1, b.OverloadMultiple/2/max(usable, float64(len(b.base))/2))
}

// withinSlowStartBudget reports whether this node may send one more attempt to a server in the current window.
//
// The budget of all nodes together is the number of connections that a server with its full capacity would receive in the
// window if they arrived evenly over the slow-start time, times the server's weight and half of the overload multiple.
// Only half is used, because a window as observed by the server may overlap two of the nodes' windows. A process that
// started in the current window, or has handed over to its successor, has no budget, because another process of the same
// node may already have used it.
func (b *Balancer) withinSlowStartBudget(now float64, s *server, weight, meanInFlight, minChance float64) bool {
	s.slowStart.advance(now, cmp.Or(b.OverloadWindow, 1))
	if weight >= 1 {
		return true
	}
	if b.handedOver || s.slowStart.startAt <= b.StartedAt {
		return false
	}
	connections := max(meanInFlight, b.quotaPerServer)
	budget := max(minChance, 1/float64(b.Nodes),
		weight*connections*b.OverloadMultiple/2*b.OverloadWindow/b.SlowStartTime)
	return s.slowStart.attempts+1 <= budget+b.budgetRounding(s)/float64(b.Nodes)
}

// advance starts a new window if the current time is past the end of the last one. Windows start at multiples of their
// length, and therefore at the same time on all nodes.
func (w *slowStartWindow) advance(now, length float64) {
	startAt := math.Floor(now/length) * length
	if startAt != w.startAt {
		w.startAt = startAt
		w.attempts = 0
	}
}

// budgetRounding returns a number from 0 to the number of nodes. Divided by the number of nodes, it is added to this node's
// budget at a server in the current window, which rounds the budget up on some nodes and down on others. Without it, a
// budget far below one connection would allow no attempt on any node of a large fleet. The numbers of all nodes are spaced
// evenly, so that equal budgets of all nodes allow at most one attempt more than their sum. Independent random numbers
// would allow too many attempts at a server whose budget is close to the number of nodes.
func (b *Balancer) budgetRounding(s *server) float64 {
	process := hash64(s.idHash ^ math.Float64bits(max(s.StartedAt, s.admin.changedAt)))
	hash := hash64(process ^ math.Float64bits(s.slowStart.startAt))
	slot := (hash>>32 + uint64(b.NodeNumber)) % uint64(b.Nodes)
	return float64(slot) + float64(uint32(hash))/(1<<32)
}

// reentryServer returns a usable server that was enabled again and is due for its first flow from this node, or none. Each
// node sends at most one such flow, with a chance that depends on the server's slow-start weight. Without it, such a server
// could stay empty for a long time if few flows arrive.
func (b *Balancer) reentryServer(now float64, f *flow, meanInFlight float64) int {
	if f.attempts != 0 || f.midFlow {
		return none
	}
	for _, index := range b.usable {
		s := &b.servers[index]
		if s.admin.reentryAt <= 0 || now < s.admin.reentryAt {
			continue
		}
		s.admin.reentryAt = 0
		reentryChance := b.slowStartWeight(now, s) * meanInFlight * b.OverloadMultiple / 2 * reentryTime / cmp.Or(b.OverloadWindow, 1)
		if b.random() < reentryChance {
			return index
		}
	}
	return none
}
