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
	spillFactor          = 1.25 // the least the design allows
	minSpillLimit        = 2    // the design's floor: below it counts are chance
	highLoad             = 0.75 // of what a server can do; 0.65 and 0.85 measured worse
	reportValidity       = 8.0  // a report counts; said again after three quarters of it; half and thrice of it alike
	overloadHold         = 1.5  // a delay note comes once a second while it holds
	housekeepingInterval = 0.25 // pace of housekeeping; finer than any hold below
	evidenceHalfLife     = 8.0  // evidence is halved this often, so that it speaks of the last ten seconds or so
	firstEjectionTime    = 1.0  // a server set aside is left alone this long, doubled each time it comes back to fail
	maxEjectionTime      = 16.0 // so that a mended server is missed for no longer than it takes to notice
	overloadRise         = 2.0  // a second, by the share of servers seen tight: a jam is met within a second or so
	overloadFadeTime     = 60.0 // so that some quiet minutes bring the ordinary path back; 20 measured worse
	slowHold             = 2.0  // two delay notes' time
	returnPacing         = 2.5  // of what a blind node sees tight; 0.9 and 1.5 measured worse with 130 nodes
	furtherHomeShare     = 0.8  // of what comes back to a blind node goes to a further home; 0 to 0.5 worse
	listServiceRate      = 500  // lines a second that any list service is trusted with
	maxPollSpread        = 2.0  // s; half as much again and 3 s for a call's turn: news counts as told after 6 s
	thresholdSlack       = 1.1  // over a ceiling before connections are moved: loads swing by as much
	homeLimitFactor      = 2.0  // of the mean held; 1.25 and 3 measured worse
	smallFleet           = 10   // up to here each sees enough of what is common
	reentryTime          = 2.0  // for a server put back by hand to be entered by a flow, of the 5 s that are owed
	drainGrace           = 3.0  // for a server that drains to send its clients away itself
	checkInterval        = 0.5  // between probes of one server set aside
	roundTripNoise       = 4e-3 // what the time of a probe varies by on a sound network
	roundTripSpread      = 3.0  // of the shortest anywhere is sound; measured 1.4 to 4.3 ms
)

type server struct {
	Endpoint
	idHash                           uint64  // hash of the id
	listed, disabled                 bool    // byHand: an operator took it out
	changedAt                        float64 // when that was; put back, when it counts as started, if no list tells it
	enterFrom                        float64 // put back: a fresh flow enters here from then on; 0 once one did
	inFlight                         int     // this balancer's connections and connects out
	assignedLoad                     float64 // their load
	threshold                        float64 // of work, once it was seen to be too much; infinite before
	loweredAt, reportedAt            float64 // when the ceiling was last lowered, and when a report last came
	reportedLoad                     float64 // by that report, also another node's: what is asked over what it can do
	drainingAt                       float64 // when it was first told to drain
	overloadedAt, rejectedAt         float64 // last in a jam, last turned a connect away: nothing new for a while
	failures, successes              float64 // failures and connects established of late
	ejected, checking, gossipPending bool    // news: of its load, for the other nodes
	ejectionTime                     float64 // for how long it is set aside next time
	checkedAt                        float64 // last probed
	homeRank                         float64 // of the group whose homes are walked
	nextCheckAt, shortestCheck       float64 // when to probe next, the shortest time that a probe took
	roundingDraw                     float64 // draw that rounds what is over a ceiling under one connection
	checksPassed, migrations         int     // probes answered in a row; connections moved in this beat
	windowAttempts, windowStart      float64 // in the cold window: connects sent, its start
}

type flow struct {
	serviceType, tenant          int
	clientHash, groupHash        uint64  // hashes of the client key and of the group, 0 without one
	live, unanswered             bool    // the index is in use; a final answer is due
	inFlight, established        bool    // a connect is out, or the connection it became; established
	midFlow, migrated, returning bool    // back: its last connection broke or was moved
	holder                       int     // server that holds a mid-flow connection, where it is known; -1 else
	deadline, sentAt             float64 // the final answer goes out before due
	load                         float64
	server, ranServer, attempts  int     // at: server of the current connect or connection, -1 before the first
	tried                        []int   // servers asked already; by index mod 64 two were taken for one past 64 servers
	ranAt                        float64 // when the first connect that may have run was sent, -1 for none; ranOn: where
}

// Balancer is one instance; nothing is shared between instances.
type Balancer struct {
	Settings
	servers                             []server
	flows                               []flow
	base                                []int // every listed server by id
	usable                              []int // rebuilt for each decision: the ones that take new flows now
	pendingFlows                        []int // flows that await a decision
	queued                              []Decision
	randomDraws                         uint64
	openByTenant                        []int // open connections by member; the last is for members without a share
	nextDecayAt, wakeAt                 float64
	usual                               []float64          // by service type: load of a connection
	recent, older                       map[uint64]float64 // by client key: load by the last note
	limit, limitLoweredAt               float64            // most connects out at once while failures are common; infinite else
	messageObjective, shortestRoundTrip float64            // the shortest for a message; the shortest time of any probe
	slowShare                           float64            // share of this node's servers in use that were slow of late
	uncertainty                         float64            // 1 for a node that holds nothing, near 0 for one of many a server
	level                               float64            // chance that a flow goes to its group's home at once, by jams seen
	longestList, quotaPerServer         float64            // the longest list; the members' shares, a server and node
	attemptsInFlight                    int                // connects out
	handedOver                          bool               // a successor takes the flows
	watching, logged                    bool               // a subscription stands or is asked for; the last line on jams said so
	nextRoundAt, roundStartedAt         float64            // when to ask for all load reports next, and when that was last
	nextPollAt, backoff                 float64            // when to ask for the list (again)
}

