package placement

import (
	"math"
	"slices"
)

const (
	// overQuotaFraction is the fraction of a server's load threshold up to which flows of tenants over their quota are
	// attempted there. The load of all tenants counts. The rest of the threshold is left to tenants within their quota.
	overQuotaFraction = 0.8
	// highLoadPenalty is multiplied by a high reported load and added to the server's fallback score, so that servers with a
	// high load rank behind the others, the least loaded first.
	highLoadPenalty = 99
)

// path is the sequence of usable servers that are considered for one flow.
type path struct {
	flow              *flow
	midFlow           bool    // first attempt of a mid-flow connection, which prefers the server at the start of the path
	meanInFlight      float64 // mean number of this node's connections and attempts per usable server
	position          int     // position of the current server among the usable servers
	homeRank          float64 // rank of the last home visited
	spillLimit        float64 // connections of this node above which a server is skipped
	load              float64 // expected load of the flow
	thresholdFraction float64 // fraction of a server's load threshold that the flow may use
	followHomes       bool    // the path visits the group's homes by rank instead of the servers by id
}

// fallback is a server at which the flow may be attempted, but which belowSpillLimit did not choose. The one with the
// lowest score is used if no server on the path is chosen.
type fallback struct {
	index int
	score float64 // see fallbackScore
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
	// The flows of a group share work that each server with such flows repeats, so they should be at few servers. The fewer
	// connections this node has, the more often they spill from home to home; with at most one per server, always.
	p.followHomes = f.groupHash != 0 && b.random() < 2*b.overload.uncertainty
	return b.walk(now, p)
}

// meanInFlight returns the mean number of this node's connections and attempts per usable server.
func (b *Balancer) meanInFlight() float64 {
	mean := 0.0
	for _, i := range b.usable {
		mean += float64(b.servers[i].inFlight) / float64(len(b.usable))
	}
	return mean
}

// walk visits the usable servers along a path and returns the first one that is below all limits. If there is none, it
// returns the fallback with the lowest score, or none if there is no fallback either. The path has one step more than there
// are servers, so that it can return to the first server.
func (b *Balancer) walk(now float64, p *path) int {
	best := fallback{index: none, score: math.Inf(1)}
	for step := range len(b.usable) + 1 {
		b.advance(p, step)
		index := b.usable[p.position]
		s := &b.servers[index]
		weight := b.slowStartWeight(now, s)
		minChance := b.minAttemptChance(weight, step) // probability of one attempt, as the lower bound of the budget
		// A mid-flow connection is most likely known to the server at the start of the path, so other limits do not apply.
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
		if score := s.fallbackScore(now, weight); score < best.score {
			best = fallback{index: index, score: score}
		}
	}
	return best.index
}

// advance moves a path to its next server. The second step of a group's flow leads to a home of the group. The later steps
// lead from home to home if followHomes is set. All other steps lead to the next server by id.
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

// belowSpillLimit reports whether a server is chosen at once, without a comparison with the rest of the path. Its reported
// load must not be high, and its connections and attempts must not exceed the spill limit times its slow-start weight. A
// server in slow start is then chosen with its weight as the probability, but always if the mean is below one connection
// or attempt per server.
func (b *Balancer) belowSpillLimit(now float64, p *path, s *server, weight float64) bool {
	if s.report.high(now) || float64(s.inFlight) > p.spillLimit*weight {
		return false
	}
	return weight >= 1 || p.meanInFlight < 1 || b.random() < weight
}

// fallbackScore returns the score by which fallbacks are compared: the connections and attempts of this node at the server,
// divided by the slow-start weight, plus a penalty for a high reported load. The lowest score wins.
func (s *server) fallbackScore(now, weight float64) float64 {
	score := float64(s.inFlight) / weight
	if s.report.high(now) {
		score += highLoadPenalty * s.report.load
	}
	return score
}
