package placement

import (
	"math"
	"slices"
)

const (
	// overQuotaThreshold is the share of a server's load threshold that tenants over their quota may use.
	overQuotaThreshold = 0.8
	// highLoadPenalty puts a server with a high reported load behind all others, the least loaded first.
	highLoadPenalty = 99
)

// path is the way of one flow through the usable servers.
type path struct {
	flow          *flow
	midFlow       bool    // the first attempt of a mid-flow connection, which stays where it was if possible
	meanInFlight  float64 // connections and attempts of this node for each usable server
	position      int     // of the current server among the usable ones
	homeRank      float64 // rank of the last home visited
	spillLimit    float64 // connections of this node above which a server is passed by
	load          float64 // expected of the flow
	thresholdPart float64 // share of a load threshold that the flow may use
	followHomes   bool    // the path goes from home to home in place of the order of ids
}

// candidate is the server that a path falls back on if none is below its limits.
type candidate struct {
	index  int
	excess float64 // connections by capacity, and the penalty for a high load
}

// selectServer walks the path of a flow and returns the server where it is attempted, or none.
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
	p := &path{flow: f, midFlow: midFlow, meanInFlight: meanInFlight, load: b.expectedLoad(f), thresholdPart: 1}
	b.enter(p)
	if b.overQuota(f.tenant) {
		p.thresholdPart = overQuotaThreshold
	}
	// Where this node sees few of a group's flows, they spill from home to home, because a group shares its work.
	p.followHomes = f.groupHash != 0 && b.random() < 2*b.overload.uncertainty
	return b.walk(now, p)
}

// meanInFlight returns this node's connections and attempts for each usable server.
func (b *Balancer) meanInFlight() float64 {
	mean := 0.0
	for _, i := range b.usable {
		mean += float64(b.servers[i].inFlight) / float64(len(b.usable))
	}
	return mean
}

// walk visits each usable server once, the one where the path enters twice if it is reached again. It returns the
// first that is below its limits, else the best of those that may take the flow at all, or none.
func (b *Balancer) walk(now float64, p *path) int {
	best := candidate{index: none, excess: math.Inf(1)}
	for step := range len(b.usable) + 1 {
		b.advance(p, step)
		index := b.usable[p.position]
		s := &b.servers[index]
		weight := b.slowStartWeight(now, s)
		share := b.slowStartShare(weight, step)
		if p.midFlow && step == 0 && b.withinSlowStartBudget(now, s, weight, p.meanInFlight, share) {
			return index
		}
		if !b.hasCapacity(now, p, s) || slices.Contains(p.flow.tried, index) || !b.mayAttempt(now, p.flow, index) {
			continue
		}
		if !b.withinSlowStartBudget(now, s, weight, p.meanInFlight, share) {
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

// advance moves a path to the server of a step: the next home of a group, or the next server by id.
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
	if s.assignedLoad+p.load > p.thresholdPart*s.threshold.load {
		return false
	}
	return !s.threshold.overloadedNow(now)
}

// belowSpillLimit reports whether a path ends at a server that may take the flow. A server in slow start is drawn by
// its weight, where the others have connections already.
func (b *Balancer) belowSpillLimit(now float64, p *path, s *server, weight float64) bool {
	if s.report.high(now) || float64(s.inFlight) > p.spillLimit*weight {
		return false
	}
	return weight >= 1 || p.meanInFlight < 1 || b.random() < weight
}

// excess orders the servers on which a path falls back, the best first.
func (s *server) excess(now, weight float64) float64 {
	excess := float64(s.inFlight) / weight
	if s.report.high(now) {
		excess += highLoadPenalty * s.report.load
	}
	return excess
}