// New gives an instance that knows nothing but its rundown.
func New(r Settings) *Balancer {
	r.Nodes, r.PollInterval = max(r.Nodes, 1), cmp.Or(r.PollInterval, maxEjectionTime)
	if len(r.ServiceTypes) == 0 {
		r.ServiceTypes = make([]ServiceType, 1) // the strictest row for whatever comes
	}
	b := &Balancer{Settings: r, openByTenant: make([]int, len(r.Quotas)+1), wakeAt: -1,
		recent: map[uint64]float64{}, usual: make([]float64, len(r.ServiceTypes)), limit: math.Inf(1), limitLoweredAt: -99,
		messageObjective: math.Inf(1), level: 1 - 1/float64(r.Nodes), uncertainty: 1}
	for _, t := range r.ServiceTypes {
		b.messageObjective = min(b.messageObjective, cmp.Or(t.MessageObjective, b.messageObjective))
	}
	return b
}

// random is even over [0, 1), from the seed and a counter.
func (b *Balancer) random() float64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], b.Seed) // the counter last left near seeds alike
	binary.LittleEndian.PutUint64(buf[8:], b.randomDraws)
	b.randomDraws++
	return float64(xxhash.Sum64(buf[:])>>11) / (1 << 53)
}

func (b *Balancer) logf(format string, args ...any) {
	b.queued = append(b.queued, Decision{Action: Log, Message: fmt.Sprintf(format, args...)})
}

func newServer() server {
	return server{ejectionTime: firstEjectionTime, threshold: math.Inf(1), reportedAt: -99, loweredAt: -99, rejectedAt: -99, overloadedAt: -99}
}

func (b *Balancer) server(at int) *server {
	for len(b.servers) <= at {
		b.servers = append(b.servers, newServer())
	}
	return &b.servers[at]
}

// ---- the list ----

// UpdateEndpoints takes what the list of servers tells.
func (b *Balancer) UpdateEndpoints(now float64, kind ListKind, items []Endpoint) {
	if kind == ListFailed || kind == ListTimedOut {
		// Found at each node by its own clock, which spreads the calls already; seconds are lost by then.
		wait := b.random() * min(b.fleetPollTime(), 1.5)
		if kind == ListFailed {
			b.backoff = min(max(2*b.backoff, housekeepingInterval, b.fleetPollTime()/2), max(b.fleetPollTime(), housekeepingInterval, min(1, b.PollInterval/2)))
			wait = b.backoff * (0.5 + b.random())
		}
		b.watching, b.nextPollAt = false, now+wait
		b.logf("list call failed, next in %.1f s, %d servers known", b.nextPollAt-now, len(b.base))
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
			*s = newServer()
			s.inFlight, s.assignedLoad, s.checking = old.inFlight, old.assignedLoad, old.checking
			if s.disabled, s.enterFrom = old.disabled, old.enterFrom; s.disabled {
				s.changedAt = old.changedAt
			}
		}
		if it.State == Draining && s.State != Draining {
			s.drainingAt = now
		}
		s.Endpoint, s.listed, s.idHash = it, it.State != Removed, hash64(uint64(it.ID))
	}
	b.base = b.base[:0]
	for i := range b.servers {
		if b.servers[i].listed {
			b.base = append(b.base, i)
		}
	}
	b.longestList, b.quotaPerServer = max(b.longestList, float64(len(b.base))), 0
	for _, quota := range b.Quotas { // a shorter list has no more to bear: its servers are the same
		b.quotaPerServer += quota / b.longestList / float64(b.Nodes)
	}
	if b.backoff = 0; kind == ListCached { // nodes that start together do not call together
		b.nextPollAt = now + b.random()*b.fleetPollTime()
	}
	slices.SortFunc(b.base, func(x, y int) int { return cmp.Compare(b.servers[x].ID, b.servers[y].ID) })
	if len(b.base) != before {
		b.logf("base list of %d servers, was %d", len(b.base), before)
	}
}

