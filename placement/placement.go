// Package placement takes every decision of the balancer. The host passes what it sees to the inputs (List,
// Flow, Carried, Established, Ended, Left, LoadNote, DelayNote, Probed, Woken), which only update what is
// known, and then pulls decisions one by one with Next until there is none. The plain types are in types.go;
// flows and servers are small indices given out at the door (internal/lbwire); times are seconds.
package placement

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	spillFactor = 1.25 // the least the design allows
	spillFloor  = 2    // the design's floor: below it counts are chance
	hotLoad     = 0.75 // of what a server can do; 0.65 and 0.85 measured worse
	toldFor     = 8.0  // a report counts; said again after three quarters of it; half and thrice of it alike
	jamHold     = 1.5  // a delay note comes once a second while it holds
	beat        = 0.25 // pace of housekeeping; finer than any hold below
	halfLife    = 8.0  // evidence is halved this often, so that it speaks of the last ten seconds or so
	firstHold   = 1.0  // a server set aside is left alone this long, doubled each time it comes back to fail
	longestHold = 16.0 // so that a mended server is missed for no longer than it takes to notice
	strainRise  = 2.0  // a second, by the share of servers seen tight: a jam is met within a second or so
	strainFade  = 60.0 // so that some quiet minutes bring the ordinary path back; 20 measured worse
	tightHold   = 2.0  // two delay notes' time
	paceReturns = 2.5  // of what a blind node sees tight; 0.9 and 1.5 measured worse with 130 nodes
	searchShare = 0.8  // of what comes back to a blind node goes to a further home; 0 to 0.5 worse
	listPace    = 500  // lines a second that any list service is trusted with
	callSpread  = 2.0  // s; half as much again and 3 s for a call's turn: news counts as told after 6 s
	slack       = 1.1  // over a ceiling before connections are moved: loads swing by as much
	homeFactor  = 2.0  // of the mean held; 1.25 and 3 measured worse
	fewNodes    = 10   // up to here each sees enough of what is common
	backWithin  = 2.0  // for a server put back by hand to be entered by a flow, of the 5 s that are owed
	drainWait   = 3.0  // for a server that drains to send its clients away itself
	probePace   = 0.5  // between probes of one server set aside
	probeNoise  = 4e-3 // what the time of a probe varies by on a sound network
	probeSpread = 3.0  // of the shortest anywhere is sound; measured 1.4 to 4.3 ms
)

type server struct {
	Endpoint
	mark                 uint64  // hash of the id
	listed, byHand       bool    // byHand: an operator took it out
	handAt               float64 // when that was; put back, when it counts as started, if no list tells it
	wanted               float64 // put back: a fresh flow enters here from then on; 0 once one did
	held                 int     // this balancer's connections and connects out
	work                 float64 // their load
	ceiling              float64 // of work, once it was seen to be too much; infinite before
	cutAt, toldAt        float64 // when the ceiling was last lowered, and when a report last came
	load                 float64 // by that report, also another node's: what is asked over what it can do
	drainAt              float64 // when it was first told to drain
	jamAt, fullAt        float64 // last in a jam, last turned a connect away: nothing new for a while
	bad, good            float64 // failures and connects established of late
	aside, probing, news bool    // news: of its load, for the other nodes
	hold                 float64 // for how long it is set aside next time
	askedAt              float64 // last probed
	draw                 float64 // of the group whose homes are walked
	probeAt, least       float64 // when to probe next, the shortest time that a probe took
	round                float64 // draw that rounds what is over a ceiling under one connection
	answers, moves       int     // probes answered in a row; connections moved in this beat
	spent, windowFrom    float64 // in the cold window: connects sent, its start
}

type flow struct {
	kind, tenant         int
	ca, home             uint64  // hashes of the client key and of the group, 0 without one
	live, owed           bool    // the index is in use; a final answer is due
	out, open            bool    // a connect is out, or the connection it became; established
	midFlow, moved, back bool    // back: its last connection broke or was moved
	on                   int     // server that holds a mid-flow connection, where it is known; -1 else
	due, sentAt          float64 // the final answer goes out before due
	load                 float64
	at, ranOn, tries     int     // at: server of the current connect or connection, -1 before the first
	asked                []int   // servers asked already; by index mod 64 two were taken for one past 64 servers
	ranAt                float64 // when the first connect that may have run was sent, -1 for none; ranOn: where
}

