package fleet

import "slices"

const (
	replayWindowSize = 64      // datagrams that may come late or out of order
	maxSenders       = 1 << 15 // names of senders that are remembered
	processesPerName = 2       // latest processes of a name that are remembered: the older one may still run
)

// replayWindow records which counts of one process were seen.
type replayWindow struct {
	start   uint64 // of the process
	highest uint64 // count
	seen    uint64 // a bit for each count up to the highest one, which is the lowest bit
}

// accept records a count. One that was seen, or is older than the window, is a replay.
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

// checkReplay records the count of a message and rejects a replay. Messages of a process that is older than the
// remembered ones of its name count as replays.
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
