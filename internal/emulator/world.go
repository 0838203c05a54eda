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

var effects = map[string]string{"repeatable": "repeatable", "referenced": "by_key", "once-only": "once"}

const lastWait = 8.0 // for connects and linger to end once all clients are gone

const keptLines = 40 // of the trace, for the report of a broken rule

// Options are what a play may differ in beside its script and seed.
type Options struct {
	Trace   io.Writer                   // every line of the trace; nil for none
	Permute bool                        // events of one instant in an order drawn from the seed
	Wrong   func(c Core) Core           // wraps each core, to show that a checker fires
	Tune    func(r *placement.Settings) // what an experiment changes in the module's rundown
}

// Result is what came of a play. Times are seconds.
type Result struct {
	Scenario                                             string
	Seed                                                 uint64
	Asked, Established, InTarget, Rejected, Aborted      int
	Unanswered, Served, Moved, Broken, ListCalls, Probes int
	Service                                              float64 // value of well-served seconds over that of all asked for
	StorePeak                                            float64
	StoreRefused                                         int
	CPU                                                  float64
	Steps                                                int
	Trace                                                uint64 // hash of the whole trace
	Breaks                                               []Break
	setups                                               *hdrhistogram.Histogram
}

func (r *Result) setup(seconds float64) { r.setups.RecordValue(max(int64(seconds*1e6), 1)) }

// SetupAt gives the set-up time that this share of the flows did not pass.
func (r *Result) SetupAt(share float64) float64 {
	return float64(r.setups.ValueAtQuantile(100*share)) / 1e6
}

// World is one play of a script.
type World struct {
	*network
	net       *network
	script    Scenario
	options   Options
	seed      uint64
	base      float64 // the time of day at which it begins
	hosts     []*host
	byName    map[string]*host
	nodes     []*station
	clients   []*client
	byID      map[string]*flow
	flows     int
	discovery *discovery
	impatient float64 // share of the clients that come now and do not wait
	store     *store
	rules     *rules
	result    *Result
	chance    *rand.Rand
	settings  []byte
	last      []string
	hash      hash.Hash64
}

func zoneName(z int) string { return fmt.Sprintf("z%d", z) }

// Play plays a script once.
func Play(s Scenario, seed uint64, o Options) *Result {
	if s.Any {
		s = s.draw(seed)
	}
	w := newWorld(s, seed, o)
	end := s.Lasts + s.Settle
	for w.Step(end) {
	}
	for _, c := range w.clients { // all go, and nothing may be left of them
		c.gone = true
		if c.s != nil {
			c.quit(false)
		}
	}
	for w.Step(end + lastWait) {
	}
	for _, n := range w.nodes {
		w.rules.left(n)
	}
	return w.finish()
}

func newWorld(s Scenario, seed uint64, o Options) *World {
	w := &World{script: s, options: o, seed: seed, base: 1e9, byName: map[string]*host{}, byID: map[string]*flow{},
		chance: fork(seed, "world", 0), hash: fnv.New64a()}
	w.net = &network{chance: fork(seed, "network", 0), near: s.Network.Near, far: s.Network.Far,
		jitter: s.Network.Jitter, bandwidth: s.Network.Bandwidth, pieces: s.Network.Pieces}
	w.network = w.net
	if o.Permute {
		w.Permute = fork(seed, "order", 0)
	}
	w.result = &Result{Scenario: s.Name, Seed: seed, setups: hdrhistogram.New(1, 1e9, 3)}
	w.rules, w.store = &rules{w: w}, &store{w: w, bears: s.Fleet.Store}
	w.discovery = &discovery{w: w, calls: s.Fleet.Calls, chance: fork(seed, "discovery", 0)}
	for range s.Fleet.Hosts {
		w.addHost(0)
	}
	w.settings = w.tellSettings()
	for i := range s.Fleet.Nodes {
		n := &station{machine: newMachine(fmt.Sprintf("n%d", i), i%s.Fleet.Zones), w: w, index: i}
		w.nodes = append(w.nodes, n)
		w.boot(n)
	}
	for k, t := range s.Traffic {
		w.arrivals(k, t, fork(seed, t.Name, k))
	}
	for _, f := range append(slices.Clone(s.Faults), w.drawn()...) {
		w.At(f.At, func() { w.befall(f) })
	}
	w.beat()
	return w
}

func (w *World) addHost(started float64) *host {
	f := w.script.Fleet
	i := len(w.hosts)
	h := &host{machine: newMachine(fmt.Sprintf("s-%08x", fork(w.seed, "host", i).Uint32()), i%f.Zones), w: w, index: i,
		chance: fork(w.seed, "box", i)}
	h.capacity = f.Capacity * (1 + f.Uneven*(2*h.chance.Float64()-1))
	h.start()
	h.since = started
	w.hosts, w.byName[h.name] = append(w.hosts, h), h
	if started == 0 { // there from the first: listed at once
		w.discovery.index++
		w.discovery.changes = append(w.discovery.changes, change{w.discovery.index, w.entry(h, "SERVING")})
	} else {
		w.discovery.tell(h, "SERVING")
	}
	return h
}