// Balancer is one instance; nothing is shared between instances.
type Balancer struct {
	Settings
	servers         []server
	flows           []flow
	base            []int // every listed server by id
	usable          []int // rebuilt for each decision: the ones that take new flows now
	todo            []int // flows that await a decision
	asks            []Decision
	chances         uint64
	tenants         []int // open connections by member; the last is for members without a share
	halveAt, beatAt float64
	typical         []float64          // by service type: load of a connection
	loads, older    map[uint64]float64 // by client key: load by the last note
	gate, gateAt    float64            // most connects out at once while failures are common; infinite else
	aim, least      float64            // the shortest for a message; the shortest time of any probe
	tight           float64            // share of this node's servers in use that were slow of late
	blind           float64            // 1 for a node that holds nothing, near 0 for one of many a server
	strain          float64            // chance that a flow goes to its group's home at once, by jams seen
	widest, due     float64            // the longest list; the members' shares, a server and node
	out             int                // connects out
	given           bool               // a successor takes the flows
	follows, jammed bool               // a subscription stands or is asked for; the last line on jams said so
	roundAt, lookAt float64            // when to ask for all load reports next, and when that was last
	askAt, askGap   float64            // when to ask for the list (again)
}

// New gives an instance that knows nothing but its rundown.
func New(r Settings) *Balancer {
	r.Nodes, r.PollInterval = max(r.Nodes, 1), cmp.Or(r.PollInterval, longestHold)
	if len(r.ServiceTypes) == 0 {
		r.ServiceTypes = make([]ServiceType, 1) // the strictest row for whatever comes
	}
	b := &Balancer{Settings: r, tenants: make([]int, len(r.Quotas)+1), beatAt: -1,
		loads: map[uint64]float64{}, typical: make([]float64, len(r.ServiceTypes)), gate: math.Inf(1), gateAt: -99,
		aim: math.Inf(1), strain: 1 - 1/float64(r.Nodes), blind: 1}
	for _, t := range r.ServiceTypes {
		b.aim = min(b.aim, cmp.Or(t.MessageObjective, b.aim))
	}
	return b
}

// chance is even over [0, 1), from the seed and a counter.
func (b *Balancer) chance() float64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], b.Seed) // the counter last left near seeds alike
	binary.LittleEndian.PutUint64(buf[8:], b.chances)
	b.chances++
	return float64(xxhash.Sum64(buf[:])>>11) / (1 << 53)
}

func (b *Balancer) say(format string, args ...any) {
	b.asks = append(b.asks, Decision{Action: Log, Message: fmt.Sprintf(format, args...)})
}

func unknown() server {
	return server{hold: firstHold, ceiling: math.Inf(1), toldAt: -99, cutAt: -99, fullAt: -99, jamAt: -99}
}

func (b *Balancer) server(at int) *server {
	for len(b.servers) <= at {
		b.servers = append(b.servers, unknown())
	}
	return &b.servers[at]
}

// ---- the list ----

// UpdateEndpoints takes what the list of servers tells.
func (b *Balancer) UpdateEndpoints(now float64, kind ListKind, items []Endpoint) {
	if kind == ListFailed || kind == ListTimedOut {
		// Found at each node by its own clock, which spreads the calls already; seconds are lost by then.
		wait := b.chance() * min(b.listTime(), 1.5)
		if kind == ListFailed {
			b.askGap = min(max(2*b.askGap, beat, b.listTime()/2), max(b.listTime(), beat, min(1, b.PollInterval/2)))
			wait = b.askGap * (0.5 + b.chance())
		}
		b.follows, b.askAt = false, now+wait
		b.say("list call failed, next in %.1f s, %d servers known", b.askAt-now, len(b.base))
		return
	}
	for i := range b.servers { // a whole list begins anew
		b.servers[i].listed = b.servers[i].listed && kind == ListChanges
	}
	before := len(b.base)
	for _, it := range items {
		s := b.server(it.Server)
		if it.StartedAt != s.StartedAt { // a fresh process: what was known of the old one is void
			old := *s
			*s = unknown()
			s.held, s.work, s.probing = old.held, old.work, old.probing
			if s.byHand, s.wanted = old.byHand, old.wanted; s.byHand {
				s.handAt = old.handAt
			}
		}
		if it.State == Draining && s.State != Draining {
			s.drainAt = now
		}
		s.Endpoint, s.listed, s.mark = it, it.State != Removed, mix(uint64(it.ID))
	}
	b.base = b.base[:0]
	for i := range b.servers {
		if b.servers[i].listed {
			b.base = append(b.base, i)
		}
	}
	b.widest, b.due = max(b.widest, float64(len(b.base))), 0
	for _, quota := range b.Quotas { // a shorter list has no more to bear: its servers are the same
		b.due += quota / b.widest / float64(b.Nodes)
	}
	if b.askGap = 0; kind == ListCached { // nodes that start together do not call together
		b.askAt = now + b.chance()*b.listTime()
	}
	slices.SortFunc(b.base, func(x, y int) int { return cmp.Compare(b.servers[x].ID, b.servers[y].ID) })
	if len(b.base) != before {
		b.say("base list of %d servers, was %d", len(b.base), before)
	}
}

