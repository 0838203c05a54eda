// Package members plays fleets of membership cores on a virtual clock, with faults among them: the same core that
// runs in service, by the hundred. All its figures are simulated.
package members

import (
	"fmt"
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	"gorseledge/internal/emulator/virtual"
	"gorseledge/internal/membership"
	"gorseledge/internal/membership/wire"
)

// Options are what a world is made of. Times are seconds.
type Options struct {
	Nodes            int
	Seed             uint64
	WithoutLifeguard bool    // SWIM without Lifeguard's parts
	Loss             float64 // part of all messages that is lost
	Delay            float64 // mean of a message's way, drawn evenly from half to one and a half of it
	Duplicate        float64 // part of all messages that comes twice
	Zones            int
	Period           float64

	Address func(i int) string          // of a node; one of its own for each where it is nil
	Build   string                      // that each tells of itself
	Size    func(msg *wire.Message) int // of a message on its way; of itself alone where it is nil
}

// Event is one change that a node saw.
type Event struct {
	At   float64
	Node int
	membership.Changed
}

// node is one process.
type node struct {
	*membership.Members
	name, address string
	ended         bool
	paused        bool
	queued        []*wire.Message // what came while it was stopped
	tickAt        float64
	replaced      bool
}

// Simulation is a fleet under way.
type Simulation struct {
	Options
	virtual.Clock
	Events         []Event
	Bytes          []int // sent, by node
	Messages       []int
	LargestMessage int
	nodes          []*node
	byAddress      map[string]int
	random         *rand.Rand
	cutLinks       map[[2]int]bool
}

// New gives a world whose nodes start together, each of which knows the first three addresses.
func New(o Options) *Simulation {
	w := &Simulation{Options: o, Clock: virtual.Clock{Now: 1000}, random: rand.New(rand.NewPCG(o.Seed, 77)), byAddress: map[string]int{},
		cutLinks: map[[2]int]bool{}}
	if w.Period == 0 {
		w.Period = 1
	}
	if w.Delay == 0 {
		w.Delay = 0.001
	}
	if w.Address == nil {
		w.Address = func(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i>>8, i&255) }
	}
	if w.Size == nil {
		w.Size = func(msg *wire.Message) int { return proto.Size(msg) }
	}
	for range o.Nodes {
		w.Start(fmt.Sprintf("n%04d", len(w.nodes)), "")
	}
	return w
}

// Start starts one more process and gives its number; it takes an address of its own where none is given.
func (w *Simulation) Start(name, address string) int {
	i := len(w.nodes)
	if address == "" {
		address = w.Address(i)
	}
	zone := ""
	if w.Zones > 0 {
		zone = string(rune('a' + i%w.Zones))
	}
	var join []string
	for k := range 3 {
		join = append(join, w.Address(k))
	}
	n := &node{name: name, address: address}
	n.Members = membership.New(w.Now, membership.Config{
		Self: membership.Member{Name: name, Start: uint64(w.Now*1e6) + uint64(i), Address: address, Zone: zone, Build: w.Build,
			Ready: true},
		Join: join, Seed: w.Seed*7919 + uint64(i), Period: w.Period, ProbeTimeout: w.Period / 5, IndirectProbes: 3, MaxMessageBytes: 208,
		WithoutLifeguard: w.WithoutLifeguard})
	w.nodes = append(w.nodes, n)
	w.Bytes, w.Messages = append(w.Bytes, 0), append(w.Messages, 0)
	w.byAddress[address] = i
	w.schedule(i)
	return i
}

// schedule has a node's tick come when it is due.
func (w *Simulation) schedule(i int) {
	if at := max(w.nodes[i].NextTick(), w.Now); at != w.nodes[i].tickAt && at < 1e300 {
		w.nodes[i].tickAt = at
		w.At(at, func() { w.tick(i, at) })
	}
}

// Run plays until a time.
func (w *Simulation) Run(until float64) {
	for w.Step(until) {
	}
}

// tick rings a node's timer, unless it was set anew since.
func (w *Simulation) tick(i int, at float64) {
	if n := w.nodes[i]; !n.ended && !n.paused && at == n.tickAt {
		w.apply(i, n.Tick(w.Now))
		w.schedule(i)
	}
}

