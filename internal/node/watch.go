package node

import (
	"fmt"
	"math"

	"gorseledge/placement"
)

// A node must apply a change of the list within 6 s after discovery has the change and can be reached, or it may send
// flows to hosts that are no longer listed. Within that time the node has to detect that the watch is silent, make a new
// call, and receive the answer, which may wait in discovery's queue. Times are in seconds.
const (
	watchSilenceTimeout = 2.5 // a watch sends something every two seconds
	watchAnswerTimeout  = 4.0 // until an answer begins, as discovery handles calls one after the other

	// missedChangeTime is how long after the last sign of life of a watch the changes that it missed must be in force.
	missedChangeTime = 6.0

	// movedListTime is how long after a new configuration named another address of discovery its changes must be in force.
	movedListTime = 4.0

	// agentPollInterval is the longest time until a new watch is asked for if lists are pushed to an agent on the same
	// machine. No other node waits for that agent, and a list that it has is in force at once.
	agentPollInterval = 0.5

	// agentPollsPerGrace is how many times within the grace of a drain an agent is asked again that has refused a call, as
	// the grace begins when the agent has the drain.
	agentPollsPerGrace = 2
	minAgentPause      = 0.02 // between two such calls, however short the grace is
	agentLogPause      = 1.0  // between two log lines about such calls
)

// watchState is the state of the watch of the endpoint list.
type watchState uint8

const (
	watchIdle      watchState = iota // no watch; the balancer decides when to ask for one
	watchRequested                   // a watch was asked for, and nothing has been received from it yet
	watchActive
)

// endpointWatch is the state of the watch of the endpoint list, and the time at which the list was last confirmed.
type endpointWatch struct {
	state           watchState
	lastActivity    float64 // when the watch was last asked for or last sent anything
	answerTimeout   float64 // seconds that the last call may take to be answered
	listConfirmedAt float64 // when a watch last sent a complete line, or else when this process started
	lineStartedAt   float64 // when the first part of a line that is still incomplete was received; 0 for none
	lineTimeout     float64 // seconds for which an incomplete line may send nothing

	failureLoggedAt float64 // when a failed call was last logged
}

// deadline returns when the watch counts as silent for too long, infinite if there is none.
func (w *endpointWatch) deadline() float64 {
	switch w.state {
	case watchRequested:
		return w.lastActivity + w.answerTimeout
	case watchActive:
		if w.lineStartedAt > 0 { // a line that arrives byte by byte must not keep the watch alive for ever
			return min(w.lastActivity+w.lineTimeout, w.lineStartedAt+watchAnswerTimeout)
		}
		return w.lastActivity + watchSilenceTimeout
	}
	return math.Inf(1)
}

// watchAlive handles that the watch has sent something. While missed changes are outstanding, a line that is still incomplete is
// waited for no longer than an answer: its bytes come one after the other.
func (n *Node) watchAlive(midLine bool) {
	n.watch.recordActivity(n.now, midLine)
	n.watch.lineTimeout = min(watchSilenceTimeout, n.answerTimeout())
}

// recordActivity notes that the watch has sent something. midLine says that the last line is still incomplete.
func (w *endpointWatch) recordActivity(now float64, midLine bool) {
	w.lineTimeout = watchSilenceTimeout
	switch {
	case !midLine:
		w.listConfirmedAt = now
		w.lineStartedAt = 0
	case w.lineStartedAt == 0:
		w.lineStartedAt = now
	}
	if w.state != watchIdle {
		w.state = watchActive
		w.lastActivity = now
	}
}

// request notes that a watch is asked for, and how many seconds the call may take to be answered.
func (w *endpointWatch) request(now, answerTimeout float64) {
	w.state = watchRequested
	w.lastActivity = now
	w.answerTimeout = answerTimeout
	w.lineStartedAt = 0
}

// age returns how many seconds ago the list was last confirmed.
func (w *endpointWatch) age(now float64) float64 { return now - w.listConfirmedAt }

// watchEndpoints asks for a watch of the list unless there is one already. After a move of discovery, the balancer may
// still ask for a watch that discoveryMoved has already requested.
func (n *Node) watchEndpoints() {
	if n.watch.state != watchIdle {
		return
	}
	n.watch.request(n.now, n.answerTimeout())
	n.emit(Watch{Index: n.endpoints.listIndex})
}

// answerTimeout returns how many seconds a call that is made now may take to be answered.
func (n *Node) answerTimeout() float64 { return n.balancer.AnswerTime(n.now, watchAnswerTimeout) }

// discoveryMoved asks for a watch at discovery's new address at once, as any backoff applied to the old address. Calls that
// fail there are repeated so that changes are in force in time.
func (n *Node) discoveryMoved() {
	n.balancer.RequireChangesBy(n.now, n.now+movedListTime)
	n.watch.state = watchIdle
	n.watchEndpoints()
}

// agentPollPause returns the longest pause in seconds after a call that an agent on the same machine has refused, for a grace of
// drains in seconds.
func agentPollPause(drainGrace float64) float64 {
	if drainGrace <= 0 {
		return agentPollInterval
	}
	return min(max(drainGrace/agentPollsPerGrace, minAgentPause), agentPollInterval)
}

// watchEnded handles the end of a watch, or of a call that asked for one. The balancer decides when to ask for the next.
func (n *Node) watchEnded(kind placement.ListKind, reason string) {
	n.watch.state = watchIdle
	n.endpoints.failedCalls++
	n.balancer.UpdateEndpoints(n.now, kind, nil)
	if n.listener.ListPushed && n.now < n.watch.failureLoggedAt+agentLogPause {
		return
	}
	n.watch.failureLoggedAt = n.now
	n.emit(WriteLog{fmt.Sprintf("discovery: %s, the list is %.1f s old", reason, n.watch.age(n.now))})
}

// checkWatchSilence ends a watch that has been silent for too long, and makes another call if one was not answered in time.
func (n *Node) checkWatchSilence() {
	if n.now < n.watch.deadline() {
		return
	}
	switch {
	case n.watch.state == watchRequested && !n.listener.ListPushed:
		n.repeatCall()
		return
	case n.watch.state == watchActive:
		n.balancer.RequireChangesBy(n.now, n.watch.lastActivity+missedChangeTime)
	}
	n.emit(StopWatch{})
	n.watchEnded(placement.ListTimedOut, "the watch is silent")
}

// repeatCall makes another call beside one that still waits for its answer, in case that one was lost. The earlier call is
// not canceled, as a slow discovery would put a new call at the end of its queue. An agent on the same machine has no queue,
// so a call to it is canceled instead.
func (n *Node) repeatCall() {
	n.endpoints.failedCalls++
	waited := n.now - n.watch.lastActivity
	n.watch.lastActivity = n.now
	n.watch.answerTimeout = n.answerTimeout()
	n.emit(Watch{Index: n.endpoints.listIndex, KeepPrevious: true})
	n.emit(WriteLog{fmt.Sprintf("discovery: no answer for %.0f s, made a second call in parallel, the list is %.1f s old",
		waited, n.watch.age(n.now))})
}
