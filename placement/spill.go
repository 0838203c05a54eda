package placement

import (
	"math"
	"slices"
)

const (
	// overQuotaFraction is the fraction of a server's load threshold that tenants over their quota may use.
	overQuotaFraction = 0.8
	// highLoadPenalty puts a server with a high reported load behind all others, the least loaded first.
	highLoadPenalty = 99
)

// path is the sequence of usable servers that are considered for one flow.
type path struct {
	flow              *flow
	midFlow           bool    // this is the first attempt of a mid-flow connection, which stays at its server if possible
	meanInFlight      float64 // mean number of connections and attempts of this node at a usable server
	position          int     // position of the current server among the usable servers
	homeRank          float64 // rank of the last home visited
	spillLimit        float64 // connections of this node above which a server is skipped
	load              float64 // expected load of the flow
	thresholdFraction float64 // fraction of a server's load threshold that the flow may use
	followHomes       bool    // the path visits the group's homes by rank instead of the servers by id
}

// candidate is the server that is used if no server on the path is below its limits.
type candidate struct {
	index  int
	excess float64 // connections divided by the slow-start weight, plus the penalty for a high load
}

// selectServer returns the server where a flow is attempted next, or none.
func (b *Balancer) selectServer(now float64, f *flow) int {
	midFlow := f.midFlow && f.attempts == 0
	b.updateUsable(now, midFlow)
	if len(b.usable) == 0 {
		return none
	}
	meanInFlight := b.meanInFlight()
	if index := b.reentryServer(now, f, meanInFlight); index != none {
		return index
	}
	p := &path{flow: f, midFlow: midFlow, meanInFlight: meanInFlight, load: b.expectedLoad(f), thresholdFraction: 1}
	b.enter(p)
	if b.overQuota(f.tenant) {
		p.thresholdFraction = overQuotaFraction
	}
	// If this node has few connections, a group's flows spill from home to home: each server with flows of the group does
	// the work that they share, so the flows should be at few servers.
	p.followHomes = f.groupHash != 0 && b.random() < 2*b.overload.uncertainty
	return b.walk(now, p)
}

// meanInFlight returns the mean number of this node's connections and attempts at a usable server.
func (b *Balancer) meanInFlight() float64 {
	mean := 0.0
	for _, i := range b.usable {
		mean += float64(b.servers[i].inFlight) / float64(len(b.usable))
	}
	return mean
}

// walk visits the usable servers along a path. It has one step more than there are servers, so that it can come back to
// the first one. It returns the first server that is below its limits, otherwise the best of those where the flow may be
// attempted, or none.
func (b *Balancer) walk(now float64, p *path) int {
	best := candidate{index: none, excess: math.Inf(1)}
	for step := range len(b.usable) + 1 {
		b.advance(p, step)
		index := b.usable[p.position]
		s := &b.servers[index]
		weight := b.slowStartWeight(now, s)
		minChance := b.minAttemptChance(weight, step)
		if p.midFlow && step == 0 && b.withinSlowStartBudget(now, s, weight, p.meanInFlight, minChance) {
			return index
		}
		if !b.hasCapacity(now, p, s) || slices.Contains(p.flow.tried, index) || !b.mayAttempt(now, p.flow, index) {
			continue
		}
		if !b.withinSlowStartBudget(now, s, weight, p.meanInFlight, minChance) {
			continue
		}
		if b.belowSpillLimit(now, p, s, weight) {
			return index
		}
		if excess := s.excess(now, weight); excess < best.excess {
			best = candidate{index: index, excess: excess}
		}
	}
	return best.index
}

// advance moves a path to its next server: the next home of a group, or the next server by id.
func (b *Balancer) advance(p *path, step int) {
	if step == 0 {
		return
	}
	toFirstHome := step == 1 && p.flow.groupHash != 0
	if toFirstHome || step > 1 && p.followHomes {
		p.position, p.homeRank = b.nextHome(p.flow.groupHash, p.homeRank)
		return
	}
	p.position = (p.position + 1) % len(b.usable)
}

// hasCapacity reports whether a server has capacity for the flow under its load threshold and is not overloaded now.
func (b *Balancer) hasCapacity(now float64, p *path, s *server) bool {
	if s.assignedLoad+p.load > p.thresholdFraction*s.threshold.load {
		return false
	}
	return !s.threshold.overloadedNow(now)
}

// belowSpillLimit reports whether a flow is sent to a server without looking further. A server in slow start is chosen with
// a chance that is its weight, once the other servers have connections.
func (b *Balancer) belowSpillLimit(now float64, p *path, s *server, weight float64) bool {
	if s.report.high(now) || float64(s.inFlight) > p.spillLimit*weight {
		return false
	}
	return weight >= 1 || p.meanInFlight < 1 || b.random() < weight
}

// excess returns the value by which fallback candidates are compared. The server with the lowest value is used.
func (s *server) excess(now, weight float64) float64 {
	excess := float64(s.inFlight) / weight
	if s.report.high(now) {
		excess += highLoadPenalty * s.report.load
	}
	return excess
}