// SetDisabled takes an operator's word that a server takes nothing new (out), or may again; false where it held
// already. Guards against a later list undoing it: neither list nor probes touch it.
func (b *Balancer) SetDisabled(now float64, at int, out bool) bool {
	s := b.server(at)
	if s.byHand == out {
		return false
	}
	if out {
		s.byHand, s.handAt, s.wanted = true, now, 0
		b.say("server %d taken out by hand, %d connections on it", s.ID, s.held)
		return true
	}
	old := *s // its operators vouch for it: what was judged of it is void
	*s = unknown()
	s.Endpoint, s.mark, s.listed = old.Endpoint, old.mark, old.listed
	if s.StartedAt < old.handAt { // most likely restarted meanwhile, of which a late list tells nothing yet
		s.handAt = now
	}
	s.held, s.work, s.probing, s.drainAt = old.held, old.work, old.probing, old.drainAt
	s.wanted = now + backWithin*b.chance()*(1-1/float64(b.Nodes)) // all nodes hear of it in one moment
	b.say("server %d put back by hand", s.ID)
	return true
}

// Unavailable gives the length of the list, and how many on it take no new flows now.
func (b *Balancer) Unavailable(now float64) (listed, avoided int) {
	b.survey(now, false)
	return len(b.base), len(b.base) - len(b.usable)
}

// listTime is what all nodes' calls for the whole list may take, within the time in which each has to ask.
func (b *Balancer) listTime() float64 {
	return min(float64(b.Nodes*len(b.base))/listPace, b.PollInterval/2, callSpread)
}

// ---- flows ----

func mix(key uint64) uint64 {
	var buf [8]byte
	binary.BigEndian.PutUint64(buf[:], key)
	return xxhash.Sum64(buf[:])
}

func (b *Balancer) take(id int, a Arrival) *flow {
	for len(b.flows) <= id {
		b.flows = append(b.flows, flow{})
	}
	// Without a client key the group stands in for it, and without a group chance.
	key := cmp.Or(a.ClientKey, a.GroupKey, math.Float64bits(b.chance()))
	b.flows[id] = flow{live: true, kind: min(max(a.Type, 0), len(b.ServiceTypes)-1),
		tenant: min(max(a.Tenant, 0), len(b.Quotas)), ca: mix(key), midFlow: a.MidFlow, back: a.Returning, on: a.HeldBy - 1,
		load: max(a.Load, 0), at: -1, ranAt: -1, asked: b.flows[id].asked[:0]}
	if a.GroupKey != 0 {
		b.flows[id].home = mix(a.GroupKey)
	}
	return &b.flows[id]
}

// AddFlow takes an arriving flow, which is owed one final answer.
func (b *Balancer) AddFlow(now float64, id int, a Arrival) {
	f := b.take(id, a)
	f.owed, f.due = true, now+a.Timeout-3*b.Tick // so that the answer is out before the client gives up
	b.todo = append(b.todo, id)
}

// RestoreFlow takes a connection that was passing through when this balancer started.
func (b *Balancer) RestoreFlow(now float64, id int, a Arrival, on int) {
	f := b.take(id, a)
	f.tries, f.sentAt = 1, now
	b.hold(f, on)
	b.opened(f)
}

func (b *Balancer) hold(f *flow, on int) {
	s := b.server(on)
	f.at, f.out, f.load = on, true, b.loadOf(f)
	s.held++
	s.work += f.load
	b.out++
}

func (b *Balancer) letGo(f *flow) {
	s := &b.servers[f.at]
	s.held--
	s.work -= f.load
	if f.open {
		b.tenants[f.tenant]--
	} else {
		b.out--
	}
	f.out, f.open = false, false
}

func (b *Balancer) opened(f *flow) {
	f.open, f.owed = true, false
	b.out--
	b.tenants[f.tenant]++
}

func (b *Balancer) usualLoad(kind int) float64 {
	return cmp.Or(b.typical[kind], 0.02) // before any note any figure does, as it is compared with itself
}

// meanLoad is the mean of the usual loads, a unit that does not hang on the order of the service types.
func (b *Balancer) meanLoad() (mean float64) {
	for kind := range b.ServiceTypes {
		mean += b.usualLoad(kind) / float64(len(b.ServiceTypes))
	}
	return mean
}

// loadOf is what a flow is expected to ask: what its client asked last, what was told, or what is usual.
func (b *Balancer) loadOf(f *flow) float64 {
	return cmp.Or(b.loads[f.ca], b.older[f.ca], f.load, b.usualLoad(f.kind))
}

// overShare tells whether a member holds more here than this node's part of its share.
func (b *Balancer) overShare(tenant int) bool {
	return tenant < len(b.Quotas) && float64(b.tenants[tenant]*b.Nodes) > b.Quotas[tenant]
}

