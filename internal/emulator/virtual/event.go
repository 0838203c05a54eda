package virtual

// event is a scheduled function.
type event struct {
	at       float64 // due time in seconds
	rank     uint64  // random order among events of the same time; 0 if the clock does not permute them
	sequence uint64  // position in the order in which events were scheduled
	run      func()
}

// before reports whether the event runs before another. The order is by time, then rank, then sequence.
func (e event) before(other event) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	if e.rank != other.rank {
		return e.rank < other.rank
	}
	return e.sequence < other.sequence
}

// eventQueue is a heap whose first element is the next event. It implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].before(q[j]) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{} // lets the garbage collector free what the function refers to
	*q = (*q)[:last]
	return e
}