// SetDisabled takes an operator's word that a server takes nothing new (out), or may again; false where it held
// already. Guards against a later list undoing it: neither list nor probes touch it.
func (b *Balancer) SetDisabled(now float64, at int, out bool) bool {
	s := b.server(at)
	if s.disabled == out {
		return false
	}
	if out {
		s.disabled, s.changedAt, s.enterFrom = true, now, 0
		b.logf("server %d taken out by hand, %d connections on it", s.ID, s.inFlight)
		return true
	}
	old := *s // its operators vouch for it: what was judged of it is void
	*s = newServer()
	s.Endpoint, s.idHash, s.listed = old.Endpoint, old.idHash, old.listed
	if s.StartedAt < old.changedAt { // most likely restarted meanwhile, of which a late list tells nothing yet
		s.changedAt = now
	}
	s.inFlight, s.assignedLoad, s.checking, s.drainingAt = old.inFlight, old.assignedLoad, old.checking, old.drainingAt
	s.enterFrom = now + reentryTime*b.random()*(1-1/float64(b.Nodes)) // all nodes hear of it in one moment
	b.logf("server %d put back by hand", s.ID)
	return true
}

// Unavailable gives the length of the list, and how many on it take no new flows now.
func (b *Balancer) Unavailable(now float64) (listed, avoided int) {
	b.updateUsable(now, false)
	return len(b.base), len(b.base) - len(b.usable)
}

// fleetPollTime is what all nodes' calls for the whole list may take, within the time in which each has to ask.
func (b *Balancer) fleetPollTime() float64 {
	return min(float64(b.Nodes*len(b.base))/listServiceRate, b.PollInterval/2, maxPollSpread)
}

// ---- flows ----

func hash64(key uint64) uint64 {
	var buf [8]byte
	binary.BigEndian.PutUint64(buf[:], key)
	return xxhash.Sum64(buf[:])
}

func (b *Balancer) newFlow(id int, a Arrival) *flow {
	for len(b.flows) <= id {
		b.flows = append(b.flows, flow{})
	}
	// Without a client key the group stands in for it, and without a group chance.
	key := cmp.Or(a.ClientKey, a.GroupKey, math.Float64bits(b.random()))
	b.flows[id] = flow{live: true, serviceType: min(max(a.Type, 0), len(b.ServiceTypes)-1),
		tenant: min(max(a.Tenant, 0), len(b.Quotas)), clientHash: hash64(key), midFlow: a.MidFlow, returning: a.Returning, holder: a.HeldBy - 1,
		load: max(a.Load, 0), server: -1, ranAt: -1, tried: b.flows[id].tried[:0]}
	if a.GroupKey != 0 {
		b.flows[id].groupHash = hash64(a.GroupKey)
	}
	return &b.flows[id]
}

// AddFlow takes an arriving flow, which is owed one final answer.
func (b *Balancer) AddFlow(now float64, id int, a Arrival) {
	f := b.newFlow(id, a)
	f.unanswered, f.deadline = true, now+a.Timeout-3*b.Tick // so that the answer is out before the client gives up
	b.pendingFlows = append(b.pendingFlows, id)
}

// RestoreFlow takes a connection that was passing through when this balancer started.
func (b *Balancer) RestoreFlow(now float64, id int, a Arrival, on int) {
	f := b.newFlow(id, a)
	f.attempts, f.sentAt = 1, now
	b.reserve(f, on)
	b.markEstablished(f)
}

func (b *Balancer) reserve(f *flow, on int) {
	s := b.server(on)
	f.server, f.inFlight, f.load = on, true, b.expectedLoad(f)
	s.inFlight++
	s.assignedLoad += f.load
	b.attemptsInFlight++
}

func (b *Balancer) unreserve(f *flow) {
	s := &b.servers[f.server]
	s.inFlight--
	s.assignedLoad -= f.load
	if f.established {
		b.openByTenant[f.tenant]--
	} else {
		b.attemptsInFlight--
	}
	f.inFlight, f.established = false, false
}

func (b *Balancer) markEstablished(f *flow) {
	f.established, f.unanswered = true, false
	b.attemptsInFlight--
	b.openByTenant[f.tenant]++
}

func (b *Balancer) usualLoad(kind int) float64 {
	return cmp.Or(b.usual[kind], 0.02) // before any note any figure does, as it is compared with itself
}

// meanUsualLoad is the mean of the usual loads, a unit that does not hang on the order of the service types.
func (b *Balancer) meanUsualLoad() (mean float64) {
	for kind := range b.ServiceTypes {
		mean += b.usualLoad(kind) / float64(len(b.ServiceTypes))
	}
	return mean
}

// expectedLoad is what a flow is expected to ask: what its client asked last, what was told, or what is usual.
func (b *Balancer) expectedLoad(f *flow) float64 {
	return cmp.Or(b.recent[f.clientHash], b.older[f.clientHash], f.load, b.usualLoad(f.serviceType))
}

// overQuota tells whether a member holds more here than this node's part of its share.
func (b *Balancer) overQuota(tenant int) bool {
	return tenant < len(b.Quotas) && float64(b.openByTenant[tenant]*b.Nodes) > b.Quotas[tenant]
}

func (b *Balancer) isLive(id int) bool { return id >= 0 && id < len(b.flows) && b.flows[id].live }

// Established takes the news that a connect is up.
func (b *Balancer) Established(id, try int) {
	if !b.isLive(id) || !b.flows[id].inFlight || b.flows[id].established || try != b.flows[id].attempts-1 {
		return
	}
	b.markEstablished(&b.flows[id])
	b.servers[b.flows[id].server].successes++
	b.limit += 1 / max(b.limit, 1) // one more a round of connects, as long as none fails
}