func (b *Balancer) known(id int) bool { return id >= 0 && id < len(b.flows) && b.flows[id].live }

// Established takes the news that a connect is up.
func (b *Balancer) Established(id, try int) {
	if !b.known(id) || !b.flows[id].out || b.flows[id].open || try != b.flows[id].tries-1 {
		return
	}
	b.opened(&b.flows[id])
	b.servers[b.flows[id].at].good++
	b.gate += 1 / max(b.gate, 1) // one more a round of connects, as long as none fails
}

// AttemptEnded takes the end of a connect or of the connection it became; over says that the flow is finished.
func (b *Balancer) AttemptEnded(now float64, id, try int, how Outcome, over bool) {
	if !b.known(id) {
		return
	}
	f := &b.flows[id]
	if f.out && try == f.tries-1 {
		wasOpen := f.open
		b.letGo(f)
		b.judge(now, f, how, wasOpen)
		if !how.NeverRan() && f.ranAt < 0 {
			f.ranAt, f.ranOn = f.sentAt, f.at
		}
	}
	if f.owed = f.owed && !over && how != Served; f.owed && !f.out {
		b.todo = append(b.todo, id)
	}
}

// ClientLeft takes the news that the client is gone.
func (b *Balancer) ClientLeft(id int) {
	if b.known(id) {
		b.flows[id].owed = false
	}
}

// Release tells whether nothing more can come for a flow; its index may then be used again.
func (b *Balancer) Release(id int) bool {
	if !b.known(id) || b.flows[id].owed || b.flows[id].out {
		return false
	}
	b.flows[id].live = false
	return true
}

// ---- what outcomes, notes and probes tell of servers ----

func (b *Balancer) judge(now float64, f *flow, how Outcome, wasOpen bool) {
	s := &b.servers[f.at]
	switch {
	case how == Rejected:
		s.fullAt = now
		return
	case wasOpen && how == ConnectionLost:
		s.jamAt = now
		b.lower(now, s, 0.9) // 0.97 measured alike
		return
	case wasOpen, how == Served, how == Canceled, how == NotSent, how == Failed && f.ranAt >= 0:
		return // a flow that errs again tells of itself
	}
	s.bad++
	bad, all, out, ready := 0.0, 0.0, 1, 0
	for _, i := range b.base {
		o := &b.servers[i]
		if o != s { // one sick server is no sign of what they share
			bad, all = bad+o.bad, all+o.bad+o.good
		}
		if o.State == Ready {
			ready++
			if o.aside {
				out++
			}
		}
	}
	common, most := bad/max(all, 1), max(1, ready/3)
	// Guards against a shared store taken for sick servers: where one in twenty errs or gets no answer, and
	// as many fail at the others, fewer go out: once for all on their way. What breaks is a server that died.
	if (how == Failed || how == TimedOut) && common > 0.05 && now-b.gateAt >= 0.2 {
		if math.IsInf(b.gate, 1) {
			b.say("failures common, %.0f%% of connects: gate at %d out", 100*common, b.out)
		}
		b.gateAt = now
		b.gate = max(1, 0.7*min(b.gate, float64(b.out+1))) // halving measured no better
	}
	// Guards against many dead servers, where a list is late, being taken for a trouble that all share.
	if how == ConnectFailed {
		common, most = 0, max(1, ready*2/3)
	}
	if s.bad/(s.bad+s.good) > 0.2+2*common && !s.aside && s.listed && out <= most {
		s.aside, s.answers, s.probeAt = true, 0, now+s.hold
		b.say("server %d set aside for %.1f s: %.1f failures to %.1f established, %d of %d out", s.ID, s.hold,
			s.bad, s.good, out, ready)
		s.hold = min(2*s.hold, longestHold)
	}
}

// lower puts a server's ceiling under what it holds: what is there is too much.
func (b *Balancer) lower(now float64, s *server, by float64) {
	if now-s.cutAt < 1 { // delay notes come once a second
		return
	}
	s.cutAt = now
	s.ceiling = max(by*min(s.work, s.ceiling), b.meanLoad()*(1-b.blind)) // lower floors measured worse
	// Guards against a floor of one connection a node, which for a hundred nodes is no ceiling.
	s.round = b.chance()
}

// ReportLoad takes the load of an open connection.
func (b *Balancer) ReportLoad(id int, load float64) {
	if !b.known(id) || b.flows[id].moved || !(load >= 0) {
		return
	}
	f := &b.flows[id]
	if f.out {
		b.servers[f.at].work += load - f.load
	}
	f.load = load
	if len(b.loads) >= 5000 { // a bound on memory, not a tuning; half of it outlives each turn
		b.older, b.loads = b.loads, map[uint64]float64{}
	}
	b.loads[f.ca] = load
	for k := range b.typical {
		if b.typical[k] == 0 { // the first note stands for all types until their own come
			b.typical[k] = load
		}
	}
	b.typical[f.kind] += (load - b.typical[f.kind]) / 32 // a few dozen notes are fresh enough
}

