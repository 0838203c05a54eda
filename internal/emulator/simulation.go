package emulator

import (
	"fmt"
	"hash"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"slices"

	"gorseledge/placement"
)

const (
	finalWait          = 8.0 // seconds in which attempts and closing connections end once all clients have gone
	recentLineLimit    = 40  // lines of the trace in the report of a violation
	simulatedTimeOfDay = 1e9 // Unix time in seconds at which a run begins
	housekeepingPeriod = 0.1 // seconds between the housekeeping ticks of hosts
)

// Options change a run beside its script and seed. The zero value changes nothing.
type Options struct {
	Trace          io.Writer                   // gets every line of the trace; nil for none
	Permute        bool                        // events of the same time run in an order drawn from the seed
	WrapCore       func(c Core) Core           // wraps each core, to show that the checker finds a fault; nil for none
	AdjustSettings func(r *placement.Settings) // changes the settings of each node; nil for none
}

// simulation is one run of a script.
type simulation struct {
	*network
	script         Scenario
	options        Options
	seed           uint64
	startTime      float64 // Unix time in seconds at time 0 of the clock
	hosts          []*host // all that ever were, removed ones included
	hostsByName    map[string]*host
	nodes          []*nodeProcess // for each node the process that listens
	clients        []*client
	flowsByID      map[string]*flow
	flowCount      int
	discovery      *discovery
	impatientShare float64 // share of the new clients that do not wait for an answer
	store          *sessionStore
	checker        *checker
	result         *Result
	random         *rand.Rand
	settings       []byte // of each node
	recentTrace    []string
	hash           hash.Hash64
}

func zoneName(zone int) string { return fmt.Sprintf("z%d", zone) }

// Run runs a script once.
func Run(script Scenario, seed uint64, o Options) *Result {
	if script.DrawnFleet {
		script = script.drawFleet(seed)
	}
	s := newSimulation(script, seed, o)
	end := script.Duration + script.Settle
	s.runUntil(end)
	s.disconnectClients()
	s.runUntil(end + finalWait)
	for _, n := range s.nodes {
		s.checker.checkReleased(n)
	}
	return s.finish()
}

// newSimulation returns a simulation at time 0, with a fleet that is up and all events of the script scheduled.
func newSimulation(script Scenario, seed uint64, o Options) *simulation {
	s := &simulation{
		script:      script,
		options:     o,
		seed:        seed,
		startTime:   simulatedTimeOfDay,
		hostsByName: map[string]*host{},
		flowsByID:   map[string]*flow{},
		random:      newRandom(seed, "world", 0),
		hash:        fnv.New64a(),
		result:      newResult(script.Name, seed),
	}
	s.network = &network{
		random:            newRandom(seed, "network", 0),
		delayWithinZone:   script.Network.DelayWithinZone,
		delayBetweenZones: script.Network.DelayBetweenZones,
		jitter:            script.Network.Jitter,
		bandwidth:         script.Network.Bandwidth,
		splitChance:       script.Network.SplitChance,
	}
	if o.Permute {
		s.Permute = newRandom(seed, "order", 0)
	}
	s.checker = &checker{world: s}
	s.store = &sessionStore{world: s, callLimit: script.Fleet.StoreCallLimit}
	s.discovery = &discovery{world: s, callRate: script.Fleet.ListCallRate, random: newRandom(seed, "discovery", 0)}
	s.startFleet()
	for i, t := range script.Traffic {
		s.scheduleArrivals(i, t, newRandom(seed, t.Name, i))
	}
	for _, f := range slices.Concat(script.Faults, s.drawFaults()) {
		s.At(f.At, func() { s.inject(f) })
	}
	s.maintainHosts()
	return s
}

// startFleet starts the hosts and the nodes of the script.
func (s *simulation) startFleet() {
	for range s.script.Fleet.Hosts {
		s.addHost(0)
	}
	s.settings = s.nodeSettings()
	for i := range s.script.Fleet.Nodes {
		n := &nodeProcess{machine: newMachine(fmt.Sprintf("n%d", i), i%s.script.Fleet.Zones), world: s, index: i}
		s.nodes = append(s.nodes, n)
		s.boot(n)
	}
}

// runUntil runs all events up to a time, in seconds.
func (s *simulation) runUntil(end float64) {
	for more := true; more; {
		more = s.Step(end)
	}
}

// disconnectClients has all clients go for good.
func (s *simulation) disconnectClients() {
	for _, c := range s.clients {
		c.finished = true
		if c.socket != nil {
			c.disconnect(false)
		}
	}
}