// AttemptEnded takes the end of a connect or of the connection it became; over says that the flow is finished.
func (b *Balancer) AttemptEnded(now float64, id, try int, how Outcome, over bool) {
	if !b.isLive(id) {
		return
	}
	f := &b.flows[id]
	if f.inFlight && try == f.attempts-1 {
		wasOpen := f.established
		b.unreserve(f)
		b.recordOutcome(now, f, how, wasOpen)
		if !how.NeverRan() && f.ranAt < 0 {
			f.ranAt, f.ranServer = f.sentAt, f.server
		}
	}
	if f.unanswered = f.unanswered && !over && how != Served; f.unanswered && !f.inFlight {
		b.pendingFlows = append(b.pendingFlows, id)
	}
}

// ClientLeft takes the news that the client is gone.
func (b *Balancer) ClientLeft(id int) {
	if b.isLive(id) {
		b.flows[id].unanswered = false
	}
}

// Release tells whether nothing more can come for a flow; its index may then be used again.
func (b *Balancer) Release(id int) bool {
	if !b.isLive(id) || b.flows[id].unanswered || b.flows[id].inFlight {
		return false
	}
	b.flows[id].live = false
	return true
}

// ---- what outcomes, notes and probes tell of servers ----

func (b *Balancer) recordOutcome(now float64, f *flow, how Outcome, wasOpen bool) {
	s := &b.servers[f.server]
	switch {
	case how == Rejected:
		s.rejectedAt = now
		return
	case wasOpen && how == ConnectionLost:
		s.overloadedAt = now
		b.lowerThreshold(now, s, 0.9) // 0.97 measured alike
		return
	case wasOpen, how == Served, how == Canceled, how == NotSent, how == Failed && f.ranAt >= 0:
		return // a flow that errs again tells of itself
	}
	s.failures++
	bad, all, out, ready := 0.0, 0.0, 1, 0
	for _, i := range b.base {
		o := &b.servers[i]
		if o != s { // one sick server is no sign of what they share
			bad, all = bad+o.failures, all+o.failures+o.successes
		}
		if o.State == Ready {
			ready++
			if o.ejected {
				out++
			}
		}
	}
	common, most := bad/max(all, 1), max(1, ready/3)
	// Guards against a shared store taken for sick servers: where one in twenty errs or gets no answer, and
	// as many fail at the others, fewer go out: once for all on their way. What breaks is a server that died.
	if (how == Failed || how == TimedOut) && common > 0.05 && now-b.limitLoweredAt >= 0.2 {
		if math.IsInf(b.limit, 1) {
			b.logf("failures common, %.0f%% of connects: gate at %d out", 100*common, b.attemptsInFlight)
		}
		b.limitLoweredAt = now
		b.limit = max(1, 0.7*min(b.limit, float64(b.attemptsInFlight+1))) // halving measured no better
	}
	// Guards against many dead servers, where a list is late, being taken for a trouble that all share.
	if how == ConnectFailed {
		common, most = 0, max(1, ready*2/3)
	}
	if s.failures/(s.failures+s.successes) > 0.2+2*common && !s.ejected && s.listed && out <= most {
		s.ejected, s.checksPassed, s.nextCheckAt = true, 0, now+s.ejectionTime
		b.logf("server %d set aside for %.1f s: %.1f failures to %.1f established, %d of %d out", s.ID, s.ejectionTime,
			s.failures, s.successes, out, ready)
		s.ejectionTime = min(2*s.ejectionTime, maxEjectionTime)
	}
}

// lowerThreshold puts a server's ceiling under what it holds: what is there is too much.
func (b *Balancer) lowerThreshold(now float64, s *server, by float64) {
	if now-s.loweredAt < 1 { // delay notes come once a second
		return
	}
	s.loweredAt = now
	s.threshold = max(by*min(s.assignedLoad, s.threshold), b.meanUsualLoad()*(1-b.uncertainty)) // lower floors measured worse
	// Guards against a floor of one connection a node, which for a hundred nodes is no ceiling.
	s.roundingDraw = b.random()
}

// ReportLoad takes the load of an open connection.
func (b *Balancer) ReportLoad(id int, load float64) {
	if !b.isLive(id) || b.flows[id].migrated || !(load >= 0) {
		return
	}
	f := &b.flows[id]
	if f.inFlight {
		b.servers[f.server].assignedLoad += load - f.load
	}
	f.load = load
	if len(b.recent) >= 5000 { // a bound on memory, not a tuning; half of it outlives each turn
		b.older, b.recent = b.recent, map[uint64]float64{}
	}
	b.recent[f.clientHash] = load
	for k := range b.usual {
		if b.usual[k] == 0 { // the first note stands for all types until their own come
			b.usual[k] = load
		}
	}
	b.usual[f.serviceType] += (load - b.usual[f.serviceType]) / 32 // a few dozen notes are fresh enough
}