// ReportDelay takes how long a message takes now at the server of an open connection.
func (b *Balancer) ReportDelay(now float64, id int, delay float64) {
	if !b.known(id) || !b.flows[id].open {
		return
	}
	b.slow(now, &b.servers[b.flows[id].at], delay)
}

// slow takes how long a message takes at a server now, or what stands in for that.
func (b *Balancer) slow(now float64, s *server, delay float64) {
	if delay > b.aim {
		s.jamAt = now
	}
	if delay > b.aim/3 { // told from a third on; less means it has cleared
		b.lower(now, s, max(0.8, 1-0.05*delay/b.aim)) // 3 and 10% an aim measured worse
	}
}

// HealthChecked takes the result of a probe.
func (b *Balancer) HealthChecked(now float64, at int, how Outcome, r LoadReport) {
	if at < 0 || at >= len(b.servers) {
		return
	}
	s := &b.servers[at]
	s.probing = false
	s.answers++
	if how != Served {
		s.answers = 0
	} else if r.Load >= 0 {
		b.report(now, at, r.Load)
	} else if b.TimeHealthChecks && r.RoundTrip > 0 { // guards against jams that no note tells of
		b.least = min(cmp.Or(b.least, r.RoundTrip), r.RoundTrip)
		s.least = min(cmp.Or(s.least, r.RoundTrip), r.RoundTrip, probeSpread*b.least)
		b.slow(now, s, 4*b.aim*math.Pow((r.RoundTrip-s.least)/(s.least+probeNoise), 2))
	}
	if s.aside && s.answers >= 2 {
		s.aside, s.bad, s.good = false, 0, 0
		b.say("server %d back after %d probes answered", s.ID, s.answers)
	}
}

// report takes what this node's probe told of a load, and passes on what the other nodes would not expect.
func (b *Balancer) report(now float64, at int, load float64) {
	s := &b.servers[at]
	hot, was := load > hotLoad, s.hot(now)
	if b.LoadGossip && hot && was && now-s.toldAt < 0.75*toldFor {
		return
	}
	s.news = b.LoadGossip && (hot || was && load < hotLoad-0.1)
	s.load, s.toldAt = load, now
}

// GossipReceived takes another node's word of a server's load.
func (b *Balancer) GossipReceived(now float64, at int, load float64) {
	s := b.server(at)
	s.load, s.toldAt, s.news = load, now, false
}

// hot tells whether a server was reported so loaded of late that its messages wait.
func (s *server) hot(now float64) bool { return s.load > hotLoad && now-s.toldAt < toldFor }

// Woken takes a wake that was asked for.
func (b *Balancer) Woken(now float64) {
	if now >= b.beatAt-b.Tick {
		b.beatAt = -1
	}
	b.look(now)
	if !math.IsInf(b.gate, 1) && now-b.gateAt > 5 && b.gate > float64(4*b.out+8) {
		b.gate = math.Inf(1)
		b.say("gate open again, %d connects out", b.out)
	}
	if now >= b.halveAt {
		b.halveAt = now + halfLife
		for i := range b.servers {
			b.servers[i].bad /= 2
			b.servers[i].good /= 2
		}
	}
}

// look raises the ceilings and takes stock of jams. One dropped when its server is empty lets all rush in.
func (b *Balancer) look(now float64) {
	holding, tight, held, usual := 0.0, 0.0, 0.0, max(b.due/2, b.blind)*b.meanLoad()
	for i := range b.servers {
		s := &b.servers[i]
		s.moves = 0
		if now-s.cutAt > jamHold {
			// Guards against one lowered when next to nothing was known of the loads there, which would stay.
			s.ceiling += 0.02 * max(s.ceiling, usual)
		}
		if s.held > 0 {
			holding++
			held += float64(s.held)
			if now-s.cutAt < tightHold {
				tight++
			}
		}
	}
	b.tight = tight / max(holding, 1)
	b.strain += beat * (strainRise*b.tight*(1-b.strain) - b.strain/strainFade)
	b.blind = 1 / (1 + held/max(float64(len(b.base)), 1))
	if b.jammed && b.tight < 0.1 || !b.jammed && b.tight > 0.5 {
		b.jammed = !b.jammed
		b.say("jammed: %v, %.0f of %.0f servers in use slow, %.0f%% sent home",
			b.jammed, tight, holding, 100*b.strain)
	}
}

// ---- the path ----