// receive brings a message to a node.
func (w *Simulation) receive(i int, msg *wire.Message) {
	switch n := w.nodes[i]; {
	case n.ended:
	case !n.paused:
		w.apply(i, n.Receive(w.Now, msg))
		w.schedule(i)
	case len(n.queued) < 200: // what a socket's buffer holds
		n.queued = append(n.queued, msg)
	}
}

// apply carries out what a core asks for.
func (w *Simulation) apply(i int, effects []membership.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case membership.Send:
			size := w.Size(e.Message)
			w.Bytes[i] += size
			w.Messages[i]++
			w.LargestMessage = max(w.LargestMessage, size)
			w.deliver(i, e.To, e.Message)
		case membership.Changed:
			w.Events = append(w.Events, Event{w.Now, i, e})
		case membership.Replaced:
			w.nodes[i].replaced = true
		}
	}
}

func (w *Simulation) deliver(from int, address string, msg *wire.Message) {
	to, ok := w.byAddress[address]
	if !ok || w.cutLinks[[2]int{from, to}] || w.random.Float64() < w.Loss {
		return
	}
	copies := 1
	if w.random.Float64() < w.Duplicate {
		copies = 2
	}
	for range copies {
		w.After(w.Delay*(0.5+w.random.Float64()), func() { w.receive(to, msg) })
	}
}

// Cut breaks the way from one node to another, or mends it.
func (w *Simulation) Cut(from, to int, broken bool) {
	if broken {
		w.cutLinks[[2]int{from, to}] = true
	} else {
		delete(w.cutLinks, [2]int{from, to})
	}
}

// Kill ends a process without a word.
func (w *Simulation) Kill(i int) { w.nodes[i].ended = true }

// Pause holds a process up, Wake has it go on with what came meanwhile.
func (w *Simulation) Pause(i int) { w.nodes[i].paused = true }

// Resume has a stopped process go on: the clock has moved, its timers are late, and its socket's buffer is full.
func (w *Simulation) Resume(i int) {
	n := w.nodes[i]
	if n.ended || !n.paused {
		return
	}
	n.paused = false
	held := n.queued
	n.queued = nil
	w.apply(i, n.Tick(w.Now))
	for _, msg := range held {
		w.apply(i, n.Receive(w.Now, msg))
	}
	w.schedule(i)
}

// Leave has a node go in good order.
func (w *Simulation) Leave(i int) {
	w.apply(i, w.nodes[i].Members.Leave(w.Now))
	w.nodes[i].ended = true
}

// Inject delivers a message to a node as it is.
func (w *Simulation) Inject(to int, msg *wire.Message) { w.After(0, func() { w.receive(to, msg) }) }

// Node gives a node's core.
func (w *Simulation) Node(i int) *membership.Members { return w.nodes[i].Members }

// Replaced tells whether a process was told that another took its name over.
func (w *Simulation) Replaced(i int) bool { return w.nodes[i].replaced }

// StateSeenBy gives the state in which a node holds another, and false where it does not know it.
func (w *Simulation) StateSeenBy(i int, name string) (membership.State, bool) {
	for _, x := range w.nodes[i].All() {
		if x.Name == name {
			return x.State, true
		}
	}
	return membership.Dead, false
}

// Agreement tells whether every process that runs holds exactly those that run for living; who is not, and where, else.
func (w *Simulation) Agreement() (string, bool) {
	up := map[string]bool{}
	for _, n := range w.nodes {
		if !n.ended {
			up[n.name] = true
		}
	}
	for _, n := range w.nodes {
		if n.ended {
			continue
		}
		seen := 0
		for _, x := range n.All() {
			living := x.State == membership.Alive
			if living != up[x.Name] {
				return fmt.Sprintf("%s holds %s for %v", n.name, x.Name, x.State), false
			}
			if living {
				seen++
			}
		}
		if seen != len(up) {
			return fmt.Sprintf("%s knows %d of %d", n.name, seen, len(up)), false
		}
	}
	return "", true
}

// FalseDeaths counts the times that a running process was held for dead by another, a wrong one each.
func (w *Simulation) FalseDeaths() (wrong int, first string) {
	for _, e := range w.Events {
		if e.State != membership.Dead {
			continue
		}
		for _, n := range w.nodes {
			if n.name == e.Name && !n.ended {
				if wrong++; wrong == 1 {
					first = fmt.Sprintf("%s held %s for dead at %.1f", w.nodes[e.Node].name, e.Name, e.At)
				}
				break
			}
		}
	}
	return wrong, first
}
