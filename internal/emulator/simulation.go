// Package emulator plays whole fleets on a virtual clock: real node cores with stand-in clients, hosts,
// discovery, front and session store, all from one seed. It imitates no platform; its figures are simulated.
package emulator

import (
	"encoding/json"
	"fmt"
	"hash"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/node"
	"gorseledge/internal/settings"
	"gorseledge/placement"
)

var nodeEffects = map[string]string{"repeatable": "repeatable", "referenced": "by_key", "once-only": "once"}

const finalWait = 8.0 // for connects and linger to end once all clients are gone

const recentLineLimit = 40 // of the trace, for the report of a broken rule

// Options are what a play may differ in beside its script and seed.
type Options struct {
	Trace          io.Writer                   // every line of the trace; nil for none
	Permute        bool                        // events of one instant in an order drawn from the seed
	WrapCore       func(c Core) Core           // wraps each core, to show that a checker fires
	AdjustSettings func(r *placement.Settings) // what an experiment changes in the module's rundown
}

// Result is what came of a play. Times are seconds.
type Result struct {
	Scenario                                                            string
	Seed                                                                uint64
	Requested, Established, InTarget, Rejected, Aborted                 int
	Unanswered, Served, Migrated, Disconnected, ListCalls, HealthChecks int
	ServedShare                                                         float64 // value of well-served seconds over that of all asked for
	StorePeak                                                           float64
	StoreRefused                                                        int
	CPU                                                                 float64
	Steps                                                               int
	TraceHash                                                           uint64 // hash of the whole trace
	Violations                                                          []Violation
	setups                                                              *hdrhistogram.Histogram
}

func (r *Result) recordSetup(seconds float64) { r.setups.RecordValue(max(int64(seconds*1e6), 1)) }

// SetupQuantile gives the set-up time that this share of the flows did not pass.
func (r *Result) SetupQuantile(share float64) float64 {
	return float64(r.setups.ValueAtQuantile(100*share)) / 1e6
}

// simulation is one play of a script.
type simulation struct {
	*network
	net            *network
	script         Scenario
	options        Options
	seed           uint64
	startTime      float64 // the time of day at which it begins
	hosts          []*host
	hostsByName    map[string]*host
	nodes          []*nodeProcess
	clients        []*client
	flowsByID      map[string]*flow
	flowCount      int
	discovery      *discovery
	impatientShare float64 // share of the clients that come now and do not wait
	store          *sessionStore
	checker        *checker
	result         *Result
	random         *rand.Rand
	settings       []byte
	recentTrace    []string
	hash           hash.Hash64
}

func zoneName(z int) string { return fmt.Sprintf("z%d", z) }

// Run plays a script once.
func Run(s Scenario, seed uint64, o Options) *Result {
	if s.DrawnFleet {
		s = s.drawFleet(seed)
	}
	w := newWorld(s, seed, o)
	end := s.Duration + s.Settle
	for w.Step(end) {
	}
	for _, c := range w.clients { // all go, and nothing may be left of them
		c.finished = true
		if c.socket != nil {
			c.disconnect(false)
		}
	}
	for w.Step(end + finalWait) {
	}
	for _, n := range w.nodes {
		w.checker.checkReleased(n)
	}
	return w.finish()
}

func newWorld(s Scenario, seed uint64, o Options) *simulation {
	w := &simulation{script: s, options: o, seed: seed, startTime: 1e9, hostsByName: map[string]*host{}, flowsByID: map[string]*flow{},
		random: newRandom(seed, "world", 0), hash: fnv.New64a()}
	w.net = &network{random: newRandom(seed, "network", 0), delayWithinZone: s.Network.DelayWithinZone, delayBetweenZones: s.Network.DelayBetweenZones,
		jitter: s.Network.Jitter, bandwidth: s.Network.Bandwidth, splitChance: s.Network.SplitChance}
	w.network = w.net
	if o.Permute {
		w.Permute = newRandom(seed, "order", 0)
	}
	w.result = &Result{Scenario: s.Name, Seed: seed, setups: hdrhistogram.New(1, 1e9, 3)}
	w.checker, w.store = &checker{world: w}, &sessionStore{world: w, callLimit: s.Fleet.StoreCallLimit}
	w.discovery = &discovery{world: w, callRate: s.Fleet.ListCallRate, random: newRandom(seed, "discovery", 0)}
	for range s.Fleet.Hosts {
		w.addHost(0)
	}
	w.settings = w.nodeSettings()
	for i := range s.Fleet.Nodes {
		n := &nodeProcess{machine: newMachine(fmt.Sprintf("n%d", i), i%s.Fleet.Zones), world: w, index: i}
		w.nodes = append(w.nodes, n)
		w.boot(n)
	}
	for k, t := range s.Traffic {
		w.arrivals(k, t, newRandom(seed, t.Name, k))
	}
	for _, f := range append(slices.Clone(s.Faults), w.drawFaults()...) {
		w.At(f.At, func() { w.inject(f) })
	}
	w.maintainHosts()
	return w
}

