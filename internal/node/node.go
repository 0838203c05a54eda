// Package node is the core of a load balancer process: a state machine that owns the client connections, their flows
// and deadlines, and that drives the balancer of package placement.
//
// The core does no I/O, starts no goroutine and reads no clock. Its owner calls Apply with one Input at a time, from one
// goroutine, and carries out the effects that Apply returns, in their order. Times are seconds; a time of day is a Unix
// time in seconds.
//
// A flow is one client's request for a long-lived connection to a host, from its opening line on. Where things are:
//
//   - dispatch.go: which method handles which input
//   - opening.go, attempt.go, answer.go: the life of a flow, from its opening line to its final answer
//   - deadlines.go: the deadline of each connection and flow
//   - endpoints.go: where a new endpoint list takes effect; watch.go: the watch that delivers it
//   - live_settings.go: where a change of the live settings takes effect
//   - shutdown.go: graceful shutdown
//   - handover.go, inherited.go, transfer.go: the upgrade to another process
package node

import (
	"math"

	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/peers"
	"gorseledge/internal/settings"
	"gorseledge/placement"
)

// Start is what a node is given before its first input.
type Start struct {
	Settings   placement.Settings        // of the balancer; New replaces those that follow from Listener
	Listener   settings.ListenerSettings // of the client side
	CachedList endpoint.List             // the endpoint list as this node last had it; it may be old or empty

	// MaxDescriptors is how many descriptors the connections may take, DescriptorOverhead how many the process takes
	// beside them.
	MaxDescriptors     int
	DescriptorOverhead int

	// NotListening says that the listener is not open yet, as a predecessor has the clients: OpenListener asks for it
	// and ListenerOpened confirms it.
	NotListening bool

	// Handover is the state that a predecessor hands over; nil for none.
	Handover *HandoverState

	// AwaitSettings is for how many seconds the listener stays closed at most until a first revision of the live
	// settings comes; zero where none is to come.
	AwaitSettings float64
}

// Node is the state of one load balancer process. Use New to make one. A Node is not safe for concurrent use.
type Node struct {
	balancer *placement.Balancer
	listener settings.ListenerSettings
	now      float64
	effects  []Effect // of the Apply under way

	connections connectionTable
	idle        idleQueue
	flows       flowTable
	endpoints   endpointDirectory
	watch       endpointWatch
	timers      timers
	startup     startup
	upgrade     upgrade
	shutdown    shutdown
	live        liveSettings
	figures     Statistics

	serviceTypes map[string]int // the balancer's index of each service type
	tenants      map[string]int // the balancer's index of each tenant

	healthCheckLine     string
	healthChecksEnabled bool
	lineBuffer          []byte // the line that scanLines looks at
}

// indexByName returns the position of each name.
func indexByName(names []string) map[string]int {
	indices := make(map[string]int, len(names))
	for i, name := range names {
		indices[name] = i
	}
	return indices
}

// New returns a node at its start. The first Apply is due at once.
func New(now float64, start Start) *Node {
	completeSettings(&start, now)
	n := &Node{
		balancer:            placement.New(start.Settings),
		listener:            start.Listener,
		now:                 now,
		connections:         newConnectionTable(start.MaxDescriptors),
		flows:               flowTable{ids: newFlowIDs()},
		endpoints:           newEndpointDirectory(start.Listener.Zones),
		watch:               endpointWatch{listConfirmedAt: now},
		timers:              newTimers(start.Settings.Tick),
		startup:             newStartup(start),
		upgrade:             upgrade{reservedMargin: start.DescriptorOverhead + inFlightReserve},
		live:                newLiveSettings(now, start),
		figures:             newFigures(start.Listener.ServiceTypes),
		serviceTypes:        indexByName(start.Listener.ServiceTypes),
		tenants:             indexByName(start.Listener.Tenants),
		healthCheckLine:     healthCheckLineFor(start.Settings.LoadReports),
		healthChecksEnabled: start.Settings.HealthChecks,
	}
	n.applyList(placement.ListCached, start.CachedList)
	if start.Handover != nil {
		n.restore(start.Handover)
		n.watch = endpointWatch{listConfirmedAt: now} // nothing can be asked for yet
	}
	return n
}

