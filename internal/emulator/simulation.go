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
	shutdownWait       = 8.0 // seconds after the departure of all clients in which attempts and closing connections may end
	recentLineLimit    = 40  // lines of the trace that a violation contains
	runStartUnixTime   = 1e9 // Unix time in seconds at which a run begins
	housekeepingPeriod = 0.1 // seconds between the periodic tasks of hosts
)

// Options modify a run in addition to its script and seed. The zero value modifies nothing.
type Options struct {
	Trace          io.Writer                   // receives every line of the trace; nil for none
	Permute        bool                        // run events that are due at the same time in a random order, generated from the seed
	WrapCore       func(c Core) Core           // wraps each core, for example to plant a fault in it; nil for none
	AdjustSettings func(r *placement.Settings) // modifies the settings of each node; nil for none

	// HoldUpShare is the share of a node's inputs at which its process is held up for up to maxHoldUp. Scripts with upgrades or
	// calls of operators must not use it.
	HoldUpShare float64
	AnswerSlack float64 // seconds after its connect timeout for which a client still waits for its answer
}

// simulation is one run of a script.
type simulation struct {
	*network
	script              Scenario
	options             Options
	seed                uint64
	startTime           float64 // Unix time in seconds at time 0 of the clock
	hosts               []*host // all hosts of the run, including removed ones
	hostsByName         map[string]*host
	nodes               []*nodeProcess // the listening process of each node
	clients             []*client
	flowsByID           map[string]*flow
	flowCount           int
	discovery           *discovery
	earlyDepartureShare float64 // share of the new clients that leave before they are answered
	store               *sessionStore
	checker             *checker
	result              *Result
	random              *rand.Rand
	holdUpRandom        *rand.Rand
	settings            []byte // settings document of every node
	recentTrace         []string
	hash                hash.Hash64
}

func zoneName(zone int) string { return fmt.Sprintf("z%d", zone) }

// Run runs a script once and returns the result.
func Run(script Scenario, seed uint64, o Options) *Result {
	if script.GeneratedFleet {
		script = script.generateFleet(seed)
	}
	s := newSimulation(script, seed, o)
	end := script.Duration + script.Settle
	s.runUntil(end)
	s.disconnectClients()
	s.runUntil(end + shutdownWait)
	for _, n := range s.nodes {
		s.checker.checkReleased(n)
	}
	return s.finish()
}

// newSimulation returns a simulation at time 0, with a running fleet and with all faults and the first arrivals scheduled.
func newSimulation(script Scenario, seed uint64, o Options) *simulation {
	s := &simulation{
		script:       script,
		options:      o,
		seed:         seed,
		startTime:    runStartUnixTime,
		hostsByName:  map[string]*host{},
		flowsByID:    map[string]*flow{},
		random:       newRandom(seed, "world", 0),
		holdUpRandom: newRandom(seed, "hold-up", 0),
		hash:         fnv.New64a(),
		result:       newResult(script.Name, seed),
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
	s.checker = &checker{sim: s}
	s.store = &sessionStore{sim: s, callLimit: timedLimit{normal: script.Fleet.StoreCallLimit}}
	s.discovery = &discovery{
		sim:      s,
		callRate: timedLimit{normal: script.Fleet.ListCallRate},
		random:   newRandom(seed, "discovery", 0),
	}
	s.startFleet()
	for i, t := range script.Traffic {
		s.scheduleArrivals(i, t, newRandom(seed, t.Name, i))
	}
	for _, f := range slices.Concat(script.Faults, s.generateFaults()) {
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
		n := &nodeProcess{machine: newMachine(fmt.Sprintf("n%d", i), i%s.script.Fleet.Zones), sim: s, index: i}
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

// disconnectClients disconnects all clients for good.
func (s *simulation) disconnectClients() {
	for _, c := range s.clients {
		c.finished = true
		if c.socket != nil {
			c.disconnect(false)
		}
	}
}

// addHost adds a host that started at the given time. A host that started at 0 is in the endpoint list immediately, any
// other after the list's delay.
func (s *simulation) addHost(startedAt float64) *host {
	fleet := s.script.Fleet
	index := len(s.hosts)
	name := fmt.Sprintf("s-%08x", newRandom(s.seed, "host", index).Uint32())
	h := &host{machine: newMachine(name, index%fleet.Zones), sim: s, random: newRandom(s.seed, "box", index)}
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

// scheduleArrivals schedules arrivals of clients of a service type, as a Poisson process, until the script's duration is over.
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

// newClient adds a client of a service type in the given zone.
func (s *simulation) newClient(trafficIndex int, t Traffic, zone int) *client {
	index := len(s.clients)
	c := &client{machine: newMachine(fmt.Sprintf("c%d", index), zone), sim: s, traffic: t, trafficIndex: trafficIndex,
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

// pickNode returns a random running node for a client: one in the client's zone if there is any, or else one in another
// zone. It returns nil if no node is running.
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

// maintainHosts runs the periodic tasks of all hosts and schedules the next ones, until the run is over.
func (s *simulation) maintainHosts() {
	for _, h := range s.hosts {
		h.maintain()
	}
	if s.Now < s.script.Duration+s.script.Settle+shutdownWait {
		s.After(housekeepingPeriod, s.maintainHosts)
	}
}

// trace adds a line, prefixed with the present time, to the trace.
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

// servedShare returns the ratio of served to requested seconds of all clients, weighted by priority, or 1 if no seconds
// were requested.
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

// newRandom returns a separate random source for an actor, so that the number of values that one actor draws does not
// change the values of another.
func newRandom(seed uint64, actor string, index int) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(actor))
	return rand.New(rand.NewPCG(seed, h.Sum64()+uint64(index)))
}
