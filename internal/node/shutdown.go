package node

import (
	"gorseledge/internal/line"
	"gorseledge/placement"
)

// Times of a graceful shutdown, in seconds.
const (
	listenerGrace   = 0.6  // until the listener is closed, as clients keep arriving after the request to shut down
	exitMargin      = 0.4  // between the end of the last connect timeout and the exit
	finalAnswerTime = 0.1  // part of exitMargin that is left for the answers to flows that still wait
	maxDrainTime    = 3.0  // upper limit for the connect timeouts that the node waits for
	maxHoldTime     = 30.0 // for established flows to end when packets pass through, unless the node is killed before
)

// shutdown is the state of a graceful shutdown. Once begun, a shutdown is never canceled.
type shutdown struct {
	started        bool
	startedAt      float64
	closeRequested bool // CloseListener has been emitted
	listenerClosed bool // no client comes any more: ListenerClosed has been received
	exitRequested  bool // Exit has been emitted

	flowsListed     bool    // the flows that were established when the shutdown began have been added to toMigrate
	toMigrate       []*flow // established flows that are still to be migrated
	waitingAnswered bool    // the flows that waited for too long have been answered
}

// addEstablished notes that a flow is established, or stays in this process, and is to be migrated during the shutdown.
func (s *shutdown) addEstablished(f *flow) {
	if s.started {
		s.toMigrate = append(s.toMigrate, f)
	}
}

// begin starts the shutdown, once. Accepted flows are still answered.
func (s *shutdown) begin(now float64) {
	if s.started {
		return
	}
	s.started = true
	s.startedAt = now
}

// passed reports whether the given number of seconds has passed since the shutdown began.
func (s *shutdown) passed(now, seconds float64) bool { return now >= s.startedAt+seconds }

// drainTime returns for how many seconds a node that shuts down still answers the flows that it has accepted.
func (n *Node) drainTime() float64 {
	return min(n.listener.MaxConnectTimeout, maxDrainTime) + exitMargin
}

// tooLateForNewFlow reports whether the node is about to exit, so that no new flow would be answered.
func (n *Node) tooLateForNewFlow() bool {
	return n.shutdown.started && n.now >= n.shutdown.startedAt+n.drainTime()-finalAnswerTime
}

// refusesNewFlows reports whether new flows are rejected because of a shutdown. If packets pass through, connections
// outlive the node, so new flows are accepted as long as they can still be answered.
func (n *Node) refusesNewFlows() bool {
	return n.shutdown.started && !n.listener.PassThrough || n.tooLateForNewFlow()
}

// continueShutdown carries out the next steps of a shutdown, until all connections are closed or it is time to exit.
func (n *Node) continueShutdown() {
	if !n.shutdown.started {
		return
	}
	n.drainFlows()
	n.rejectIdleClients()
	limit := n.exitTime(n.hasHeldFlows())
	n.closeListenerWhenDue(limit)
	n.exitWhenDone(limit)
}

// exitTime returns after how many seconds of the shutdown the node exits at the latest. It is never before the clients in
// the listener's queue can be answered, however short the connect timeouts are.
func (n *Node) exitTime(holdsFlows bool) float64 {
	if holdsFlows {
		return maxHoldTime
	}
	return max(n.drainTime(), listenerGrace+finalAnswerTime)
}

// closeListenerWhenDue asks for the listener to be closed, once. A listener whose address another process may share is
// closed after listenerGrace, so that new clients reach that process. Any other listener stays open until the node could
// exit, or until the clients in its queue can only just be answered.
func (n *Node) closeListenerWhenDue(limit float64) {
	if n.shutdown.closeRequested || n.upgrade.clientsHandedOver || !n.shutdown.passed(n.now, listenerGrace) {
		return
	}
	due := n.sharesAddress || n.connections.onlyHealthChecksLeft() || n.shutdown.passed(n.now, limit-finalAnswerTime)
	if due {
		n.shutdown.closeRequested = true
		n.emit(CloseListener{})
	}
}

// drainFlows migrates the flows that are established, and once it is too late for them ends those that still wait. It looks
// at all flows only once each, as every input of a shutdown leads here.
func (n *Node) drainFlows() {
	if !n.shutdown.flowsListed {
		n.shutdown.flowsListed = true
		n.shutdown.toMigrate = n.establishedFlows()
	}
	n.migrateEstablished()
	if n.tooLateForNewFlow() && !n.shutdown.waitingAnswered {
		n.shutdown.waitingAnswered = true
		n.endWaitingFlows()
	}
}

// establishedFlows returns the flows that are established.
func (n *Node) establishedFlows() (established []*flow) {
	for _, f := range n.flows.byIndex {
		if f != nil && f.established && !f.ended {
			established = append(established, f)
		}
	}
	return established
}

// migrateEstablished migrates the flows that have been established. Flows that are being transferred to a successor are
// skipped. If packets pass through, connections outlive the node but would be ended by its orderly exit, so they are not
// migrated but held until the node is killed.
func (n *Node) migrateEstablished() {
	flows := n.shutdown.toMigrate
	n.shutdown.toMigrate = nil
	if n.listener.PassThrough {
		return
	}
	for _, f := range flows {
		if !f.transferring {
			n.migrate(f, MigratedAtShutdown, placement.Canceled)
		}
	}
}

// endWaitingFlows answers the flows that still wait for a host. No other flow begins after that.
func (n *Node) endWaitingFlows() {
	for _, f := range n.flows.byIndex {
		if f != nil && !f.established && !f.ended {
			n.cancelSetup(f)
			n.answer(f.client, []byte(line.ErrLine), ShuttingDown)
		}
	}
}

// hasHeldFlows reports whether flows are held until the node is killed. Flows that are being transferred to a successor do
// not count.
func (n *Node) hasHeldFlows() bool {
	if !n.listener.PassThrough {
		return false
	}
	return n.statistics.Open-n.statistics.Waiting > n.upgrade.transfers.open
}

// rejectIdleClients rejects the clients that have sent no opening line, once it is too late for a new flow.
func (n *Node) rejectIdleClients() {
	if !n.tooLateForNewFlow() {
		return
	}
	for _, c := range n.idle.connections() {
		if c.pendingClose == StreamOpen {
			n.rejectIdle(c, ShuttingDown)
		}
	}
}

// exitWhenDone asks for the exit, once, when no client comes any more and all connections are closed, or when the time is
// over. Otherwise it schedules the next wake.
func (n *Node) exitWhenDone(limit float64) {
	noMoreClients := n.upgrade.clientsHandedOver || n.shutdown.listenerClosed
	done := noMoreClients && n.connections.onlyHealthChecksLeft()
	if !n.shutdown.exitRequested && (done || n.shutdown.passed(n.now, limit)) {
		n.shutdown.exitRequested = true
		n.emit(Exit{})
		return
	}
	n.scheduleShutdownStep(limit)
}

// scheduleShutdownStep schedules a wake for the next step of the shutdown.
func (n *Node) scheduleShutdownStep(limit float64) {
	drained := n.drainTime()
	for _, step := range []float64{listenerGrace, drained - finalAnswerTime, drained, limit - finalAnswerTime, limit} {
		if !n.shutdown.passed(n.now, step) {
			n.timers.balancerWake = min(n.timers.balancerWake, n.shutdown.startedAt+step)
		}
	}
}