func (w *simulation) addHost(started float64) *host {
	f := w.script.Fleet
	i := len(w.hosts)
	h := &host{machine: newMachine(fmt.Sprintf("s-%08x", newRandom(w.seed, "host", i).Uint32()), i%f.Zones), world: w, index: i,
		random: newRandom(w.seed, "box", i)}
	h.capacity = f.Capacity * (1 + f.CapacitySpread*(2*h.random.Float64()-1))
	h.start()
	h.startedAt = started
	w.hosts, w.hostsByName[h.name] = append(w.hosts, h), h
	if started == 0 { // there from the first: listed at once
		w.discovery.index++
		w.discovery.changes = append(w.discovery.changes, listChange{w.discovery.index, w.entry(h, "SERVING")})
	} else {
		w.discovery.announce(h, "SERVING")
	}
	return h
}

// boot starts a node's process anew, with the list as it stands at discovery.
func (w *simulation) boot(n *nodeProcess) {
	r, d, err := settings.Parse(w.settings, newRandom(w.seed, n.name, int(w.Now*1e3)).Uint64())
	if err != nil {
		panic(err) // the settings are made here
	}
	r.NodeNumber = n.index
	if w.options.AdjustSettings != nil {
		w.options.AdjustSettings(&r)
	}
	n.running, n.vanished, n.connections, n.notifiedAt = true, false, map[node.Conn]*connection{}, map[string]float64{}
	n.knownStarts = map[string]float64{}
	n.shuttingDown, n.tookOver, n.predecessor, n.successor = false, false, nil, nil
	n.watchState = watchState{startedAt: w.Now, calledAt: w.Now, relocations: w.discovery.relocations}
	n.disabledAt = map[string]float64{} // a process that starts by itself knows of none
	n.lastConn, n.timerGeneration, n.idleAt = n.lastConn|1, n.timerGeneration+1, w.Now
	n.listCalls.end()
	known := w.discovery.completeList()
	n.core = node.New(w.startTime+w.Now, node.Start{Settings: r, Listener: d, CachedList: known, MaxDescriptors: w.script.Fleet.MaxDescriptors})
	if w.options.WrapCore != nil {
		n.core = w.options.WrapCore(n.core)
	}
	n.recordList(known)
	n.deliver(node.TimerFired{})
}

var shutdown node.Input = node.Shutdown{}

func listReceived(l endpoint.List) node.Input            { return node.ListReceived{List: l} }
func watchFailed(why string) node.Input                  { return node.WatchFailed{Reason: why} }
func (w *simulation) flowByID(id string) *flow           { return w.flowsByID[id] }
func (w *simulation) hostByAddress(address string) *host { return w.hostsByName[address] }

// nodeSettings writes what a node is told at its start.
func (w *simulation) nodeSettings() []byte {
	type object = map[string]any
	s, r := w.script, w.script.Rules
	var types []object
	var aims []float64
	for _, t := range s.Traffic {
		types = append(types, object{"name": t.Name, "effect": nodeEffects[t.Effect], "group": "all", "give_up_us": 1e6 * t.ConnectTimeout,
			"setup_target_us": 1e6 * t.SetupObjective, "memory_span_us": 1e6 * t.MemorySpan})
		aims = append(aims, 1e6*t.MessageObjective)
	}
	var zones []string
	for z := range s.Fleet.Zones {
		zones = append(zones, zoneName(z))
	}
	mode := "subscribe"
	if r.Pushed {
		mode = "automatic"
	}
	text, err := json.Marshal(object{"siblings": s.Fleet.Nodes, "granularity_us": 1000, "membership_mode": mode,
		"zones": zones, "service_types": types, "parties": []object{{"name": "all"}},
		"family_info": object{"mode": "proxy", "message_aim_us": aims, "tells_load": true, "tells_delay": true},
		"invariants": object{"ask_within_us": 1e6 * r.PollWithin, "cold_from": s.Fleet.SlowStartFrom,
			"cold_us": 1e6 * s.Fleet.SlowStartTime, "fall_multiple": r.FallMultiple, "fall_us": 1e6 * r.FallTime},
		"limits": object{"dial_timeout_us": 1e6 * r.DialTimeout, "max_connects": r.MaxAttempts, "max_retry_after_us": 1e6 * r.RetryAfter,
			"probes": true, "retry_after": r.RetryAfter > 0}})
	if err != nil {
		panic(err)
	}
	return text
}