// ReportDelay takes how long a message takes now at the server of an open connection.
func (b *Balancer) ReportDelay(now float64, id int, delay float64) {
	if !b.isLive(id) || !b.flows[id].established {
		return
	}
	b.observeDelay(now, &b.servers[b.flows[id].server], delay)
}

// observeDelay takes how long a message takes at a server now, or what stands in for that.
func (b *Balancer) observeDelay(now float64, s *server, delay float64) {
	if delay > b.messageObjective {
		s.overloadedAt = now
	}
	if delay > b.messageObjective/3 { // told from a third on; less means it has cleared
		b.lowerThreshold(now, s, max(0.8, 1-0.05*delay/b.messageObjective)) // 3 and 10% an aim measured worse
	}
}

// HealthChecked takes the result of a probe.
func (b *Balancer) HealthChecked(now float64, at int, how Outcome, r LoadReport) {
	if at < 0 || at >= len(b.servers) {
		return
	}
	s := &b.servers[at]
	s.checking = false
	s.checksPassed++
	if how != Served {
		s.checksPassed = 0
	} else if r.Load >= 0 {
		b.recordReport(now, at, r.Load)
	} else if b.TimeHealthChecks && r.RoundTrip > 0 { // guards against jams that no note tells of
		b.shortestRoundTrip = min(cmp.Or(b.shortestRoundTrip, r.RoundTrip), r.RoundTrip)
		s.shortestCheck = min(cmp.Or(s.shortestCheck, r.RoundTrip), r.RoundTrip, roundTripSpread*b.shortestRoundTrip)
		b.observeDelay(now, s, 4*b.messageObjective*math.Pow((r.RoundTrip-s.shortestCheck)/(s.shortestCheck+roundTripNoise), 2))
	}
	if s.ejected && s.checksPassed >= 2 {
		s.ejected, s.failures, s.successes = false, 0, 0
		b.logf("server %d back after %d probes answered", s.ID, s.checksPassed)
	}
}

// recordReport takes what this node's probe told of a load, and passes on what the other nodes would not expect.
func (b *Balancer) recordReport(now float64, at int, load float64) {
	s := &b.servers[at]
	hot, was := load > highLoad, s.highlyLoaded(now)
	if b.LoadGossip && hot && was && now-s.reportedAt < 0.75*reportValidity {
		return
	}
	s.gossipPending = b.LoadGossip && (hot || was && load < highLoad-0.1)
	s.reportedLoad, s.reportedAt = load, now
}

// GossipReceived takes another node's word of a server's load.
func (b *Balancer) GossipReceived(now float64, at int, load float64) {
	s := b.server(at)
	s.reportedLoad, s.reportedAt, s.gossipPending = load, now, false
}

// highlyLoaded tells whether a server was reported so loaded of late that its messages wait.
func (s *server) highlyLoaded(now float64) bool {
	return s.reportedLoad > highLoad && now-s.reportedAt < reportValidity
}

// Woken takes a wake that was asked for.
func (b *Balancer) Woken(now float64) {
	if now >= b.wakeAt-b.Tick {
		b.wakeAt = -1
	}
	b.updateOverload(now)
	if !math.IsInf(b.limit, 1) && now-b.limitLoweredAt > 5 && b.limit > float64(4*b.attemptsInFlight+8) {
		b.limit = math.Inf(1)
		b.logf("gate open again, %d connects out", b.attemptsInFlight)
	}
	if now >= b.nextDecayAt {
		b.nextDecayAt = now + evidenceHalfLife
		for i := range b.servers {
			b.servers[i].failures /= 2
			b.servers[i].successes /= 2
		}
	}
}

// updateOverload raises the ceilings and takes stock of jams. One dropped when its server is empty lets all rush in.
func (b *Balancer) updateOverload(now float64) {
	holding, tight, held, usual := 0.0, 0.0, 0.0, max(b.quotaPerServer/2, b.uncertainty)*b.meanUsualLoad()
	for i := range b.servers {
		s := &b.servers[i]
		s.migrations = 0
		if now-s.loweredAt > overloadHold {
			// Guards against one lowered when next to nothing was known of the loads there, which would stay.
			s.threshold += 0.02 * max(s.threshold, usual)
		}
		if s.inFlight > 0 {
			holding++
			held += float64(s.inFlight)
			if now-s.loweredAt < slowHold {
				tight++
			}
		}
	}
	b.slowShare = tight / max(holding, 1)
	b.level += housekeepingInterval * (overloadRise*b.slowShare*(1-b.level) - b.level/overloadFadeTime)
	b.uncertainty = 1 / (1 + held/max(float64(len(b.base)), 1))
	if b.logged && b.slowShare < 0.1 || !b.logged && b.slowShare > 0.5 {
		b.logged = !b.logged
		b.logf("jammed: %v, %.0f of %.0f servers in use slow, %.0f%% sent home",
			b.logged, tight, holding, 100*b.level)
	}
}

// ---- the path ----

