package emulator

import "math"

// What counts as told, by the protocol.
const (
	reachableLimit   = 6.0  // s after discovery had it and could be reached, whatever became of a call
	silenceLimit     = 6.0  // s after a watch fell silent
	relocationLimit  = 4.0  // s after a node was told of discovery's new address
	failedCallFactor = 4    // times as long after a call that failed
	socketSlack      = 0.05 // s that each time limit is longer on sockets
)

// watchState is what a process has of the list, as it truly is; the process may take it otherwise.
type watchState struct {
	established bool    // a watch stands that has told something
	pending     bool    // a call waits for its answer
	silent      bool    // what stands or waits says nothing any more
	silentAt    float64 // since when that is so, or was at the watch before, until the next word; 0 for not
	relocatedAt float64 // when it was sent to another discovery, which it has not heard yet; 0 for not
	calledAt    float64 // its last call
	callFailed  bool    // that one failed
	startedAt   float64
	relocations int // which discovery's index it has
}

// active tells whether a watch stands or a call waits.
func (h *watchState) active() bool { return h.established || h.pending }

// received takes a word of the watch that stands.
func (h *watchState) received() {
	h.established, h.pending, h.silentAt, h.relocatedAt, h.callFailed = true, false, 0, 0, false
}

// ended takes the end of a watch, or of a call for one, which failed or was given up.
func (h *watchState) ended(failed bool) {
	h.callFailed = failed && h.pending
	h.established, h.pending, h.silent = false, false, false
}

// calling takes a call for a watch.
func (h *watchState) calling(now float64) {
	h.established, h.pending, h.silent, h.calledAt = false, true, false, now
}

// silenceWatch takes the silence of what stands or waits, which has a clock of its own.
func (n *nodeProcess) silenceWatch() {
	n.listCalls.silencedUpTo = n.listCalls.newest()
	if h := &n.watchState; h.active() {
		h.silent, h.silentAt = true, n.world.Now
	}
}

// notificationDue gives the time from which on a process counts as told that a host takes nothing new, infinite for not
// yet: when it was told, or would have been had it followed the list as the settings ask.
func (r *checker) notificationDue(n *nodeProcess, h *host) float64 {
	told := math.Inf(1)
	if at, ok := n.notifiedAt[h.name]; ok {
		told = at
	}
	d, e := r.world.discovery, n.watchState
	if h.withdrawnAt == 0 {
		return told
	}
	if !d.down { // this goes before all that follows
		told = min(told, max(h.withdrawnAt, d.availableSince, e.startedAt, e.relocatedAt)+reachableLimit)
	}
	switch {
	case d.down: // it learns nothing
	case e.relocatedAt > e.silentAt && (!e.callFailed || r.world.script.Rules.Pushed): // a silence that came later has its own clock
		return min(told, max(h.withdrawnAt, d.availableSince, e.relocatedAt+relocationLimit))
	case e.silentAt > 0 && (e.silent || !e.callFailed || r.world.script.Rules.Pushed):
		return min(told, max(h.withdrawnAt, d.availableSince, e.silentAt+silenceLimit))
	case r.world.script.Rules.Pushed:
		return min(told, max(h.withdrawnAt, d.availableSince, e.startedAt))
	case e.active():
	default:
		span := r.world.script.Rules.PollWithin
		if e.callFailed {
			span *= failedCallFactor
		}
		return min(told, max(h.withdrawnAt, e.calledAt, d.availableSince)+span)
	}
	return told
}
