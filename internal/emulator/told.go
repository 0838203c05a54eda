package emulator

import "math"

// What counts as told, by the protocol.
const (
	reachedCounts = 6.0  // s after discovery had it and could be reached, whatever became of a call
	silenceCounts = 6.0  // s after a watch fell silent
	moveCounts    = 4.0  // s after a node was told of discovery's new address
	failedCounts  = 4    // times as long after a call that failed
	ruleSlack     = 0.05 // s that each time limit is longer on sockets
)

// hearing is what a process has of the list, as it truly is; the process may take it otherwise.
type hearing struct {
	watched  bool    // a watch stands that has told something
	pending  bool    // a call waits for its answer
	mute     bool    // what stands or waits says nothing any more
	silentAt float64 // since when that is so, or was at the watch before, until the next word; 0 for not
	movedAt  float64 // when it was sent to another discovery, which it has not heard yet; 0 for not
	calledAt float64 // its last call
	failed   bool    // that one failed
	bootAt   float64
	numbered int // which discovery's index it has
}

// open tells whether a watch stands or a call waits.
func (h *hearing) open() bool { return h.watched || h.pending }

// heard takes a word of the watch that stands.
func (h *hearing) heard() {
	h.watched, h.pending, h.silentAt, h.movedAt, h.failed = true, false, 0, 0, false
}

// ended takes the end of a watch, or of a call for one, which failed or was given up.
func (h *hearing) ended(failed bool) {
	h.failed = failed && h.pending
	h.watched, h.pending, h.mute = false, false, false
}

// asks takes a call for a watch.
func (h *hearing) asks(now float64) {
	h.watched, h.pending, h.mute, h.calledAt = false, true, false, now
}

// hush takes the silence of what stands or waits, which has a clock of its own.
func (n *station) hush() {
	n.calls.muted = n.calls.newest()
	if h := &n.hearing; h.open() {
		h.mute, h.silentAt = true, n.w.Now
	}
}

// countsAt gives the time from which on a process counts as told that a host takes nothing new, infinite for not
// yet: when it was told, or would have been had it followed the list as the settings ask.
func (r *rules) countsAt(n *station, h *host) float64 {
	told := math.Inf(1)
	if at, ok := n.told[h.name]; ok {
		told = at
	}
	d, e := r.w.discovery, n.hearing
	if h.leftAt == 0 {
		return told
	}
	if !d.down { // this goes before all that follows
		told = min(told, max(h.leftAt, d.backAt, e.bootAt, e.movedAt)+reachedCounts)
	}
	switch {
	case d.down: // it learns nothing
	case e.movedAt > e.silentAt && (!e.failed || r.w.script.Rules.Pushed): // a silence that came later has its own clock
		return min(told, max(h.leftAt, d.backAt, e.movedAt+moveCounts))
	case e.silentAt > 0 && (e.mute || !e.failed || r.w.script.Rules.Pushed):
		return min(told, max(h.leftAt, d.backAt, e.silentAt+silenceCounts))
	case r.w.script.Rules.Pushed:
		return min(told, max(h.leftAt, d.backAt, e.bootAt))
	case e.open():
	default:
		span := r.w.script.Rules.AskWithin
		if e.failed {
			span *= failedCounts
		}
		return min(told, max(h.leftAt, e.calledAt, d.backAt)+span)
	}
	return told
}
