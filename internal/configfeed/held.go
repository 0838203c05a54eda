package configfeed

import "container/heap"

// heldPoll is a poll that waits for something new.
type heldPoll struct {
	request  uint64
	poll     Poll
	deadline float64
	index    int // in the queue
}

// heldPolls holds polls by request and by deadline, and for each follower one at the most.
type heldPolls struct {
	queue      deadlineQueue
	byRequest  map[uint64]*heldPoll
	byFollower map[string]*heldPoll
}

func newHeldPolls() *heldPolls {
	return &heldPolls{byRequest: map[uint64]*heldPoll{}, byFollower: map[string]*heldPoll{}}
}

func (h *heldPolls) add(p *heldPoll) {
	h.byRequest[p.request], h.byFollower[p.poll.Follower] = p, p
	heap.Push(&h.queue, p)
}

func (h *heldPolls) remove(p *heldPoll) {
	delete(h.byRequest, p.request)
	delete(h.byFollower, p.poll.Follower)
	heap.Remove(&h.queue, p.index)
}

// first gives the poll with the earliest deadline, or nil.
func (h *heldPolls) first() *heldPoll {
	if len(h.queue) == 0 {
		return nil
	}
	return h.queue[0]
}

// takeAll gives all held polls, in an order that only their calls determine, and holds none any more.
func (h *heldPolls) takeAll() []*heldPoll {
	all := h.queue
	*h = *newHeldPolls()
	return all
}

// deadlineQueue is a heap by deadline.
type deadlineQueue []*heldPoll

func (q deadlineQueue) Len() int           { return len(q) }
func (q deadlineQueue) Less(i, j int) bool { return q[i].deadline < q[j].deadline }
func (q deadlineQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}
func (q *deadlineQueue) Push(x any) {
	p := x.(*heldPoll)
	p.index = len(*q)
	*q = append(*q, p)
}
func (q *deadlineQueue) Pop() any {
	last := len(*q) - 1
	p := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return p
}
