package node

import (
	"fmt"
	"math"

	"gorseledge/placement"
)

// A node must act on a change within 6 s of the time when discovery has it and can be reached, or it may send flows to
// hosts that have left. Within that time a silent watch has to be noticed, and the call that follows has to be made and
// answered in its turn. Times in seconds.
const (
	watchSilenceTimeout = 2.5 // a watch sends something every two seconds
	watchAnswerTimeout  = 4.0 // for an answer to begin, as discovery works through calls in turn

	// agentPollInterval is within how many seconds a new watch is asked for where lists are pushed to the machine's own
	// agent. No other node waits for that agent, and what it has counts at once.
	agentPollInterval = 0.5
)

// watchState says how far the watch has come.
type watchState uint8

const (
	watchIdle      watchState = iota // none is asked for; the balancer decides when
	watchRequested                   // asked for, and nothing has come yet
	watchActive
)

// endpointWatch knows the state of the watch of the endpoint list, and how old the list is.
type endpointWatch struct {
	state           watchState
	lastActivity    float64 // when the watch was asked for last, or last sent anything
	listConfirmedAt float64 // when a watch last sent a whole line, or this process began
	lineStartedAt   float64 // since when an unfinished line has been coming; 0 for none
}

// deadline returns when the silence of the watch is too long, infinite where there is no watch.
func (w *endpointWatch) deadline() float64 {
	switch w.state {
	case watchRequested:
		return w.lastActivity + watchAnswerTimeout
	case watchActive:
		silence := w.lastActivity + watchSilenceTimeout
		if w.lineStartedAt > 0 { // a line that comes byte by byte may not go on for ever
			return min(silence, w.lineStartedAt+watchAnswerTimeout)
		}
		return silence
	}
	return math.Inf(1)
}

// noteActivity notes that the watch has sent something, midLine within a line that has not ended yet.
func (w *endpointWatch) noteActivity(now float64, midLine bool) {
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

// request notes that a watch is asked for.
func (w *endpointWatch) request(now float64) {
	w.state = watchRequested
	w.lastActivity = now
	w.lineStartedAt = 0
}

// age returns how many seconds ago the list was confirmed last.
func (w *endpointWatch) age(now float64) float64 { return now - w.listConfirmedAt }

// watchEndpoints asks for a watch of the list unless there is one, as after a move of discovery, where the balancer may
// still decide to ask although discoveryMoved has done so.
func (n *Node) watchEndpoints() {
	if n.watch.state != watchIdle {
		return
	}
	n.watch.request(n.now)
	n.emit(Watch{Index: n.endpoints.listIndex})
}

// discoveryMoved asks for a watch at discovery's new address, at once: any backoff was for the old one.
func (n *Node) discoveryMoved() {
	n.watch.state = watchIdle
	n.watchEndpoints()
}

// watchEnded handles the end of a watch, or of a call for one.
func (n *Node) watchEnded(kind placement.ListKind, reason string) {
	n.endpoints.failedCalls++
	n.watch.state = watchIdle
	n.balancer.UpdateEndpoints(n.now, kind, nil)
	n.emit(WriteLog{fmt.Sprintf("discovery: %s, the list is %.1f s old", reason, n.watch.age(n.now))})
}

// checkWatchSilence ends a watch that has been silent for too long. A call that waits for its answer is not given up,
// as at a slow discovery a new call starts again at the end of the queue: another is made beside it, in case the first
// got lost. The machine's own agent has no queue.
func (n *Node) checkWatchSilence() {
	if n.now < n.watch.deadline() {
		return
	}
	if n.watch.state == watchRequested && !n.listener.ListPushed {
		n.endpoints.failedCalls++
		n.watch.lastActivity = n.now
		n.emit(Watch{Index: n.endpoints.listIndex, KeepPrevious: true})
		n.emit(WriteLog{fmt.Sprintf("discovery: no answer for %.0f s, asked once more beside, the list is %.1f s old",
			watchAnswerTimeout, n.watch.age(n.now))})
		return
	}
	n.emit(StopWatch{})
	n.watchEnded(placement.ListTimedOut, "the watch is silent")
}
