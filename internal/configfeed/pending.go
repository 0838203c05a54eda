package configfeed

import "container/heap"

// pendingPoll is a poll that waits for something new.
type pendingPoll struct {
	request  uint64
	poll     Poll
	deadline float64
	index    int // in the queue
}

// pendingPolls holds polls by request and by deadline, and for each follower one at the most.
type pendingPolls struct {
	queue      deadlineQueue
	byRequest  map[uint64]*pendingPoll
	byFollower map[string]*pendingPoll
}

func newPendingPolls() *pendingPolls {
	return &pendingPolls{byRequest: map[uint64]*pendingPoll{}, byFollower: map[string]*pendingPoll{}}
}

func (h *pendingPolls) add(p *pendingPoll) {
	h.byRequest[p.request], h.byFollower[p.poll.Follower] = p, p
	heap.Push(&h.queue, p)
}

func (h *pendingPolls) remove(p *pendingPoll) {
	delete(h.byRequest, p.request)
	delete(h.byFollower, p.poll.Follower)
	heap.Remove(&h.queue, p.index)
}

// earliest returns the poll with the earliest deadline, or nil.
func (h *pendingPolls) earliest() *pendingPoll {
	if len(h.queue) == 0 {
		return nil
	}
	return h.queue[0]
}

// removeAll returns all held polls, in an order that only their calls determine, and holds none any more.
func (h *pendingPolls) removeAll() []*pendingPoll {
	all := h.queue
	*h = *newPendingPolls()
	return all
}

// deadlineQueue is a heap by deadline.
type deadlineQueue []*pendingPoll

func (q deadlineQueue) Len() int           { return len(q) }
func (q deadlineQueue) Less(i, j int) bool { return q[i].deadline < q[j].deadline }
func (q deadlineQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}
func (q *deadlineQueue) Push(x any) {
	p := x.(*pendingPoll)
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
