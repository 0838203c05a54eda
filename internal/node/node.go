// Package node is the core of a load balancer process: a state machine that owns the client connections, their flows
// and deadlines, and that drives the balancer of package placement.
//
// A Node does no I/O, starts no goroutine and reads no clock. Its owner calls Apply with one Input at a time, from one
// goroutine, and carries out the effects that Apply returns, in their order. Durations are in seconds, and points in time
// are Unix times in seconds.
//
// A flow is one client's request for a long-lived connection to a host, from its opening line on. The files are:
//
//   - dispatch.go: passes each input to the method that handles it
//   - opening.go, attempt.go, answer.go: the life of a flow, from its opening line to its final answer
//   - deadlines.go: the deadline of each connection
//   - endpoints.go: applies endpoint lists; watch.go: the watch that delivers them
//   - live_settings.go: applies revisions of the live settings
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

// Start contains the parameters of a new node.
type Start struct {
	Settings   placement.Settings        // settings of the balancer; New replaces those that depend on Listener
	Listener   settings.ListenerSettings // settings of the client side
	CachedList endpoint.List             // the last endpoint list that this node stored; it may be outdated or empty

	// MaxDescriptors is how many descriptors the connections may use, DescriptorOverhead how many the process uses in
	// addition.
	MaxDescriptors     int
	DescriptorOverhead int

	// HasPredecessor says that a predecessor still accepts the clients, so that this process may not open the listener yet.
	// The node emits OpenListener once it can serve, and ListenerOpened confirms that.
	HasPredecessor bool

	// Handover is the state that a predecessor hands over. It is nil if there is no predecessor, or if the predecessor does
	// not support handover.
	Handover *HandoverState

	// SharesAddress says that another process may listen on the same address. A shutdown then closes the listener early, so
	// that new clients reach that process.
	SharesAddress bool

	// AwaitSettings is for how many seconds at most the listener stays closed until a first revision of the live settings
	// is received; zero if none is expected.
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
	statistics  Statistics

	serviceTypes map[string]int // the balancer's index of each service type
	tenants      map[string]int // the balancer's index of each tenant

	healthCheckLine     string
	healthChecksEnabled bool
	sharesAddress       bool
	lineBuffer          []byte // the line that handleLine handles
}

// indexByName returns the position of each name.
func indexByName(names []string) map[string]int {
	indices := make(map[string]int, len(names))
	for i, name := range names {
		indices[name] = i
	}
	return indices
}

// New returns a new node. Its owner must call Apply at once, with any input.
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
		startup:             newStartup(now, start),
		upgrade:             upgrade{hasPredecessor: start.HasPredecessor, reservedMargin: start.DescriptorOverhead + inFlightReserve},
		live:                newLiveSettings(now, start),
		statistics:          newStatistics(start.Listener.ServiceTypes),
		serviceTypes:        indexByName(start.Listener.ServiceTypes),
		tenants:             indexByName(start.Listener.Tenants),
		healthCheckLine:     healthCheckLineFor(start.Settings.LoadReports),
		healthChecksEnabled: start.Settings.HealthChecks,
		sharesAddress:       start.SharesAddress,
	}
	n.applyList(placement.ListCached, start.CachedList)
	if start.Handover != nil {
		n.restore(start.Handover)
		n.watch = endpointWatch{listConfirmedAt: now} // a Watch that restore emitted would be lost before the first Apply
	}
	return n
}

// completeSettings sets the balancer's settings that depend on the other start parameters.
func completeSettings(start *Start, now float64) {
	balancer := &start.Settings
	if start.Listener.ListPushed {
		balancer.PollInterval = agentPollInterval
		balancer.AgentPollPause = agentPollPause(start.Listener.DrainGrace)
	}
	// The balancer allows for the dial time, so that a flow with an idempotency key that it sends again within the host's
	// memory span also arrives within that span.
	balancer.DialTimeout = start.Listener.DialTimeout
	balancer.StartedAt = now
	balancer.WatchEndpoints = true // the node always receives the list by a watch
	// Hosts answer health checks at once, even while their work piles up. If hosts report their load or delay themselves,
	// the round trip only adds noise, which would make healthy hosts look overloaded.
	balancer.TimeHealthChecks = !balancer.LoadReports && !start.Listener.ReportsDelay
}

// emit adds an effect to the result of the Apply under way.
func (n *Node) emit(effect Effect) { n.effects = append(n.effects, effect) }

// Apply handles one input at the time now and returns the effects to carry out, in their order. Time does not go back: a
// now before that of the last call counts as that of the last call. The result is valid until the next call.
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

// carryOutDecisions carries out the balancer's decisions until it has no more.
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

// Usage counts what a node still holds. All counts are zero once all its connections are closed.
type Usage struct {
	Flows       int
	Connections int // open connections
	Descriptors int // descriptors of connections that are not being closed
}

// Usage returns what the node holds now.
func (n *Node) Usage() Usage {
	return Usage{
		Flows:       n.flows.count(),
		Connections: len(n.connections.byID),
		Descriptors: n.connections.used(),
	}
}
