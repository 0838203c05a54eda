package node

import (
	"gorseledge/internal/line"
	"gorseledge/placement"
)

// Times of a graceful shutdown, in seconds since it began.
const (
	listenerGrace   = 0.6  // new connections go on coming for a while after a node was asked to shut down
	exitMargin      = 0.4  // between the last answer that is awaited and the exit
	finalAnswerTime = 0.1  // of exitMargin, for the answers to what is still waiting then
	maxDrainTime    = 3.0  // however long the connect timeouts are
	maxHoldTime     = 30.0 // for connections in flight to end, where nobody kills the node
)

// shutdown is the state of a graceful shutdown. It never goes back to not started.
type shutdown struct {
	started        bool
	startedAt      float64
	listenerClosed bool // CloseListener has been emitted
	exitRequested  bool // Exit has been emitted
}

// begin starts the shutdown, once. What was accepted is still answered.
func (s *shutdown) begin(now float64) {
	if s.started {
		return
	}
	s.started = true
	s.startedAt = now
}

// passed reports whether a shutdown has been going on for some seconds.
func (s *shutdown) passed(now, seconds float64) bool { return now >= s.startedAt+seconds }

// drainTime returns for how many seconds a node that shuts down still answers what it accepted.
func (n *Node) drainTime() float64 {
	return min(n.listener.MaxConnectTimeout, maxDrainTime) + exitMargin
}

// tooLateForNewFlow reports whether the node is about to exit, so that no new flow would be answered.
func (n *Node) tooLateForNewFlow() bool {
	return n.shutdown.started && n.now >= n.shutdown.startedAt+n.drainTime()-finalAnswerTime
}

// refusesNewFlows reports whether the shutdown leaves no place for a new flow. Where packets pass through, flows are
// still begun as long as they can be answered, as they outlive the node.
func (n *Node) refusesNewFlows() bool {
	return n.shutdown.started && !n.listener.PassThrough || n.tooLateForNewFlow()
}

// continueShutdown goes on with a shutdown until nothing is left or it is time to exit.
func (n *Node) continueShutdown() {
	if !n.shutdown.started {
		return
	}
	inFlight := n.drainFlows()
	n.dismissIdle()
	if !n.shutdown.listenerClosed && n.shutdown.passed(n.now, listenerGrace) {
		n.shutdown.listenerClosed = true
		n.emit(CloseListener{})
	}
	n.exitWhenDone(inFlight)
}

// drainFlows migrates the flows that are established, also those established meanwhile, and reports whether any stay in
// flight. Where packets pass through, connections outlive the node, and its exit would end them: they are held until it
// is killed. Flows that go over to a successor are left alone.
func (n *Node) drainFlows() (inFlight bool) {
	for _, f := range n.flows.byIndex {
		switch {
		case f == nil || f.over || f.transferring:
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

// dismissIdle rejects the clients that have asked for nothing, once it is too late for a new flow.
func (n *Node) dismissIdle() {
	for _, id := range n.idle.queue {
		c := n.connections.byID[id]
		if c != nil && c.idle && c.closeAs == StreamOpen && n.tooLateForNewFlow() {
			n.dismiss(c, ShuttingDown)
		}
	}
}

// exitWhenDone asks for the exit, once, when nothing is left or the time is over, and else for the next wake.
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

// scheduleShutdownStep wakes the node at the next time that the shutdown depends on.
func (n *Node) scheduleShutdownStep() {
	drained := n.drainTime()
	for _, step := range []float64{listenerGrace, drained - finalAnswerTime, drained, maxHoldTime} {
		if !n.shutdown.passed(n.now, step) {
			n.timers.balancerWake = min(n.timers.balancerWake, n.shutdown.startedAt+step)
			return
		}
	}
}
