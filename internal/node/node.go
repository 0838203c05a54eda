// Package node is the core of the real node: one reducer that owns the flows, their connects and their
// deadlines and drives the module. It does no I/O and reads no clock: Apply takes what happened and gives
// what to do.
package node

import (
	"math"

	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/peers"
	"gorseledge/internal/settings"
	"gorseledge/placement"
)

// Start is what a node is told before its first input.
type Start struct {
	Settings           placement.Settings
	Listener           settings.ListenerSettings
	CachedList         endpoint.List  // the list as this node last had it; it may be old
	MaxDescriptors     int            // descriptors that its connections may take
	DescriptorOverhead int            // descriptors that a process takes beside its connections
	NotListening       bool           // the door is not open yet: Ready asks for it, and Opened says that it is
	Handover           *HandoverState // what a predecessor has left; nil for none

	// AwaitSettings is for how long the listener stays closed at the most until a first revision of the live settings
	// comes, in seconds; zero where none is to come.
	AwaitSettings float64
}

type host struct {
	name, address string
	told          endpoint.Host // as it was listed last
	heard         float64       // when it last said anything

	disabledByHand bool // by an operator at the second address
	overridden     bool // by the live settings, when that was looked at last
}

// Node is the whole state of a real node.
type Node struct {
	module   *placement.Balancer
	door     settings.ListenerSettings
	probes   string // what a probe says
	mayProbe bool
	now      float64
	out      []Effect
	text     []byte // the line being looked at

	conns       map[Conn]*conn
	dialed      Conn
	descriptors int // held by connections
	closing     int // of these are being closed
	limit       int

	flows   []*flow // by the module's index
	free    []int
	touched []int // indices that the module may be done with
	ids     ids
	idlers  []Conn // oldest first, with some that are idle no more
	idle    int

	hosts    []host // by the module's index
	byName   map[string]int
	byNumber map[uint32]int // by the id that a name stands for
	index    int64          // of the last list
	heard    bool           // discovery has told a list since the start
	misses   int            // calls of discovery that failed since
	watch    watch
	live     liveSettings

	types, tenants, zones map[string]int

	figures    Figures
	dues       dues
	wakeAt     float64 // the module's wake
	timerAt    float64 // the timer asked for last
	lag, tick  float64 // by how much this node's own timer rang late, beyond how exact timers are here
	shut, able bool    // the door is not open yet; it was said that it may be
	succeeds   bool    // another process has the clients until this one can serve

	paired   bool // a successor is told what changes here
	given    bool // it takes the clients
	sockets  int  // the limit while there is no successor
	lent     int  // descriptors that a predecessor holds
	toll     int
	heldTold int
	lifts    []*flow // that go over to the successor
	passing  int     // of these are on their way
	calls    []Query // hosts by hand, called here while the predecessor still has the clients
	forgetAt float64 // when what a predecessor held will not come any more

	leaving   bool
	leaveAt   float64 // when it was asked to leave
	exited    bool
	shuttered bool
}

func places(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, name := range names {
		m[name] = i
	}
	return m
}

// New gives a node at its start; the first Apply is due at once.
func New(now float64, s Start) *Node {
	if s.Listener.ListPushed { // lists are pushed to the machine's own agent: what that has counts at once
		s.Settings.PollInterval = agentWithin
	}
	// Guards against a referenced flow that is sent again within its memory span and arrives past it.
	s.Settings.DialTimeout = s.Listener.DialTimeout
	s.Settings.StartedAt = now
	s.Settings.WatchEndpoints = true // on sockets the list always comes by a watch
	// A host sends a line back at once, also when its work piles up. Guards against hosts taken for jammed
	// that are not: where reports tell the load itself, the time of a probe adds nothing but noise.
	s.Settings.TimeHealthChecks = !s.Settings.LoadReports && !s.Listener.ReportsDelay
	n := &Node{module: placement.New(s.Settings), door: s.Listener, now: now, conns: map[Conn]*conn{},
		ids: newIDs(), limit: s.MaxDescriptors, byName: map[string]int{}, byNumber: map[uint32]int{},
		probes: probeWords(s.Settings.LoadReports), mayProbe: s.Settings.HealthChecks,
		types: places(s.Listener.ServiceTypes), tenants: places(s.Listener.Tenants), zones: places(s.Listener.Zones),
		shut: s.NotListening || s.AwaitSettings > 0, succeeds: s.NotListening, sockets: s.MaxDescriptors, toll: s.DescriptorOverhead + flightSpare, wakeAt: math.Inf(1), timerAt: math.Inf(1),
		tick: s.Settings.Tick, watch: watch{fresh: now}}
	n.live = newLiveSettings(now, s)
	for _, name := range s.Listener.ServiceTypes {
		n.figures.Types = append(n.figures.Types, FlowCounts{Type: name})
	}
	n.list(placement.ListCached, s.CachedList)
	if s.Handover != nil {
		n.inherit(s.Handover)
		n.watch = watch{fresh: now} // nothing can be asked for yet
	}
	return n
}

func (n *Node) ask(e Effect) { n.out = append(n.out, e) }