// updateUsable rebuilds the usable servers by id: ready, not out by hand or just full and, if any, not aside.
func (b *Balancer) updateUsable(now float64, mid bool) {
	for _, asideToo := range [2]bool{false, true} {
		b.usable = b.usable[:0]
		for _, i := range b.base {
			if s := &b.servers[i]; s.State == Ready && !s.disabled && (asideToo || !s.ejected) &&
				(mid || now-s.rejectedAt >= 1) {
				b.usable = append(b.usable, i)
			}
		}
		if len(b.usable) > 0 {
			return
		}
	}
}

// slowStartWeight is the share of its capacity that a server has at the least by now.
func (b *Balancer) slowStartWeight(now float64, s *server) float64 {
	since := max(s.StartedAt, s.changedAt)
	if since <= 0 || b.SlowStartTime <= 0 || now-since >= b.SlowStartTime {
		return 1
	}
	return b.SlowStartShare + (1-b.SlowStartShare)*max(now-since, 0)/b.SlowStartTime
}

// withinSlowStartBudget keeps to this node's part of a cold server's budget in a window: what a warm server's connections,
// spread over the warm-up, come to, times its warmth; at the least one connect by the chance least.
func (b *Balancer) withinSlowStartBudget(now float64, s *server, warm, mean, least float64) bool {
	span := cmp.Or(b.OverloadWindow, 1)
	if from := math.Floor(now/span) * span; from != s.windowStart { // on the one clock, so at all nodes alike
		s.windowStart, s.windowAttempts = from, 0
	}
	// Guards against a part that is void in nearly every window, as one of many nodes sees a flow in seconds:
	// cold servers stood empty beside jammed ones. Draws are dealt evenly apart, so that equal parts sum up to
	// their mean and one: independent ones overfill a server whose budget is near the number of nodes.
	turn := hash64(hash64(s.idHash^math.Float64bits(max(s.StartedAt, s.changedAt))) ^ math.Float64bits(s.windowStart))
	luck := float64((turn>>32+uint64(b.NodeNumber))%uint64(b.Nodes)) + float64(uint32(turn))/(1<<32)
	part := max(least, 1/float64(b.Nodes), warm*max(mean, b.quotaPerServer)*b.OverloadMultiple/2*b.OverloadWindow/b.SlowStartTime)
	// Nothing where another process of this node may have spent it: before it handed over, or began anew.
	return warm >= 1 || !b.handedOver && s.windowStart > b.StartedAt && s.windowAttempts+1 <= part+luck/float64(b.Nodes)
}

// mayAttempt tells whether a further connect of f may go to server at: no effect twice.
func (b *Balancer) mayAttempt(now float64, f *flow, at int) bool {
	t := &b.ServiceTypes[f.serviceType]
	if f.ranAt < 0 || t.Idempotency == Idempotent {
		return true
	}
	if t.Idempotency == AtMostOnce || now+b.DialTimeout >= f.ranAt+t.KeyLifetime {
		return false
	}
	was, to := b.servers[f.ranServer].Endpoint, b.servers[at].Endpoint
	return t.KeyScope == KeyScopeAll || t.KeyScope == KeyScopeZone && was.Zone == to.Zone ||
		t.KeyScope == KeyScopeCell && was.Cell == to.Cell
}

// mayReject tells whether the client may be told that a retry is safe.
func (b *Balancer) mayReject(now float64, f *flow, away float64) bool {
	t := &b.ServiceTypes[f.serviceType]
	return f.ranAt < 0 || t.Idempotency == Idempotent ||
		t.Idempotency == IdempotentWithKey && t.KeyScope == KeyScopeAll && now+away < f.ranAt+t.KeyLifetime
}

// enter gives the place among the usable where a flow enters, the cap there, and past which draw of its
// group's homes it goes on.
func (b *Balancer) enter(f *flow, mid bool, mean float64) (entry int, full, after float64) {
	if entry = slices.Index(b.usable, b.base[f.clientHash%uint64(len(b.base))]); entry < 0 {
		entry = int(f.clientHash % uint64(len(b.usable)))
	}
	full, after = max(minSpillLimit, spillFactor*mean), -1
	if on := slices.Index(b.usable, f.holder); mid && on >= 0 {
		return on, full, after
	}
	if f.groupHash == 0 {
		return entry, full, after
	}
	// By the client, so that one handed over mid-flow is looked for where it most likely went. What comes back had
	// too much where it was: home, or the next two. Others go home as strain is seen. But where one connection a
	// node is more than these three bear, "home" is, for each client, one of as many homes as bear that.
	homes, part := int(min(1/cmp.Or(b.quotaPerServer, 1), float64(len(b.base)))), float64(f.clientHash>>11)/(1<<53)
	search, rank := (f.returning || mid) && part < furtherHomeShare*b.uncertainty, 0
	if homes > 3 {
		rank = int(part * float64(homes))
	} else if search {
		rank = 1 + int(2*part/(furtherHomeShare*b.uncertainty))
	}
	for range rank {
		_, after = b.nextHome(f.groupHash, after)
	}
	next, _ := b.nextHome(f.groupHash, after)
	if f.returning || search || mid && homes > 3 && b.level > 0.5 || b.random() < b.level {
		// Guards against a large group jamming its home: a node that holds few a server sends on sooner.
		entry, full = next, min(full, math.Ceil(max(1, homeLimitFactor*mean))-1)
	}
	return entry, full, after
}

