package placement

import (
	"cmp"
	"math"
	"slices"
)

const (
	// spillFactor is the multiple of the mean number of connections above which a server is skipped. It is the lowest
	// value that the design allows.
	spillFactor = 1.25
	// minSpillLimit is the lowest spill limit in connections. Differences between smaller numbers are not significant.
	minSpillLimit = 2
	// homeLimitFactor is the multiple of the mean number of connections above which flows spill from a group's home.
	homeLimitFactor = 2.0
	// furtherHomeFraction is the fraction of returning clients that an uncertain node places at the second or third home
	// instead of the first.
	furtherHomeFraction = 0.8
	// maxSearchedHomes is the number of homes among which a returning client is placed, unless its group is spread over
	// more of them.
	maxSearchedHomes = 3
	// groupSpreadLevel is the overload level above which a mid-flow connection of a group that is spread over many homes is
	// expected at one of them instead of at its primary.
	groupSpreadLevel = 0.5
	// belowFirstRank is lower than the rank of every home.
	belowFirstRank = -1.0
	// hashFractionRange is the divisor that maps the upper 53 bits of a hash to a fraction from 0 to 1.
	hashFractionRange = 1 << 53
)

// enter sets the usable server at which a path starts, the spill limit, and the rank after which the path looks for the
// next home when the flow spills.
func (b *Balancer) enter(p *path) {
	p.position = b.primary(p.flow)
	p.spillLimit = max(minSpillLimit, spillFactor*p.meanInFlight)
	p.homeRank = belowFirstRank
	holder := slices.Index(b.usable, p.flow.holder)
	switch {
	case p.midFlow && holder >= 0:
		p.position = holder
	case p.flow.groupHash != 0:
		b.enterAtHome(p)
	}
}

// primary returns the position of a flow's primary among the usable servers.
func (b *Balancer) primary(f *flow) int {
	primary := b.base[f.clientHash%uint64(len(b.base))]
	position := slices.Index(b.usable, primary)
	if position < 0 {
		position = int(f.clientHash % uint64(len(b.usable)))
	}
	return position
}

// enterAtHome lets the path of a group's flow start at a home of the group, with a chance that is the overload level. The
// home depends on the client key, so that another node that the flow reaches mid-flow tries the server that most likely
// has the connection. A returning client comes from a server that was overloaded: it is placed at the first home or at one
// of the next two.
func (b *Balancer) enterAtHome(p *path) {
	f := p.flow
	homes := b.homesPerGroup()
	fraction := float64(f.clientHash>>11) / hashFractionRange
	searchFraction := furtherHomeFraction * b.overload.uncertainty
	search := (f.returning || p.midFlow) && fraction < searchFraction
	skipped := 0
	if homes > maxSearchedHomes {
		skipped = int(fraction * float64(homes))
	} else if search {
		skipped = 1 + int(2*fraction/searchFraction)
	}
	for range skipped {
		_, p.homeRank = b.nextHome(f.groupHash, p.homeRank)
	}
	home, _ := b.nextHome(f.groupHash, p.homeRank)
	spreadMidFlow := p.midFlow && homes > maxSearchedHomes && b.overload.level > groupSpreadLevel
	if f.returning || search || spreadMidFlow || b.random() < b.overload.level {
		p.position = home
		p.spillLimit = min(p.spillLimit, b.homeLimit(p.meanInFlight))
	}
}

// homesPerGroup returns the number of homes over which the clients of a group are spread. It is one, unless one connection
// of each node is more than the quotas allow for a server.
func (b *Balancer) homesPerGroup() int {
	return int(min(1/cmp.Or(b.quotaPerServer, 1), float64(len(b.base))))
}

// homeLimit returns the spill limit at a home, in connections of this node. A node that has few connections for each
// server spills earlier, so that the nodes of a large fleet do not together overload the home of a large group.
func (b *Balancer) homeLimit(meanInFlight float64) float64 {
	return math.Ceil(max(1, homeLimitFactor*meanInFlight)) - 1
}

// nextHome returns the position among the usable servers, and the rank, of a group's home with the lowest rank above the
// given one. After the last home it starts again with the first. A rank is a hash of the group and the server, divided by
// the server's size, so that a change of the endpoint list moves few homes.
func (b *Balancer) nextHome(groupHash uint64, after float64) (position int, rank float64) {
	if after < 0 {
		b.rankHomes(groupHash)
	}
	rank = math.Inf(1)
	for i, index := range b.usable {
		candidate := b.servers[index].homeRank
		if candidate > after && candidate < rank {
			position = i
			rank = candidate
		}
	}
	if math.IsInf(rank, 1) && after >= 0 {
		return b.nextHome(groupHash, belowFirstRank)
	}
	return position, rank
}

// rankHomes computes the rank of each usable server for a group, for the following calls of nextHome.
func (b *Balancer) rankHomes(groupHash uint64) {
	for _, index := range b.usable {
		s := &b.servers[index]
		s.homeRank = float64(^hash64(groupHash^s.idHash)) / cmp.Or(s.Size, 1)
	}
}