// survey rebuilds the usable servers by id: ready, not out by hand or just full and, if any, not aside.
func (b *Balancer) survey(now float64, mid bool) {
	for _, asideToo := range [2]bool{false, true} {
		b.usable = b.usable[:0]
		for _, i := range b.base {
			if s := &b.servers[i]; s.State == Ready && !s.byHand && (asideToo || !s.aside) &&
				(mid || now-s.fullAt >= 1) {
				b.usable = append(b.usable, i)
			}
		}
		if len(b.usable) > 0 {
			return
		}
	}
}

// warmth is the share of its capacity that a server has at the least by now.
func (b *Balancer) warmth(now float64, s *server) float64 {
	since := max(s.StartedAt, s.handAt)
	if since <= 0 || b.SlowStartTime <= 0 || now-since >= b.SlowStartTime {
		return 1
	}
	return b.SlowStartShare + (1-b.SlowStartShare)*max(now-since, 0)/b.SlowStartTime
}

// mayTake keeps to this node's part of a cold server's budget in a window: what a warm server's connections,
// spread over the warm-up, come to, times its warmth; at the least one connect by the chance least.
func (b *Balancer) mayTake(now float64, s *server, warm, mean, least float64) bool {
	span := cmp.Or(b.OverloadWindow, 1)
	if from := math.Floor(now/span) * span; from != s.windowFrom { // on the one clock, so at all nodes alike
		s.windowFrom, s.spent = from, 0
	}
	// Guards against a part that is void in nearly every window, as one of many nodes sees a flow in seconds:
	// cold servers stood empty beside jammed ones. Draws are dealt evenly apart, so that equal parts sum up to
	// their mean and one: independent ones overfill a server whose budget is near the number of nodes.
	turn := mix(mix(s.mark^math.Float64bits(max(s.StartedAt, s.handAt))) ^ math.Float64bits(s.windowFrom))
	luck := float64((turn>>32+uint64(b.NodeNumber))%uint64(b.Nodes)) + float64(uint32(turn))/(1<<32)
	part := max(least, 1/float64(b.Nodes), warm*max(mean, b.due)*b.OverloadMultiple/2*b.OverloadWindow/b.SlowStartTime)
	// Nothing where another process of this node may have spent it: before it handed over, or began anew.
	return warm >= 1 || !b.given && s.windowFrom > b.StartedAt && s.spent+1 <= part+luck/float64(b.Nodes)
}

// lawful tells whether a further connect of f may go to server at: no effect twice.
func (b *Balancer) lawful(now float64, f *flow, at int) bool {
	t := &b.ServiceTypes[f.kind]
	if f.ranAt < 0 || t.Idempotency == Idempotent {
		return true
	}
	if t.Idempotency == AtMostOnce || now+b.DialTimeout >= f.ranAt+t.KeyLifetime {
		return false
	}
	was, to := b.servers[f.ranOn].Endpoint, b.servers[at].Endpoint
	return t.KeyScope == KeyScopeAll || t.KeyScope == KeyScopeZone && was.Zone == to.Zone ||
		t.KeyScope == KeyScopeCell && was.Cell == to.Cell
}

// rejectable tells whether the client may be told that a retry is safe.
func (b *Balancer) rejectable(now float64, f *flow, away float64) bool {
	t := &b.ServiceTypes[f.kind]
	return f.ranAt < 0 || t.Idempotency == Idempotent ||
		t.Idempotency == IdempotentWithKey && t.KeyScope == KeyScopeAll && now+away < f.ranAt+t.KeyLifetime
}

// enter gives the place among the usable where a flow enters, the cap there, and past which draw of its
// group's homes it goes on.
func (b *Balancer) enter(f *flow, mid bool, mean float64) (entry int, full, after float64) {
	if entry = slices.Index(b.usable, b.base[f.ca%uint64(len(b.base))]); entry < 0 {
		entry = int(f.ca % uint64(len(b.usable)))
	}
	full, after = max(spillFloor, spillFactor*mean), -1
	if on := slices.Index(b.usable, f.on); mid && on >= 0 {
		return on, full, after
	}
	if f.home == 0 {
		return entry, full, after
	}
	// By the client, so that one handed over mid-flow is looked for where it most likely went. What comes back had
	// too much where it was: home, or the next two. Others go home as strain is seen. But where one connection a
	// node is more than these three bear, "home" is, for each client, one of as many homes as bear that.
	homes, part := int(min(1/cmp.Or(b.due, 1), float64(len(b.base)))), float64(f.ca>>11)/(1<<53)
	search, rank := (f.back || mid) && part < searchShare*b.blind, 0
	if homes > 3 {
		rank = int(part * float64(homes))
	} else if search {
		rank = 1 + int(2*part/(searchShare*b.blind))
	}
	for range rank {
		_, after = b.homeOf(f.home, after)
	}
	next, _ := b.homeOf(f.home, after)
	if f.back || search || mid && homes > 3 && b.strain > 0.5 || b.chance() < b.strain {
		// Guards against a large group jamming its home: a node that holds few a server sends on sooner.
		entry, full = next, min(full, math.Ceil(max(1, homeFactor*mean))-1)
	}
	return entry, full, after
}

