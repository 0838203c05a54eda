package node

// transferQueue holds the flows that are being transferred to the successor. There may be tens of thousands, so a flow is
// looked at when something about it has changed, and not at each input.
type transferQueue struct {
	waiting  []*flow // in the order in which their transfers began; may contain flows that no longer wait
	changed  []*flow // flows that may have become ready, or have begun to end, since the last takeChanged
	ready    []*flow // flows that can be sent; may contain flows that no longer wait
	inFlight int     // flows in transit
	open     int     // flows that are being transferred and have not ended
}

// add adds a flow whose transfer begins.
func (q *transferQueue) add(f *flow) {
	q.open++
	q.waiting = append(q.waiting, f)
	q.noteChange(f)
}

// remove removes a flow whose transfer is over or canceled. Its entries in the lists are dropped later.
func (q *transferQueue) remove(f *flow) {
	if f.transferring && !f.ended {
		q.open--
	}
	f.transferring = false
	f.transferReady = false
}

// ended notes the end of a flow, which counts as open until then. The flow's field ended is not set yet.
func (q *transferQueue) ended(f *flow) {
	if f.transferring {
		q.open--
		q.noteChange(f)
	}
}

// noteChange notes that a flow may have become ready, or has begun to end.
func (q *transferQueue) noteChange(f *flow) {
	if f != nil && f.awaitsTransfer() {
		q.changed = append(q.changed, f)
	}
}

// takeChanged returns the flows that have changed since the last call.
func (q *transferQueue) takeChanged() []*flow {
	changed := q.changed
	q.changed = nil
	return changed
}

// addReady adds a flow that can be sent, once.
func (q *transferQueue) addReady(f *flow) {
	if !f.transferReady {
		f.transferReady = true
		q.ready = append(q.ready, f)
	}
}

// takeReady removes the first flow that can be sent and returns it.
func (q *transferQueue) takeReady() *flow {
	f := q.ready[0]
	q.ready = q.ready[1:]
	f.transferReady = false
	return f
}

// awaitsTransfer reports whether a flow is to be transferred and has not been sent yet.
func (f *flow) awaitsTransfer() bool { return f.transferring && !f.inTransit }
