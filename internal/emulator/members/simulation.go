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
	startTime         = 1000.0 // virtual time in seconds at which a simulation starts
	networkStream     = 77     // random stream of the network, distinct from those of the cores
	seedStride        = 7919   // distance between the cores' seeds of simulations with consecutive seeds
	joinAddresses     = 3      // number of addresses that each node knows at its start
	probeTimeoutParts = 5      // a probe times out after this fraction (1/5) of a period, as in package fleet
	indirectProbes    = 3      // as in package fleet
	maxMessageBytes   = 208    // as in package fleet
)

// Event is a change of a member's state, as seen by one node.
type Event struct {
	At   float64 // seconds
	Node int     // number of the node that saw the change
	membership.Changed
}

// node is one simulated process.
type node struct {
	*membership.Members
	name     string
	address  string
	ended    bool            // killed or left
	paused   bool            // handles neither messages nor its timer
	queued   []*wire.Message // messages that arrived while it was paused
	tickAt   float64         // time for which its timer is set
	replaced bool            // it was notified that a later process has its name
}

// Simulation is a fleet on a virtual clock. Nodes are identified by their number, in the order of their start. It is not safe
// for concurrent use.
type Simulation struct {
	Options
	virtual.Clock
	Events         []Event // events of all nodes, ordered by time
	SentBytes      []int   // bytes sent by each node
	SentMessages   []int   // messages sent by each node
	LargestMessage int     // size in bytes of the largest message sent

	nodes     []*node
	byAddress map[string]int // number of the node that was started last at an address
	random    *rand.Rand
	cutLinks  map[link]bool
}

// link is one direction of the link between two nodes.
type link struct{ from, to int }

// New returns a simulation whose nodes start at the same time. Each knows the addresses of the first three nodes.
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

// Start starts another process and returns its number. If address is empty, the process gets that of Options.Address.
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

// zone returns the zone of a node, or an empty string if the fleet has no zones.
func (s *Simulation) zone(i int) string {
	if s.Zones <= 0 {
		return ""
	}
	return string(rune('a' + i%s.Zones))
}

// schedule sets a node's timer for its next tick. A node that has left has no next tick.
func (s *Simulation) schedule(i int) {
	at := max(s.nodes[i].NextTick(), s.Now)
	if at == s.nodes[i].tickAt || math.IsInf(at, 1) {
		return
	}
	s.nodes[i].tickAt = at
	s.At(at, func() { s.tick(i, at) })
}

// tick handles the expiry of a node's timer. It has no effect if the timer was set to another time after it was scheduled.
func (s *Simulation) tick(i int, at float64) {
	n := s.nodes[i]
	if n.ended || n.paused || at != n.tickAt {
		return
	}
	s.apply(i, n.Tick(s.Now))
	s.schedule(i)
}

// Run runs the simulation until the given time.
func (s *Simulation) Run(until float64) {
	for s.Step(until) {
	}
}

// runPeriods runs the simulation for the given number of protocol periods.
func (s *Simulation) runPeriods(periods float64) { s.Run(s.Now + periods*s.Period) }