// returned gives a server put back by hand that no flow has entered since, or -1: each node sends one at the
// most, as far as a cold server bears that. Guards against one that stands empty for long in thin traffic.
func (b *Balancer) returned(now float64, f *flow, mean float64) int {
	for _, at := range b.usable {
		if s := &b.servers[at]; f.attempts == 0 && !f.midFlow && s.enterFrom > 0 && now >= s.enterFrom {
			s.enterFrom = 0
			if b.random() < b.slowStartWeight(now, s)*mean*b.OverloadMultiple/2*reentryTime/cmp.Or(b.OverloadWindow, 1) {
				return at
			}
		}
	}
	return -1
}

// selectServer walks the design's path and returns a server, or -1.
func (b *Balancer) selectServer(now float64, f *flow) int {
	mid := f.midFlow && f.attempts == 0
	b.updateUsable(now, mid)
	m, mean := len(b.usable), 0.0
	if m == 0 {
		return -1
	}
	for _, i := range b.usable {
		mean += float64(b.servers[i].inFlight) / float64(m)
	}
	if at := b.returned(now, f, mean); at >= 0 {
		return at
	}
	entry, full, after := b.enter(f, mid, mean)
	spare, load := 1.0, b.expectedLoad(f)
	if b.overQuota(f.tenant) {
		spare = 0.8 // what is scarce goes first to members within their share
	}
	// A group shares its work: what spills goes from home to home, or on by id where this node sees much.
	best, least, gather := -1, math.Inf(1), f.groupHash != 0 && b.random() < 2*b.uncertainty
	for k := range m + 1 {
		if k == 1 && f.groupHash != 0 || k > 1 && gather {
			entry, after = b.nextHome(f.groupHash, after)
		} else if k > 0 {
			entry = (entry + 1) % m
		}
		at := b.usable[entry]
		s := &b.servers[at]
		warm := b.slowStartWeight(now, s)
		// All nodes' part: the rule's multiple of its even share. Guards against a cold server that is the last.
		share := warm * min(1, b.OverloadMultiple/2/max(float64(m), float64(len(b.base))/2))
		if k == 0 {
			share = warm * min(1, b.OverloadMultiple/2*float64(m)/float64(len(b.base)))
		}
		if mid && k == 0 && b.withinSlowStartBudget(now, s, warm, mean, share) {
			return at
		}
		if s.assignedLoad+load > spare*s.threshold || now-s.overloadedAt < overloadHold {
			continue
		}
		if slices.Contains(f.tried, at) || !b.mayAttempt(now, f, at) || !b.withinSlowStartBudget(now, s, warm, mean, share) {
			continue
		}
		over := float64(s.inFlight) / warm
		if s.highlyLoaded(now) { // after all that are not, the least loaded first
			over += 99 * s.reportedLoad
		} else if float64(s.inFlight) <= full*warm && (warm >= 1 || mean < 1 || b.random() < warm) {
			return at
		}
		if over < least {
			best, least = at, over
		}
	}
	return best
}

// nextHome is a group's next home past the one whose draw is after, -1 for the first: homes go by their draws
// from both hashes over the size, so that a new list moves few groups and what spills gathers at the second.
func (b *Balancer) nextHome(home uint64, after float64) (place int, draw float64) {
	draw = math.Inf(1)
	for k, i := range b.usable {
		s := &b.servers[i]
		if after < 0 { // a walk begins: its draws are kept for it
			s.homeRank = float64(^hash64(home^s.idHash)) / cmp.Or(s.Size, 1)
		}
		if s.homeRank < draw && s.homeRank > after {
			place, draw = k, s.homeRank
		}
	}
	if math.IsInf(draw, 1) && after >= 0 {
		return b.nextHome(home, -1)
	}
	return place, draw
}

// uncertain tells whether this node, one of many, holds too little to tell a sick server from what all share.
func (b *Balancer) uncertain() bool { return b.uncertainty*(1-smallFleet/float64(b.Nodes)) > 0.5 }

// attemptTimeout splits what is left before the connect timeout, so that a further connect fits. Guards against a
// store that is kept full by what was given up in its queue and sent again: who is unsure waits it out.
func (b *Balancer) attemptTimeout(now float64, f *flow) float64 {
	left := f.deadline - now
	if f.attempts+1 >= b.MaxAttempts || b.ServiceTypes[f.serviceType].Idempotency == AtMostOnce || b.uncertain() {
		return left
	}
	return min(left, max(b.ServiceTypes[f.serviceType].SetupObjective, left/2))
}

