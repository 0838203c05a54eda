package configfeed

import (
	"container/heap"
	"math"
)

// pendingPoll is a poll that is held until the server has a newer version or the deadline has passed.
type pendingPoll struct {
	request  uint64
	poll     Poll
	deadline float64 // time at which the poll is answered in any case, in seconds
	index    int     // position in the deadlineQueue
}

// pendingPolls is the set of held polls, indexed by request, by follower and by deadline. At most one poll is held per
// follower.
type pendingPolls struct {
	queue      deadlineQueue
	byRequest  map[uint64]*pendingPoll
	byFollower map[string]*pendingPoll
}

// newPendingPolls returns an empty set.
func newPendingPolls() *pendingPolls {
	return &pendingPolls{byRequest: map[uint64]*pendingPoll{}, byFollower: map[string]*pendingPoll{}}
}

// add adds a poll. The follower must not have a held poll.
func (h *pendingPolls) add(p *pendingPoll) {
	h.byRequest[p.request] = p
	h.byFollower[p.poll.Follower] = p
	heap.Push(&h.queue, p)
}

// remove removes a held poll.
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

// nextDeadline returns the earliest deadline, in seconds, or infinity if no poll is held.
func (h *pendingPolls) nextDeadline() float64 {
	if first := h.earliest(); first != nil {
		return first.deadline
	}
	return math.Inf(1)
}

// removeAll removes and returns all polls. Their order is determined by the earlier calls alone, so that runs can be
// reproduced.
func (h *pendingPolls) removeAll() []*pendingPoll {
	all := h.queue
	*h = *newPendingPolls()
	return all
}

// deadlineQueue is a heap ordered by deadline. It implements heap.Interface.
type deadlineQueue []*pendingPoll

func (q deadlineQueue) Len() int           { return len(q) }
func (q deadlineQueue) Less(i, j int) bool { return q[i].deadline < q[j].deadline }

func (q deadlineQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
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