// boot starts a node's process anew, with the list as it stands at discovery.
func (w *World) boot(n *station) {
	r, d, err := settings.Parse(w.settings, fork(w.seed, n.name, int(w.Now*1e3)).Uint64())
	if err != nil {
		panic(err) // the settings are made here
	}
	r.NodeNumber = n.index
	if w.options.Tune != nil {
		w.options.Tune(&r)
	}
	n.running, n.vanished, n.conns, n.told = true, false, map[node.Conn]*port{}, map[string]float64{}
	n.starts = map[string]float64{}
	n.leaving, n.given, n.predecessor, n.successor = false, false, nil, nil
	n.hearing = hearing{bootAt: w.Now, calledAt: w.Now, numbered: w.discovery.moved}
	n.out = map[string]float64{} // a process that starts by itself knows of none
	n.last, n.timer, n.freeAt = n.last|1, n.timer+1, w.Now
	n.calls.end()
	known := w.discovery.whole()
	n.core = node.New(w.base+w.Now, node.Start{Settings: r, Listener: d, CachedList: known, MaxDescriptors: w.script.Fleet.Sockets})
	if w.options.Wrong != nil {
		n.core = w.options.Wrong(n.core)
	}
	n.learned(known)
	n.give(node.TimerFired{})
}

var leave node.Input = node.Shutdown{}

func listed(l endpoint.List) node.Input      { return node.ListReceived{List: l} }
func unlisted(why string) node.Input         { return node.WatchFailed{Reason: why} }
func (w *World) flowOf(id string) *flow      { return w.byID[id] }
func (w *World) hostAt(address string) *host { return w.byName[address] }

// tellSettings writes what a node is told at its start.
func (w *World) tellSettings() []byte {
	type object = map[string]any
	s, r := w.script, w.script.Rules
	var types []object
	var aims []float64
	for _, t := range s.Traffic {
		types = append(types, object{"name": t.Name, "effect": effects[t.Effect], "group": "all", "give_up_us": 1e6 * t.Timeout,
			"setup_target_us": 1e6 * t.Target, "memory_span_us": 1e6 * t.Span})
		aims = append(aims, 1e6*t.Message)
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
		"invariants": object{"ask_within_us": 1e6 * r.AskWithin, "cold_from": s.Fleet.ColdFrom,
			"cold_us": 1e6 * s.Fleet.ColdFor, "fall_multiple": r.FallMultiple, "fall_us": 1e6 * r.FallFor},
		"limits": object{"dial_timeout_us": 1e6 * r.DialTimeout, "max_connects": r.MaxConnects, "max_retry_after_us": 1e6 * r.RetryAfter,
			"probes": true, "retry_after": r.RetryAfter > 0}})
	if err != nil {
		panic(err)
	}
	return text
}

// arrivals has new clients of a service type come, at random times.
func (w *World) arrivals(kind int, t Traffic, chance *rand.Rand) {
	if t.Rate <= 0 {
		return
	}
	w.After(chance.ExpFloat64()/t.Rate, func() {
		if w.Now > w.script.Lasts {
			return
		}
		i := len(w.clients)
		c := &client{machine: newMachine(fmt.Sprintf("c%d", i), chance.IntN(w.script.Fleet.Zones)), w: w, t: t, kind: kind,
			chance: fork(w.seed, "client", i)}
		c.key, c.stay = c.chance.Uint64()|1, t.Lives*c.chance.ExpFloat64()+0.1
		c.load = t.Load * (0.5 + c.chance.Float64())
		if t.Group > 0 {
			c.group = uint64(1 + i/t.Group + kind<<20)
		}
		w.clients = append(w.clients, c)
		c.come()
		w.arrivals(kind, t, chance)
	})
}

// front names a node for a client of a zone: one that runs, of its zone if there is any.
func (w *World) front(zone int) *station {
	var near, all []*station
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
	return all[w.chance.IntN(len(all))]
}

func (w *World) beat() {
	for _, h := range w.hosts {
		h.beat()
	}
	if w.Now < w.script.Lasts+w.script.Settle+lastWait {
		w.After(0.1, w.beat)
	}
}

func (w *World) trace(format string, args ...any) {
	text := fmt.Sprintf("%.6f ", w.Now) + fmt.Sprintf(format, args...)
	w.hash.Write([]byte(text))
	if w.last = append(w.last, text); len(w.last) > 2*keptLines {
		w.last = append(w.last[:0], w.last[keptLines:]...)
	}
	if w.options.Trace != nil {
		fmt.Fprintln(w.options.Trace, text)
	}
}

func (w *World) lately() []string {
	return slices.Clone(w.last[max(len(w.last)-keptLines, 0):])
}

func (w *World) finish() *Result {
	r := w.result
	asked, served := 0.0, 0.0
	for _, c := range w.clients {
		if c.up {
			c.account()
		}
		asked += c.t.Value * c.asked
		served += c.t.Value * c.served
	}
	r.Service = 1
	if asked > 0 {
		r.Service = served / asked
	}
	for _, h := range w.hosts {
		r.Probes += h.probes
	}
	for _, n := range w.nodes {
		r.CPU += n.cpu
	}
	r.StorePeak, r.StoreRefused, r.Steps, r.Breaks, r.Trace = w.store.peak, w.store.refused, w.Steps, w.rules.breaks, w.hash.Sum64()
	return r
}

// bySerial orders sockets by the machine at their far end and their age, as a map has no order.
func bySerial(all []*socket) {
	slices.SortFunc(all, func(a, b *socket) int { return int(math.Copysign(1, float64(a.serial)-float64(b.serial))) })
}

// fork gives a stream of chance of its own, so that one actor's draws do not shift another's.
func fork(seed uint64, actor string, n int) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(actor))
	return rand.New(rand.NewPCG(seed, h.Sum64()+uint64(n)))
}