// Apply takes one input and gives what to do about it, in this order. The result holds until the next call.
func (n *Node) Apply(now float64, in Input) []Effect {
	n.now, n.out = max(now, n.now), n.out[:0]
	n.lateness(in)
	n.take(in)
	n.ringDue()
	n.hush()
	if n.now >= n.wakeAt {
		n.wakeAt = math.Inf(1)
		n.module.Woken(n.now)
	}
	n.forget()
	n.expireOverrides()
	n.pull()
	n.sweep()
	if n.leaving {
		n.depart()
	}
	if n.shut && !n.able && n.mayOpen() {
		n.able = true
		n.noteUnawaited()
		n.ask(OpenListener{})
	}
	n.liftOn()
	n.tellHeld()
	if at := n.nextDue(); at != n.timerAt && !math.IsInf(at, 1) {
		n.timerAt = at
		n.ask(SetTimer{at})
	}
	return n.out
}

// lateness notes by how much this node is behind. What it reads has lain in the kernel for an unknown time,
// for as long at the most as its own timer waited to be heard; it holds until a timer rings in time. Guards
// against a node that was held up blaming its hosts for it.
func (n *Node) lateness(in Input) {
	late := max(n.now-n.timerAt-n.tick, 0)
	if _, rang := in.(TimerFired); rang || late > n.lag {
		n.lag = late
	}
}

// took gives how long a host took for what it was sent at a time, without what this node was behind; false
// where the node was held up for so long, since a time between two of its timers, that nothing is known.
func (n *Node) took(since float64) (seconds float64, known bool) {
	return max(n.now-since-n.lag, 0), n.lag <= heldUp
}

func (n *Node) take(in Input) {
	switch in := in.(type) {
	case Accepted:
		c := n.newConn(in.Conn, client)
		c.up = true
		if n.admit(c); !c.closed {
			n.wait(c, lineWait)
			n.read(c)
		}
	case Dialed:
		if c := n.conns[in.Conn]; c != nil {
			n.dialedUp(c, in.Err, in.LocalFailure)
		}
	case ReadDone:
		if c := n.conns[in.Conn]; c != nil {
			n.got(c, in.N, in.End)
		}
	case WriteDone:
		if c := n.conns[in.Conn]; c != nil {
			n.wrote(c, in.N, in.Failed)
		}
	case ClientGone:
		if c := n.conns[in.Conn]; c != nil {
			n.departed(c)
		}
	case Closed:
		n.descriptors--
		n.closing--
	case ListReceived:
		n.listed(in.List)
	case WatchAlive:
		n.watch.spoke(n.now, in.MidLine)
	case WatchFailed:
		n.unlisted(placement.ListFailed, in.Reason)
	case DiscoveryMoved:
		n.relocated()
	case Shutdown:
		n.leave()
	case Query:
		n.asked(in)
	case ListenerOpened:
		n.shut = false
	case HandoverReceived:
		n.inherit(in.State)
	case PeerProcessChanged:
		n.toldBy(in.Update)
	case NodesChanged:
		n.siblings(in.Nodes)
	case SettingsReceived:
		n.reconfigured(in.Revision)
	case GossipReceived:
		for _, w := range in.Loads { // of a host that was never listed here nothing is kept
			if at, known := n.byNumber[w.Host]; known {
				n.module.GossipReceived(n.now, at, w.Load)
			}
		}
	case ConnectionReceived:
		n.adopt(in.Conn, in.Transfer)
	case ConnectionSent:
		if c := n.conns[in.Conn]; c != nil {
			n.passed(c, in.OK)
		}
	case SuccessorGone:
		n.successorGone()
	case PredecessorGone:
		n.predecessorGone()
	case TimerFired:
		n.timerAt = math.Inf(1)
	}
}

// pull carries out what the module decides until it has nothing more to say.
func (n *Node) pull() {
	var words []peers.HostLoad
	for {
		d, ok := n.module.Next(n.now)
		if !ok {
			break
		}
		switch d.Action {
		case placement.Connect:
			n.connect(n.flows[d.Flow], d.Server, d.Seconds)
		case placement.Reject:
			n.reject(n.flows[d.Flow], d.Seconds)
		case placement.Abort:
			n.abort(n.flows[d.Flow])
		case placement.Migrate:
			n.move(n.flows[d.Flow], Migrated, placement.Canceled)
		case placement.CheckHealth:
			n.probe(d.Server)
		case placement.GossipLoad:
			words = append(words, peers.HostLoad{Host: number(n.hosts[d.Server].name), Load: d.Load})
		case placement.WatchEndpoints:
			n.follow()
		case placement.Wake:
			n.wakeAt = min(n.wakeAt, n.now+d.Seconds)
		case placement.Log:
			n.ask(WriteLog{d.Message})
		}
	}
	if len(words) > 0 {
		n.ask(SendGossip{words})
	}
}

// sweep frees the indices of flows for which nothing more can come.
func (n *Node) sweep() {
	for _, id := range n.touched {
		if f := n.flows[id]; f != nil && n.module.Release(id) {
			n.ids.end(f)
			n.flows[id] = nil
			n.free = append(n.free, id)
		}
	}
	n.touched = n.touched[:0]
}

// Usage tells what the node still holds; nothing, once all its clients are gone.
func (n *Node) Usage() (flows, conns, descriptors int) {
	for _, f := range n.flows {
		if f != nil {
			flows++
		}
	}
	return flows, len(n.conns), n.used()
}
