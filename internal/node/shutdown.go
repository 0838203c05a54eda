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
	listenerClosed bool // CloseListener has been emitted
	exitRequested  bool // Exit has been emitted
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
	inFlight := n.drainFlows()
	n.rejectIdleClients()
	if !n.shutdown.listenerClosed && n.shutdown.passed(n.now, listenerGrace) {
		n.shutdown.listenerClosed = true
		n.emit(CloseListener{})
	}
	n.exitWhenDone(inFlight)
}

// drainFlows migrates the established flows, including those established since the shutdown began, and reports whether
// any remain in flight. If packets pass through, connections outlive the node but would be ended by its orderly exit, so
// they are not migrated but held until the node is killed. Flows that are being transferred to a successor are skipped.
func (n *Node) drainFlows() (inFlight bool) {
	for _, f := range n.flows.byIndex {
		switch {
		case f == nil || f.ended || f.transferring:
		case f.established && !n.listener.PassThrough:
			n.migrate(f, MigratedAtShutdown, placement.Canceled)
		case !f.established && n.tooLateForNewFlow():
			n.cancelSetup(f)
			n.answer(f.client, []byte(line.ErrLine), ShuttingDown)
		case f.established:
			inFlight = true
		}
	}
	return inFlight
}

// rejectIdleClients rejects the clients that have sent no opening line, once it is too late for a new flow.
func (n *Node) rejectIdleClients() {
	for _, id := range n.idle.queue {
		c := n.connections.byID[id]
		if c != nil && c.idle && c.pendingClose == StreamOpen && n.tooLateForNewFlow() {
			n.rejectIdle(c, ShuttingDown)
		}
	}
}

// exitWhenDone asks for the exit, once, when all connections are closed or the time is over. Otherwise it schedules the
// next wake.
func (n *Node) exitWhenDone(inFlight bool) {
	limit := n.drainTime()
	if inFlight {
		limit = maxHoldTime
	}
	mayExit := n.upgrade.clientsHandedOver || n.shutdown.passed(n.now, listenerGrace)
	done := mayExit && n.connections.onlyHealthChecksLeft()
	if !n.shutdown.exitRequested && (done || n.shutdown.passed(n.now, limit)) {
		n.shutdown.exitRequested = true
		n.emit(Exit{})
		return
	}
	n.scheduleShutdownStep()
}

// scheduleShutdownStep schedules a wake for the next step of the shutdown.
func (n *Node) scheduleShutdownStep() {
	drained := n.drainTime()
	for _, step := range []float64{listenerGrace, drained - finalAnswerTime, drained, maxHoldTime} {
		if !n.shutdown.passed(n.now, step) {
			n.timers.balancerWake = min(n.timers.balancerWake, n.shutdown.startedAt+step)
			return
		}
	}
}