// arrivals has new clients of a service type come, at random times.
func (w *simulation) arrivals(kind int, t Traffic, chance *rand.Rand) {
	if t.Rate <= 0 {
		return
	}
	w.After(chance.ExpFloat64()/t.Rate, func() {
		if w.Now > w.script.Duration {
			return
		}
		i := len(w.clients)
		c := &client{machine: newMachine(fmt.Sprintf("c%d", i), chance.IntN(w.script.Fleet.Zones)), world: w, traffic: t, trafficIndex: kind,
			random: newRandom(w.seed, "client", i)}
		c.key, c.remaining = c.random.Uint64()|1, t.MeanLifetime*c.random.ExpFloat64()+0.1
		c.load = t.Load * (0.5 + c.random.Float64())
		if t.GroupSize > 0 {
			c.group = uint64(1 + i/t.GroupSize + kind<<20)
		}
		w.clients = append(w.clients, c)
		c.connect()
		w.arrivals(kind, t, chance)
	})
}

// pickNode names a node for a client of a zone: one that runs, of its zone if there is any.
func (w *simulation) pickNode(zone int) *nodeProcess {
	var near, all []*nodeProcess
	for _, n := range w.nodes {
		if n.running && !n.vanished {
			all = append(all, n)
			if n.zone == zone {
				near = append(near, n)
			}
		}
	}
	if len(near) > 0 {
		all = near
	}
	if len(all) == 0 {
		return nil
	}
	return all[w.random.IntN(len(all))]
}

func (w *simulation) maintainHosts() {
	for _, h := range w.hosts {
		h.maintain()
	}
	if w.Now < w.script.Duration+w.script.Settle+finalWait {
		w.After(0.1, w.maintainHosts)
	}
}

func (w *simulation) trace(format string, args ...any) {
	text := fmt.Sprintf("%.6f ", w.Now) + fmt.Sprintf(format, args...)
	w.hash.Write([]byte(text))
	if w.recentTrace = append(w.recentTrace, text); len(w.recentTrace) > 2*recentLineLimit {
		w.recentTrace = append(w.recentTrace[:0], w.recentTrace[recentLineLimit:]...)
	}
	if w.options.Trace != nil {
		fmt.Fprintln(w.options.Trace, text)
	}
}

func (w *simulation) recentLines() []string {
	return slices.Clone(w.recentTrace[max(len(w.recentTrace)-recentLineLimit, 0):])
}

func (w *simulation) finish() *Result {
	r := w.result
	asked, served := 0.0, 0.0
	for _, c := range w.clients {
		if c.established {
			c.recordService()
		}
		asked += c.traffic.PriorityWeight * c.requestedSeconds
		served += c.traffic.PriorityWeight * c.servedSeconds
	}
	r.ServedShare = 1
	if asked > 0 {
		r.ServedShare = served / asked
	}
	for _, h := range w.hosts {
		r.HealthChecks += h.healthChecks
	}
	for _, n := range w.nodes {
		r.CPU += n.cpuSeconds
	}
	r.StorePeak, r.StoreRefused, r.Steps, r.Violations, r.TraceHash = w.store.peak, w.store.rejected, w.Steps, w.checker.violations, w.hash.Sum64()
	return r
}

// bySerial orders sockets by the machine at their far end and their age, as a map has no order.
func bySerial(all []*socket) {
	slices.SortFunc(all, func(a, b *socket) int { return int(math.Copysign(1, float64(a.serial)-float64(b.serial))) })
}

// newRandom gives a stream of chance of its own, so that one actor's draws do not shift another's.
func newRandom(seed uint64, actor string, n int) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(actor))
	return rand.New(rand.NewPCG(seed, h.Sum64()+uint64(n)))
}
