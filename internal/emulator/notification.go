package emulator

import "math"

// After these times the checker counts a node as notified of a change, whether or not it received the change: a node that
// follows the protocol would have received it by then.
const (
	reachableLimit   = 6.0  // seconds for which discovery has had the change and was reachable
	silenceLimit     = 6.0  // seconds after a watch fell silent
	relocationLimit  = 4.0  // seconds after a node was redirected to another discovery service
	failedCallFactor = 4    // multiple of Rules.PollWithin that applies after a failed call
	socketSlack      = 0.05 // seconds added to each limit for deliveries over sockets
)

// watchState is the true state of a process's watch of the endpoint list, which the process itself may see differently.
// Times are in seconds.
type watchState struct {
	established bool    // there is a watch and it has delivered a list
	pending     bool    // a call is unanswered
	silent      bool    // the watch or the call delivers nothing more
	silentAt    float64 // time at which a watch last fell silent; 0 for never, and after the next delivery
	relocatedAt float64 // time at which it was last redirected to another service; 0 for never, and after the next delivery
	calledAt    float64 // time of the last call
	callFailed  bool    // the last call failed
	startedAt   float64 // start of the process
	relocations int     // relocations of discovery before the service that delivered its list
}

// active reports whether there is an established watch or an unanswered call.
func (w *watchState) active() bool { return w.established || w.pending }

// recordDelivery records that the watch delivered a list.
func (w *watchState) recordDelivery() {
	w.established = true
	w.pending = false
	w.silentAt = 0
	w.relocatedAt = 0
	w.callFailed = false
}

// recordEnd records the end of a watch or of a call, which failed or was cancelled by the process.
func (w *watchState) recordEnd(failed bool) {
	w.callFailed = failed && w.pending
	w.established = false
	w.pending = false
	w.silent = false
}

// recordCall records a call for a watch.
func (w *watchState) recordCall(now float64) {
	w.established = false
	w.pending = true
	w.silent = false
	w.calledAt = now
}

// silenceWatch makes the watch and the calls of a process deliver nothing more.
func (n *nodeProcess) silenceWatch() {
	n.listCalls.silencedUpTo = n.listCalls.newest()
	if n.watchState.active() {
		n.watchState.silent = true
		n.watchState.silentAt = n.sim.Now
	}
}

// notificationDue returns the time in seconds from which a process counts as notified that a host accepts no new flows. This
// is the time at which it received the change or, if earlier, at which it would have received it by following the list as
// its settings require. The time is infinite if neither is known yet.
func (c *checker) notificationDue(n *nodeProcess, h *host) float64 {
	due := math.Inf(1)
	if notifiedAt, notified := n.notifiedAt[h.name]; notified {
		due = notifiedAt
	}
	if h.withdrawnAt == 0 || c.sim.discovery.down {
		return due
	}
	watch := n.watchState
	available := max(h.withdrawnAt, c.sim.discovery.availableSince)
	due = min(due, max(available, watch.startedAt, watch.relocatedAt)+reachableLimit)
	return min(due, watch.notificationDue(c.sim.script.Rules, available))
}

// notificationDue returns the time in seconds from which a process in this state counts as notified of a change that discovery
// can deliver from the time available on. The time is infinite if no limit applies.
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
