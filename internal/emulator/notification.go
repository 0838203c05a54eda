package emulator

import "math"

// A node counts as notified of a change by the protocol, whether it got it or not, after these times.
const (
	reachableLimit   = 6.0  // seconds in which discovery had the change and could be reached
	silenceLimit     = 6.0  // seconds after a watch fell silent
	relocationLimit  = 4.0  // seconds after a node was sent to another discovery
	failedCallFactor = 4    // times the polling time after a call that failed
	socketSlack      = 0.05 // seconds by which each time limit is longer on sockets
)

// watchState is the true state of a process's watch of the endpoint list. The process may take it otherwise. Times are
// in seconds.
type watchState struct {
	established bool    // a watch stands that has delivered a list
	pending     bool    // a call waits for its answer
	silent      bool    // the watch or the call delivers nothing any more
	silentAt    float64 // when this watch, or the one before, fell silent, until the next delivery; 0 for never
	relocatedAt float64 // when it was sent to another discovery that has not delivered yet; 0 for never
	calledAt    float64 // time of the last call
	callFailed  bool    // the last call failed
	startedAt   float64 // start of the process
	relocations int     // relocations of discovery before the one that numbered its list
}

// active reports whether a watch stands or a call waits.
func (w *watchState) active() bool { return w.established || w.pending }

// received records a delivery of the watch.
func (w *watchState) received() {
	w.established = true
	w.pending = false
	w.silentAt = 0
	w.relocatedAt = 0
	w.callFailed = false
}

// ended records the end of a watch or of a call, which failed or was given up.
func (w *watchState) ended(failed bool) {
	w.callFailed = failed && w.pending
	w.established = false
	w.pending = false
	w.silent = false
}

// calling records a call for a watch.
func (w *watchState) calling(now float64) {
	w.established = false
	w.pending = true
	w.silent = false
	w.calledAt = now
}

// silenceWatch has the watch and the calls of a process deliver nothing any more.
func (n *nodeProcess) silenceWatch() {
	n.listCalls.silencedUpTo = n.listCalls.newest()
	if n.watchState.active() {
		n.watchState.silent = true
		n.watchState.silentAt = n.world.Now
	}
}

// notificationDue returns the time in seconds from which on a process counts as notified that a host takes no new
// flows: when it got the change, or would have got it had it followed the list as the settings ask. It is infinite while
// there is no such time.
func (r *checker) notificationDue(n *nodeProcess, h *host) float64 {
	due := math.Inf(1)
	if notifiedAt, notified := n.notifiedAt[h.name]; notified {
		due = notifiedAt
	}
	if h.withdrawnAt == 0 || r.world.discovery.down {
		return due
	}
	watch := n.watchState
	available := max(h.withdrawnAt, r.world.discovery.availableSince)
	due = min(due, max(available, watch.startedAt, watch.relocatedAt)+reachableLimit)
	return min(due, watch.notificationDue(r.world.script.Rules, available))
}

// notificationDue returns the time in seconds from which on a process in this state counts as notified of a change, infinite
// for no limit. From the given time on discovery could deliver the change.
func (w *watchState) notificationDue(rules Rules, available float64) float64 {
	answered := !w.callFailed || rules.Pushed
	switch {
	case w.relocatedAt > w.silentAt && answered:
		return max(available, w.relocatedAt+relocationLimit)
	case w.silentAt > 0 && (w.silent || answered):
		return max(available, w.silentAt+silenceLimit)
	case rules.Pushed:
		return max(available, w.startedAt)
	case w.active():
		return math.Inf(1)
	case w.callFailed:
		return max(available, w.calledAt) + rules.PollWithin*failedCallFactor
	default:
		return max(available, w.calledAt) + rules.PollWithin
	}
}
