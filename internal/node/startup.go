package node

import "math"

// cachedListTimeout is how many seconds after its start a process without an answer from discovery uses its cached list.
const cachedListTimeout = 6.0

// firstListTimeout is how many seconds the clients of a process with pushed lists wait for the first answer of the agent. What the
// agent has counts from the first moment of the process, so that they are not placed by the cached list before.
const firstListTimeout = 0.25

// upgradedListTime is how many seconds after a successor serves the clients the changes that it has not received must be in
// force.
const upgradedListTime = 2.0

// startup is the state that decides when a new process may open its listener.
type startup struct {
	firstListUntil float64 // until when the listener stays closed for the first answer of an agent; 0 if there is none
	cachedListAt   float64 // when the cached list is used if discovery has not answered by then
	listenerClosed bool    // the listener is not open yet
	openRequested  bool    // OpenListener has been emitted
	hasPredecessor bool    // another process serves the clients until this one can serve
	replacesFrom   float64 // when the other process may shut down without rejecting clients; 0 if there is none
}

// newStartup returns the state of a process before its first input.
func newStartup(now float64, start Start) startup {
	s := startup{
		cachedListAt:   now + cachedListTimeout,
		listenerClosed: !start.OpensListenerAtOnce(),
		hasPredecessor: start.HasPredecessor,
	}
	if start.Listener.ListPushed {
		s.firstListUntil = now + firstListTimeout
	}
	return s
}

// OpensListenerAtOnce reports whether the process opens its listener before it has received any input. Otherwise the node emits
// OpenListener.
func (s *Start) OpensListenerAtOnce() bool {
	return !s.HasPredecessor && s.AwaitSettings == 0 && !s.Listener.ListPushed
}

// opened records that the listener is open. Clients that the other process accepted before may still send their first line
// there for a moment.
func (s *startup) opened(now float64, opened ListenerOpened) {
	s.listenerClosed = false
	if opened.Replaces {
		s.replacesFrom = now + firstLineGrace
	}
}

// listenerOpened handles that the listener is open. A successor has the list that its predecessor handed over, and calls that
// fail are repeated so that later changes are in force in time.
func (n *Node) listenerOpened(opened ListenerOpened) {
	n.startup.opened(n.now, opened)
	if n.startup.hasPredecessor {
		n.balancer.RequireChangesBy(n.now, n.now+upgradedListTime)
	}
}

// awaitsOpening reports whether the listener is closed and OpenListener has not been emitted yet.
func (s *startup) awaitsOpening() bool { return s.listenerClosed && !s.openRequested }

// canServe reports whether clients can be served.
func (n *Node) canServe() bool {
	overdue := n.now >= n.startup.cachedListAt
	return !n.shutdown.started && n.endpoints.hasUsableList(overdue)
}

// startupDeadline returns the next time at which the node may become able to serve without further input, infinite for none.
func (n *Node) startupDeadline() float64 {
	next := math.Inf(1)
	if !n.endpoints.listReceived && n.now < n.startup.cachedListAt {
		next = n.startup.cachedListAt
	}
	if n.startup.awaitsOpening() && n.awaitsSettings() {
		next = min(next, n.live.awaitDeadline)
	}
	if n.startup.awaitsOpening() && n.awaitsFirstList() {
		next = min(next, n.startup.firstListUntil)
	}
	return next
}

// isReady reports whether clients may be sent to this node.
func (n *Node) isReady() bool { return !n.startup.listenerClosed && n.canServe() }

// mayReplaceOther reports whether the process that accepted the clients before may shut down now: the clients that it
// accepted have had the time to send their first line, which it would reject from then on.
func (n *Node) mayReplaceOther() bool { return n.now >= n.startup.replacesFrom }

// canOpenListener reports whether the listener may be opened: the node does not wait for live settings, and if another
// process serves the clients until then, this node can serve them.
func (n *Node) canOpenListener() bool {
	if n.awaitsSettings() || n.awaitsFirstList() || n.shutdown.started {
		return false
	}
	return n.canServe() || !n.startup.hasPredecessor
}

// requestListener asks for the listener to be opened as soon as that is possible.
func (n *Node) requestListener() {
	if !n.startup.awaitsOpening() || !n.canOpenListener() {
		return
	}
	n.startup.openRequested = true
	n.logStartWithoutSettings()
	n.emit(OpenListener{})
}

// awaitsSettings reports whether the listener still waits for a first revision of the live settings.
func (n *Node) awaitsSettings() bool {
	return n.now < n.live.awaitDeadline && n.live.revision.IsZero()
}

// awaitsFirstList reports whether the listener still waits for the first answer of an agent, or for the end of the first call.
func (n *Node) awaitsFirstList() bool {
	return n.now < n.startup.firstListUntil && !n.endpoints.listReceived && n.endpoints.failedCalls == 0
}

// logStartWithoutSettings logs that clients are admitted although no revision was received in time.
func (n *Node) logStartWithoutSettings() {
	if n.live.awaitDeadline > 0 && n.live.revision.IsZero() {
		n.emit(WriteLog{"no live settings in time: clients are admitted under the start settings"})
	}
}