// completeSettings sets the balancer's settings that follow from the node's start.
func completeSettings(start *Start, now float64) {
	balancer := &start.Settings
	if start.Listener.ListPushed {
		balancer.PollInterval = agentPollInterval
	}
	// This keeps a flow with an idempotency key from being sent again within its memory span and arriving after it.
	balancer.DialTimeout = start.Listener.DialTimeout
	balancer.StartedAt = now
	balancer.WatchEndpoints = true // on sockets the list always comes by a watch
	// Hosts answer a health check at once, also when their work piles up. Where reports state the load itself, the
	// round trip adds nothing but noise, and would make sound hosts look overloaded.
	balancer.TimeHealthChecks = !balancer.LoadReports && !start.Listener.ReportsDelay
}

// emit adds an effect to the result of the Apply under way.
func (n *Node) emit(effect Effect) { n.effects = append(n.effects, effect) }

// Apply handles one input at a time now and returns what to do about it, in this order. Time does not go back: an
// earlier now counts as that of the last call. The result is valid until the next call.
func (n *Node) Apply(now float64, input Input) []Effect {
	n.now = max(now, n.now)
	n.effects = n.effects[:0]
	n.measureLag(input)
	n.dispatch(input)
	n.expireDeadlines()
	n.checkWatchSilence()
	n.wakeBalancer()
	n.expireInherited()
	n.expireHostOverrides()
	n.carryOutDecisions()
	n.releaseFlows()
	n.continueShutdown()
	n.requestListener()
	n.continueTransfers()
	n.notifyDescriptors()
	n.armTimer()
	return n.effects
}

// carryOutDecisions carries out what the balancer decides until it has no more decisions.
func (n *Node) carryOutDecisions() {
	var gossip []peers.HostLoad
	for {
		decision, ok := n.balancer.Next(n.now)
		if !ok {
			break
		}
		if decision.Action == placement.GossipLoad {
			host := hostID(n.endpoints.hosts[decision.Server].name)
			gossip = append(gossip, peers.HostLoad{Host: host, Load: decision.Load})
			continue
		}
		n.carryOut(decision)
	}
	if len(gossip) > 0 {
		n.emit(SendGossip{gossip})
	}
}

// carryOut carries out one decision of the balancer.
func (n *Node) carryOut(decision placement.Decision) {
	switch decision.Action {
	case placement.Connect:
		n.startAttempt(n.flows.byIndex[decision.Flow], decision.Server, decision.Seconds)
	case placement.Reject:
		n.reject(n.flows.byIndex[decision.Flow], decision.Seconds)
	case placement.Abort:
		n.abort(n.flows.byIndex[decision.Flow])
	case placement.Migrate:
		n.migrate(n.flows.byIndex[decision.Flow], Migrated, placement.Canceled)
	case placement.CheckHealth:
		n.checkHealth(decision.Server)
	case placement.WatchEndpoints:
		n.watchEndpoints()
	case placement.Wake:
		n.timers.balancerWake = min(n.timers.balancerWake, n.now+decision.Seconds)
	case placement.Log:
		n.emit(WriteLog{decision.Message})
	}
}

// wakeBalancer wakes the balancer at the time that it asked for.
func (n *Node) wakeBalancer() {
	if n.now < n.timers.balancerWake {
		return
	}
	n.timers.balancerWake = math.Inf(1)
	n.balancer.Woken(n.now)
}

// Usage is what a node still holds; nothing once all its clients are gone.
type Usage struct {
	Flows       int
	Connections int // open ones
	Descriptors int // without those that are being closed
}

// Usage returns what the node holds now.
func (n *Node) Usage() Usage {
	return Usage{
		Flows:       n.flows.count(),
		Connections: len(n.connections.byID),
		Descriptors: n.connections.used(),
	}
}
