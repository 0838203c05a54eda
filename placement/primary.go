package placement

import (
	"cmp"
	"math"
	"slices"
)

const (
	// spillFactor is the multiple of the mean number of connections above which a server is passed by. It is the
	// least that the design allows.
	spillFactor = 1.25
	// minSpillLimit is the least spill limit in connections. Smaller numbers say little.
	minSpillLimit = 2
	// homeLimitFactor is the multiple of the mean number of connections that a group may bring to its home.
	homeLimitFactor = 2.0
	// furtherHomeShare is the share of returning clients that an uncertain node sends past the first home.
	furtherHomeShare = 0.8
	// maxSearchedHomes is the number of homes among which a returning client is placed, unless its group needs more.
	maxSearchedHomes = 3
	// dealingLevel is the overload level above which mid-flow connections of a group that is dealt over many homes are
	// looked for there.
	dealingLevel = 0.5
	// firstRank is below the rank of every home.
	firstRank = -1.0
	// hashBits is 2 to the number of bits of a hash that a fraction is made of.
	hashBits = 1 << 53
)

// enter sets where a path enters the usable servers, the spill limit there, and the rank of the home before the
// first one that the path visits when it spills.
func (b *Balancer) enter(p *path) {
	p.position = b.primary(p.flow)
	p.spillLimit = max(minSpillLimit, spillFactor*p.meanInFlight)
	p.homeRank = firstRank
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

// enterAtHome makes a path of a group's flow enter at a home of the group where the overload level says so. The home
// depends on the client, so that a node to which the flow is handed over mid-flow looks where it most likely is.
// A returning client had too much load where it was: it is placed at the first home or at one of the next two.
func (b *Balancer) enterAtHome(p *path) {
	f := p.flow
	homes := b.homesPerGroup()
	fraction := float64(f.clientHash>>11) / hashBits
	searchShare := furtherHomeShare * b.overload.uncertainty
	search := (f.returning || p.midFlow) && fraction < searchShare
	skipped := 0
	if homes > maxSearchedHomes {
		skipped = int(fraction * float64(homes))
	} else if search {
		skipped = 1 + int(2*fraction/searchShare)
	}
	for range skipped {
		_, p.homeRank = b.nextHome(f.groupHash, p.homeRank)
	}
	home, _ := b.nextHome(f.groupHash, p.homeRank)
	dealtMidFlow := p.midFlow && homes > maxSearchedHomes && b.overload.level > dealingLevel
	if f.returning || search || dealtMidFlow || b.random() < b.overload.level {
		p.position = home
		p.spillLimit = min(p.spillLimit, b.homeLimit(p.meanInFlight))
	}
}

// homesPerGroup returns over how many homes the clients of a group are dealt: one, unless a connection for each
// node is more than the quotas allow for a server.
func (b *Balancer) homesPerGroup() int {
	return int(min(1/cmp.Or(b.quotaPerServer, 1), float64(len(b.base))))
}

// homeLimit is the spill limit at a home. This prevents a large group from overloading its home: a node that has
// few connections for each server spills sooner.
func (b *Balancer) homeLimit(meanInFlight float64) float64 {
	return math.Ceil(max(1, homeLimitFactor*meanInFlight)) - 1
}

// nextHome returns a group's home with the lowest rank above the given one, by its position among the usable
// servers, and its rank. It begins again after the last home. Ranks come from the hashes of the group and of the
// server, divided by the server's size, so that a change of the list moves few homes.
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
		return b.nextHome(groupHash, firstRank)
	}
	return position, rank
}

// rankHomes stores each usable server's rank for a group, for the walk over its homes that begins.
func (b *Balancer) rankHomes(groupHash uint64) {
	for _, index := range b.usable {
		s := &b.servers[index]
		s.homeRank = float64(^hash64(groupHash^s.idHash)) / cmp.Or(s.Size, 1)
	}
}