func (b *Balancer) decideFlow(now float64, id int) (Decision, bool) {
	f := &b.flows[id]
	if !f.unanswered || f.inFlight {
		return Decision{}, false
	}
	// Guards against dropped clients that bounce from jam to jam where a node sees too little to find room.
	paced := f.returning && !f.midFlow && f.attempts == 0 && b.random() < returnPacing*b.slowShare*b.uncertainty
	// Guards against the gate's floor of one connect a node, where what failed at a shared store goes out again.
	spent := f.ranAt >= 0 && !math.IsInf(b.limit, 1) && b.uncertain()
	if now < f.deadline && f.attempts < b.MaxAttempts && (float64(b.attemptsInFlight) < b.limit || f.midFlow) && !paced && !spent {
		if at := b.selectServer(now, f); at >= 0 {
			within := b.attemptTimeout(now, f)
			b.reserve(f, at)
			f.attempts, f.sentAt = f.attempts+1, now
			f.tried = append(f.tried, at)
			b.servers[at].windowAttempts++
			b.servers[at].enterFrom = 0
			return Decision{Action: Connect, Flow: id, Server: at, Seconds: within}, true
		}
	}
	f.unanswered = false
	away := b.MaxRetryAfter * (0.25 + 0.5*b.random()) // spread, so that they do not return together
	if b.mayReject(now, f, away) {
		return Decision{Action: Reject, Flow: id, Seconds: away}, true
	}
	return Decision{Action: Abort, Flow: id}, true
}

// mustMigrate tells whether a server holds too much: anything, once it drains, as clients must move before it goes.
// What is over by less than one connection counts by chance, so that all nodes together move a part of it.
func (b *Balancer) mustMigrate(now float64, s *server) bool {
	return s.disabled || s.State == Draining && now-s.drainingAt > drainGrace || s.assignedLoad > thresholdSlack*s.threshold &&
		(s.threshold >= b.meanUsualLoad() || s.assignedLoad-s.threshold > s.roundingDraw*s.assignedLoad)
}

// migrateExcess moves connections off servers above their ceiling: members over their share first, then the heaviest
// for their service type, so that none bears it alone. One a beat for each tenth of what a server holds.
func (b *Balancer) migrateExcess(now float64) {
	by := func(id int) float64 {
		f := &b.flows[id]
		if b.overQuota(f.tenant) {
			return 10 * f.load / b.usualLoad(f.serviceType)
		}
		return f.load / b.usualLoad(f.serviceType)
	}
	var over []int
	for id := range b.flows {
		f := &b.flows[id]
		if f.established && !f.migrated && f.load > 0 && b.mustMigrate(now, &b.servers[f.server]) {
			over = append(over, id)
		}
	}
	slices.SortStableFunc(over, func(x, y int) int { return cmp.Compare(by(y), by(x)) })
	for _, id := range over {
		f := &b.flows[id]
		if s := &b.servers[f.server]; b.mustMigrate(now, s) && s.migrations <= s.inFlight/10 {
			s.migrations++
			s.assignedLoad -= f.load
			f.load, f.migrated = 0, true
			b.queued = append(b.queued, Decision{Action: Migrate, Flow: id})
		}
	}
}

// Next gives the next decision, or false when there is none for now.
func (b *Balancer) Next(now float64) (Decision, bool) {
	for len(b.pendingFlows) > 0 {
		id := b.pendingFlows[0]
		b.pendingFlows = b.pendingFlows[1:]
		if d, ok := b.decideFlow(now, id); ok {
			return d, true
		}
	}
	if b.wakeAt < 0 {
		b.wakeAt = now + housekeepingInterval
		b.migrateExcess(now)
		for i := range b.servers { // together: one message costs less than a word each
			if s := &b.servers[i]; s.gossipPending {
				s.gossipPending = false
				b.queued = append(b.queued, Decision{Action: GossipLoad, Server: i, Load: s.reportedLoad})
			}
		}
		b.queued = append(b.queued, Decision{Action: Wake, Seconds: housekeepingInterval})
	}
	if len(b.queued) > 0 {
		d := b.queued[0]
		b.queued = b.queued[1:]
		return d, true
	}
	if b.WatchEndpoints && !b.watching && now >= b.nextPollAt {
		b.watching = true
		return Decision{Action: WatchEndpoints}, true
	}
	// All at once, so that what they tell goes out in one message; at chance, as nodes may start together.
	if b.LoadReports && now >= b.nextRoundAt {
		if b.nextRoundAt > 0 {
			b.roundStartedAt = now
		}
		b.nextRoundAt = now + 2*b.random()*checkInterval*float64(b.Nodes)
	}
	for i := range b.servers {
		s := &b.servers[i]
		look := b.HealthChecks && (b.LoadReports && s.checkedAt < b.roundStartedAt || b.TimeHealthChecks && s.inFlight > 0)
		if !s.ejected && !look || s.checking || now < s.nextCheckAt || !s.listed || s.State != Ready ||
			s.disabled || b.handedOver {
			continue
		}
		s.checkedAt, s.nextCheckAt = now, now+checkInterval*(0.75+0.5*b.random())
		if !s.ejected && !(b.TimeHealthChecks && now-s.loweredAt < slowHold) {
			s.nextCheckAt += checkInterval * float64(b.Nodes)
		}
		if b.HealthChecks {
			s.checking = true
			return Decision{Action: CheckHealth, Server: i}, true
		}
		s.ejected = false // untested, where no probes are allowed
	}
	return Decision{}, false
}