// addHost adds a host that started at the given time. A host that started at 0 is in the endpoint list at once, any
// other after the delay of the list.
func (s *simulation) addHost(startedAt float64) *host {
	fleet := s.script.Fleet
	index := len(s.hosts)
	name := fmt.Sprintf("s-%08x", newRandom(s.seed, "host", index).Uint32())
	h := &host{machine: newMachine(name, index%fleet.Zones), world: s, random: newRandom(s.seed, "box", index)}
	h.capacity = fleet.Capacity * (1 + fleet.CapacitySpread*(2*h.random.Float64()-1))
	h.start()
	h.startedAt = startedAt
	s.hosts = append(s.hosts, h)
	s.hostsByName[h.name] = h
	if startedAt == 0 {
		s.discovery.addListed(h)
	} else {
		s.discovery.announce(h, statusServing)
	}
	return h
}

// scheduleArrivals has clients of a service type arrive at random times, until the script's duration is over.
func (s *simulation) scheduleArrivals(trafficIndex int, t Traffic, random *rand.Rand) {
	if t.Rate <= 0 {
		return
	}
	s.After(random.ExpFloat64()/t.Rate, func() {
		if s.Now > s.script.Duration {
			return
		}
		s.newClient(trafficIndex, t, random.IntN(s.script.Fleet.Zones)).connect()
		s.scheduleArrivals(trafficIndex, t, random)
	})
}

// newClient adds a client of a service type in a zone.
func (s *simulation) newClient(trafficIndex int, t Traffic, zone int) *client {
	index := len(s.clients)
	c := &client{machine: newMachine(fmt.Sprintf("c%d", index), zone), world: s, traffic: t, trafficIndex: trafficIndex,
		random: newRandom(s.seed, "client", index)}
	c.key = c.random.Uint64() | 1
	c.remaining = t.MeanLifetime*c.random.ExpFloat64() + minLifetime
	c.load = t.Load * (0.5 + c.random.Float64())
	if t.GroupSize > 0 {
		c.group = uint64(1 + index/t.GroupSize + trafficIndex<<20)
	}
	s.clients = append(s.clients, c)
	return c
}

// pickNode draws a node for a client of a zone: one that runs, in the same zone if there is one. It returns nil if no
// node runs.
func (s *simulation) pickNode(zone int) *nodeProcess {
	var sameZone, running []*nodeProcess
	for _, n := range s.nodes {
		if !n.running || n.vanished {
			continue
		}
		running = append(running, n)
		if n.zone == zone {
			sameZone = append(sameZone, n)
		}
	}
	candidates := running
	if len(sameZone) > 0 {
		candidates = sameZone
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[s.random.IntN(len(candidates))]
}

// maintainHosts does the housekeeping of all hosts and schedules the next, until the run is over.
func (s *simulation) maintainHosts() {
	for _, h := range s.hosts {
		h.maintain()
	}
	if s.Now < s.script.Duration+s.script.Settle+finalWait {
		s.After(housekeepingPeriod, s.maintainHosts)
	}
}

// trace adds a line to the trace, with the present time before it.
func (s *simulation) trace(format string, args ...any) {
	text := fmt.Sprintf("%.6f ", s.Now) + fmt.Sprintf(format, args...)
	s.hash.Write([]byte(text))
	s.recentTrace = append(s.recentTrace, text)
	if len(s.recentTrace) > 2*recentLineLimit {
		s.recentTrace = append(s.recentTrace[:0], s.recentTrace[recentLineLimit:]...)
	}
	if s.options.Trace != nil {
		fmt.Fprintln(s.options.Trace, text)
	}
}

// recentLines returns the last lines of the trace.
func (s *simulation) recentLines() []string {
	return slices.Clone(s.recentTrace[max(len(s.recentTrace)-recentLineLimit, 0):])
}

// finish completes the result of the run.
func (s *simulation) finish() *Result {
	r := s.result
	r.ServedShare = s.servedShare()
	for _, h := range s.hosts {
		r.HealthChecks += h.healthChecks
	}
	for _, n := range s.nodes {
		r.CPU += n.cpuSeconds
	}
	r.StorePeak = s.store.peak
	r.StoreRefused = s.store.rejected
	r.Steps = s.Steps
	r.Violations = s.checker.violations
	r.TraceHash = s.hash.Sum64()
	return r
}

// servedShare returns the well-served seconds of all clients over those requested, weighted by priority, or 1 if
// none were requested.
func (s *simulation) servedShare() float64 {
	requested, served := 0.0, 0.0
	for _, c := range s.clients {
		if c.established {
			c.recordService()
		}
		requested += c.traffic.PriorityWeight * c.requestedSeconds
		served += c.traffic.PriorityWeight * c.servedSeconds
	}
	if requested <= 0 {
		return 1
	}
	return served / requested
}

// newRandom returns a random source of its own for an actor, so that the draws of one actor do not shift those of
// another.
func newRandom(seed uint64, actor string, index int) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(actor))
	return rand.New(rand.NewPCG(seed, h.Sum64()+uint64(index)))
}
