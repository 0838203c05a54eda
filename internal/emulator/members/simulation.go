package members

import (
	"fmt"
	"math"
	"math/rand/v2"

	"gorseledge/internal/emulator/virtual"
	"gorseledge/internal/membership"
	"gorseledge/internal/membership/wire"
)

const (
	startTime         = 1000.0 // virtual time at which a simulation starts, in seconds
	networkStream     = 77     // random stream of the network, apart from those of the cores
	seedStride        = 7919   // between the cores' seeds of two simulations
	joinAddresses     = 3      // first addresses that each node knows
	probeTimeoutParts = 5      // of a period: the timeout of a probe is one of them, as in package fleet
	indirectProbes    = 3      // as in package fleet
	maxMessageBytes   = 208    // as in package fleet
)

// Event is one change of a member's state that a node saw.
type Event struct {
	At   float64 // seconds
	Node int     // number of the node
	membership.Changed
}

// node is one simulated process.
type node struct {
	*membership.Members
	name     string
	address  string
	ended    bool            // killed, or left
	paused   bool            // neither receives nor ticks
	queued   []*wire.Message // received while it was paused
	tickAt   float64         // when its timer is set for
	replaced bool            // a later process has its name
}

// Simulation is a fleet in virtual time. Nodes are named by their number, in the order of their start. It is not safe for
// concurrent use.
type Simulation struct {
	Options
	virtual.Clock
	Events         []Event // of all nodes, in the order of their times
	SentBytes      []int   // by node
	SentMessages   []int   // by node
	LargestMessage int     // bytes

	nodes     []*node
	byAddress map[string]int // number of the latest node at an address
	random    *rand.Rand
	cutLinks  map[link]bool
}

// link is the direction from one node to another.
type link struct{ from, to int }

// New returns a simulation whose nodes start together. Each knows the first three addresses.
func New(o Options) *Simulation {
	s := &Simulation{
		Options:   o.withDefaults(),
		Clock:     virtual.Clock{Now: startTime},
		random:    rand.New(rand.NewPCG(o.Seed, networkStream)),
		byAddress: map[string]int{},
		cutLinks:  map[link]bool{},
	}
	for range o.Nodes {
		s.Start(fmt.Sprintf("n%04d", len(s.nodes)), "")
	}
	return s
}

// Start starts one more process and returns its number. It gets an address of its own where none is given.
func (s *Simulation) Start(name, address string) int {
	i := len(s.nodes)
	if address == "" {
		address = s.Address(i)
	}
	n := &node{name: name, address: address}
	n.Members = membership.New(s.Now, s.coreConfig(i, name, address))
	s.nodes = append(s.nodes, n)
	s.SentBytes = append(s.SentBytes, 0)
	s.SentMessages = append(s.SentMessages, 0)
	s.byAddress[address] = i
	s.schedule(i)
	return i
}

// coreConfig returns the configuration of a node's core.
func (s *Simulation) coreConfig(i int, name, address string) membership.Config {
	var join []string
	for k := range joinAddresses {
		join = append(join, s.Address(k))
	}
	return membership.Config{
		Self: membership.Member{
			Name:    name,
			Start:   uint64(s.Now*1e6) + uint64(i),
			Address: address,
			Zone:    s.zone(i),
			Build:   s.Build,
			Ready:   true,
		},
		Join:             join,
		Seed:             s.Seed*seedStride + uint64(i),
		Period:           s.Period,
		ProbeTimeout:     s.Period / probeTimeoutParts,
		IndirectProbes:   indirectProbes,
		MaxMessageBytes:  maxMessageBytes,
		WithoutLifeguard: s.WithoutLifeguard,
	}
}

// zone returns the zone of a node; empty where the fleet has none.
func (s *Simulation) zone(i int) string {
	if s.Zones <= 0 {
		return ""
	}
	return string(rune('a' + i%s.Zones))
}

// schedule sets a node's timer for its next tick. A node that has left has none.
func (s *Simulation) schedule(i int) {
	at := max(s.nodes[i].NextTick(), s.Now)
	if at == s.nodes[i].tickAt || math.IsInf(at, 1) {
		return
	}
	s.nodes[i].tickAt = at
	s.At(at, func() { s.tick(i, at) })
}

// tick runs when a node's timer expires, unless the timer was set anew since.
func (s *Simulation) tick(i int, at float64) {
	n := s.nodes[i]
	if n.ended || n.paused || at != n.tickAt {
		return
	}
	s.apply(i, n.Tick(s.Now))
	s.schedule(i)
}

// Run runs the simulation until a time.
func (s *Simulation) Run(until float64) {
	for s.Step(until) {
	}
}

// runPeriods runs the simulation for so many protocol periods.
func (s *Simulation) runPeriods(periods float64) { s.Run(s.Now + periods*s.Period) }