// returned gives a server put back by hand that no flow has entered since, or -1: each node sends one at the
// most, as far as a cold server bears that. Guards against one that stands empty for long in thin traffic.
func (b *Balancer) returned(now float64, f *flow, mean float64) int {
	for _, at := range b.usable {
		if s := &b.servers[at]; f.tries == 0 && !f.midFlow && s.wanted > 0 && now >= s.wanted {
			s.wanted = 0
			if b.chance() < b.warmth(now, s)*mean*b.OverloadMultiple/2*backWithin/cmp.Or(b.OverloadWindow, 1) {
				return at
			}
		}
	}
	return -1
}

// place walks the design's path and returns a server, or -1.
func (b *Balancer) place(now float64, f *flow) int {
	mid := f.midFlow && f.tries == 0
	b.survey(now, mid)
	m, mean := len(b.usable), 0.0
	if m == 0 {
		return -1
	}
	for _, i := range b.usable {
		mean += float64(b.servers[i].held) / float64(m)
	}
	if at := b.returned(now, f, mean); at >= 0 {
		return at
	}
	entry, full, after := b.enter(f, mid, mean)
	spare, load := 1.0, b.loadOf(f)
	if b.overShare(f.tenant) {
		spare = 0.8 // what is scarce goes first to members within their share
	}
	// A group shares its work: what spills goes from home to home, or on by id where this node sees much.
	best, least, gather := -1, math.Inf(1), f.home != 0 && b.chance() < 2*b.blind
	for k := range m + 1 {
		if k == 1 && f.home != 0 || k > 1 && gather {
			entry, after = b.homeOf(f.home, after)
		} else if k > 0 {
			entry = (entry + 1) % m
		}
		at := b.usable[entry]
		s := &b.servers[at]
		warm := b.warmth(now, s)
		// All nodes' part: the rule's multiple of its even share. Guards against a cold server that is the last.
		share := warm * min(1, b.OverloadMultiple/2/max(float64(m), float64(len(b.base))/2))
		if k == 0 {
			share = warm * min(1, b.OverloadMultiple/2*float64(m)/float64(len(b.base)))
		}
		if mid && k == 0 && b.mayTake(now, s, warm, mean, share) {
			return at
		}
		if s.work+load > spare*s.ceiling || now-s.jamAt < jamHold {
			continue
		}
		if slices.Contains(f.asked, at) || !b.lawful(now, f, at) || !b.mayTake(now, s, warm, mean, share) {
			continue
		}
		over := float64(s.held) / warm
		if s.hot(now) { // after all that are not, the least loaded first
			over += 99 * s.load
		} else if float64(s.held) <= full*warm && (warm >= 1 || mean < 1 || b.chance() < warm) {
			return at
		}
		if over < least {
			best, least = at, over
		}
	}
	return best
}

// homeOf is a group's next home past the one whose draw is after, -1 for the first: homes go by their draws
// from both hashes over the size, so that a new list moves few groups and what spills gathers at the second.
func (b *Balancer) homeOf(home uint64, after float64) (place int, draw float64) {
	draw = math.Inf(1)
	for k, i := range b.usable {
		s := &b.servers[i]
		if after < 0 { // a walk begins: its draws are kept for it
			s.draw = float64(^mix(home^s.mark)) / cmp.Or(s.Size, 1)
		}
		if s.draw < draw && s.draw > after {
			place, draw = k, s.draw
		}
	}
	if math.IsInf(draw, 1) && after >= 0 {
		return b.homeOf(home, -1)
	}
	return place, draw
}

// unsure tells whether this node, one of many, holds too little to tell a sick server from what all share.
func (b *Balancer) unsure() bool { return b.blind*(1-fewNodes/float64(b.Nodes)) > 0.5 }

// timeout splits what is left before the connect timeout, so that a further connect fits. Guards against a
// store that is kept full by what was given up in its queue and sent again: who is unsure waits it out.
func (b *Balancer) timeout(now float64, f *flow) float64 {
	left := f.due - now
	if f.tries+1 >= b.MaxAttempts || b.ServiceTypes[f.kind].Idempotency == AtMostOnce || b.unsure() {
		return left
	}
	return min(left, max(b.ServiceTypes[f.kind].SetupObjective, left/2))
}

