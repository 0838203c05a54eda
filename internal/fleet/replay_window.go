package fleet

import "slices"

const (
	replayWindowSize = 64      // number of latest counts within which datagrams may arrive out of order
	maxSenders       = 1 << 15 // maximum number of sender names that have replay windows
	processesPerName = 2       // maximum number of processes per name with a window; the older one may still run
)

// replayWindow records which of the latest counts of one process were received.
type replayWindow struct {
	start   uint64 // start of the process
	highest uint64 // highest count received
	seen    uint64 // bit i is set if the count highest-i was received
}

// accept records a count. It returns replayed if the count was received before or is older than the window.
func (w *replayWindow) accept(count uint64) rejection {
	if count > w.highest {
		w.seen = w.seen<<min(count-w.highest, replayWindowSize) | 1
		w.highest = count
		return accepted
	}
	age := w.highest - count
	if age >= replayWindowSize || w.seen&(1<<age) != 0 {
		return replayed
	}
	w.seen |= 1 << age
	return accepted
}

// checkReplay records the count of a message and rejects replays. If processesPerName processes of the sender's name are
// known, messages of a process that started before them count as replays.
func (a *authenticator) checkReplay(name string, start, count uint64) rejection {
	windows := a.windows[name]
	i := slices.IndexFunc(windows, func(w replayWindow) bool { return w.start == start })
	if i >= 0 {
		return windows[i].accept(count)
	}
	if len(windows) == 0 && len(a.windows) >= maxSenders {
		return tooManySenders
	}
	if len(windows) == processesPerName {
		oldest := min(windows[0].start, windows[1].start)
		if start < oldest {
			return replayed
		}
		windows = slices.DeleteFunc(windows, func(w replayWindow) bool { return w.start == oldest })
	}
	a.windows[name] = append(windows, replayWindow{start: start, highest: count, seen: 1})
	return accepted
}