func (b *Balancer) settle(now float64, id int) (Decision, bool) {
	f := &b.flows[id]
	if !f.owed || f.out {
		return Decision{}, false
	}
	// Guards against dropped clients that bounce from jam to jam where a node sees too little to find room.
	paced := f.back && !f.midFlow && f.tries == 0 && b.chance() < paceReturns*b.tight*b.blind
	// Guards against the gate's floor of one connect a node, where what failed at a shared store goes out again.
	spent := f.ranAt >= 0 && !math.IsInf(b.gate, 1) && b.unsure()
	if now < f.due && f.tries < b.MaxAttempts && (float64(b.out) < b.gate || f.midFlow) && !paced && !spent {
		if at := b.place(now, f); at >= 0 {
			within := b.timeout(now, f)
			b.hold(f, at)
			f.tries, f.sentAt = f.tries+1, now
			f.asked = append(f.asked, at)
			b.servers[at].spent++
			b.servers[at].wanted = 0
			return Decision{Action: Connect, Flow: id, Server: at, Seconds: within}, true
		}
	}
	f.owed = false
	away := b.MaxRetryAfter * (0.25 + 0.5*b.chance()) // spread, so that they do not return together
	if b.rejectable(now, f, away) {
		return Decision{Action: Reject, Flow: id, Seconds: away}, true
	}
	return Decision{Action: Abort, Flow: id}, true
}

// over tells whether a server holds too much: anything, once it drains, as clients must move before it goes.
// What is over by less than one connection counts by chance, so that all nodes together move a part of it.
func (b *Balancer) over(now float64, s *server) bool {
	return s.byHand || s.State == Draining && now-s.drainAt > drainWait || s.work > slack*s.ceiling &&
		(s.ceiling >= b.meanLoad() || s.work-s.ceiling > s.round*s.work)
}

// excess moves connections off servers above their ceiling: members over their share first, then the heaviest
// for their service type, so that none bears it alone. One a beat for each tenth of what a server holds.
func (b *Balancer) excess(now float64) {
	by := func(id int) float64 {
		f := &b.flows[id]
		if b.overShare(f.tenant) {
			return 10 * f.load / b.usualLoad(f.kind)
		}
		return f.load / b.usualLoad(f.kind)
	}
	var over []int
	for id := range b.flows {
		f := &b.flows[id]
		if f.open && !f.moved && f.load > 0 && b.over(now, &b.servers[f.at]) {
			over = append(over, id)
		}
	}
	slices.SortStableFunc(over, func(x, y int) int { return cmp.Compare(by(y), by(x)) })
	for _, id := range over {
		f := &b.flows[id]
		if s := &b.servers[f.at]; b.over(now, s) && s.moves <= s.held/10 {
			s.moves++
			s.work -= f.load
			f.load, f.moved = 0, true
			b.asks = append(b.asks, Decision{Action: Migrate, Flow: id})
		}
	}
}

// Next gives the next decision, or false when there is none for now.
func (b *Balancer) Next(now float64) (Decision, bool) {
	for len(b.todo) > 0 {
		id := b.todo[0]
		b.todo = b.todo[1:]
		if d, ok := b.settle(now, id); ok {
			return d, true
		}
	}
	if b.beatAt < 0 {
		b.beatAt = now + beat
		b.excess(now)
		for i := range b.servers { // together: one message costs less than a word each
			if s := &b.servers[i]; s.news {
				s.news = false
				b.asks = append(b.asks, Decision{Action: GossipLoad, Server: i, Load: s.load})
			}
		}
		b.asks = append(b.asks, Decision{Action: Wake, Seconds: beat})
	}
	if len(b.asks) > 0 {
		d := b.asks[0]
		b.asks = b.asks[1:]
		return d, true
	}
	if b.WatchEndpoints && !b.follows && now >= b.askAt {
		b.follows = true
		return Decision{Action: WatchEndpoints}, true
	}
	// All at once, so that what they tell goes out in one message; at chance, as nodes may start together.
	if b.LoadReports && now >= b.roundAt {
		if b.roundAt > 0 {
			b.lookAt = now
		}
		b.roundAt = now + 2*b.chance()*probePace*float64(b.Nodes)
	}
	for i := range b.servers {
		s := &b.servers[i]
		look := b.HealthChecks && (b.LoadReports && s.askedAt < b.lookAt || b.TimeHealthChecks && s.held > 0)
		if !s.aside && !look || s.probing || now < s.probeAt || !s.listed || s.State != Ready ||
			s.byHand || b.given {
			continue
		}
		s.askedAt, s.probeAt = now, now+probePace*(0.75+0.5*b.chance())
		if !s.aside && !(b.TimeHealthChecks && now-s.cutAt < tightHold) {
			s.probeAt += probePace * float64(b.Nodes)
		}
		if b.HealthChecks {
			s.probing = true
			return Decision{Action: CheckHealth, Server: i}, true
		}
		s.aside = false // untested, where no probes are allowed
	}
	return Decision{}, false
}
