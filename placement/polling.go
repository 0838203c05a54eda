package placement

import "math"

const (
	// listServiceRate is the number of list entries per second that all nodes together may request from the list service.
	listServiceRate = 500
	// maxPollSpread is the longest time in seconds over which the polls of all nodes are spread. A change must be in force
	// within six seconds: 1.5 times this spread and three seconds until a poll is answered fit into them.
	maxPollSpread = 2.0
	// maxRewatchDelay is the longest time in seconds from a watch that timed out to the next poll.
	maxRewatchDelay = 1.5
	// urgentPauseFraction is the mean pause after a failed poll while changes are outstanding that must be in force by a
	// certain time, as a fraction of the time that is left.
	urgentPauseFraction = 0.25
	// urgentDelayFraction is the longest time until the next poll, as a fraction of the time that is left.
	urgentDelayFraction = 0.5
	// urgentPollRate is the number of polls per second that all nodes together may make right before such a time. Those that
	// are refused cost the list service less than a list.
	urgentPollRate = 400
	minUrgentPause = 0.02 // mean pause in seconds between two such polls of one node
	// minUrgentAnswerTime is the shortest time in seconds that a poll is given to be answered while changes are outstanding.
	minUrgentAnswerTime = 1.0
	// lateSilence is by how many seconds a watch may have fallen silent after it last sent something, as a watch sends
	// something every two seconds. Changes that it missed may be due so much later than is known here.
	lateSilence = 2.0
	// agentLogPause is the shortest time in seconds between two log lines about polls of an agent that have failed.
	agentLogPause = 1.0
)

// pollingState schedules the polls of the endpoint list. The zero value polls immediately.
type pollingState struct {
	watching bool    // a watch is established, or the poll before it was requested
	nextAt   float64 // when to poll next, unless watching
	backoff  float64 // mean pause in seconds after the last failed poll; 0 after a list was received

	// urgentUntil is the time by which outstanding changes must be in force. Until then the pauses shrink. urgentAfterwards is
	// such a time for later changes, which applies once urgentUntil has passed.
	urgentUntil      float64
	urgentAfterwards float64

	failureLoggedAt float64 // when a failed poll was last logged
}

// RequireChangesBy says that changes of the list which this node may not have must be in force by a time in the future, for
// example after the list service has moved. Polls that fail until then are repeated in time. An earlier such time stays.
func (b *Balancer) RequireChangesBy(now, due float64) {
	p := &b.polling
	if p.urgentLeft(now) <= 0 {
		p.urgentUntil = due
		return
	}
	p.urgentAfterwards = max(p.urgentAfterwards, p.urgentUntil, due)
	p.urgentUntil = min(p.urgentUntil, due)
}

// urgentLeft returns how many seconds are left until outstanding changes must be in force. It is negative after that time.
func (p *pollingState) urgentLeft(now float64) float64 {
	if now >= p.urgentUntil && now < p.urgentAfterwards {
		p.urgentUntil = p.urgentAfterwards
	}
	return p.urgentUntil - now
}

// NextPollAt returns when the list is polled next, infinite while it is watched.
func (b *Balancer) NextPollAt() float64 {
	if b.polling.watching {
		return math.Inf(1)
	}
	return b.polling.nextAt
}

// fleetPollTime returns the time in seconds that the list service needs to send complete lists to all nodes, but no more
// than half of the poll interval and maxPollSpread.
func (b *Balancer) fleetPollTime() float64 {
	return min(float64(b.Nodes*len(b.base))/listServiceRate, b.PollInterval/2, maxPollSpread)
}

// schedulePollAfterFailure sets when to poll after a poll that failed or a watch that timed out. The nodes notice a
// time-out at different times, which already spreads their polls, so the delay is shorter than after a failure.
func (b *Balancer) schedulePollAfterFailure(now float64, kind ListKind) {
	delay := b.random() * min(b.fleetPollTime(), maxRewatchDelay) // for both kinds, to keep later random numbers equal
	if kind != ListTimedOut {
		b.polling.backoff = b.nextPollBackoff(now)
		delay = b.polling.backoff * (0.5 + b.random())
	}
	if left := b.polling.urgentLeft(now); left > 0 {
		delay = min(delay, max(left*urgentDelayFraction, b.shortestUrgentPause()))
	}
	if b.AgentPollPause > 0 { // no other node waits for an agent
		delay = min(delay, b.AgentPollPause)
	}
	b.polling.watching = false
	b.polling.nextAt = now + delay
	b.logFailedPoll(now)
}

// logFailedPoll writes a log line about a failed poll. Polls of an agent may fail many times a second; of those it logs some.
func (b *Balancer) logFailedPoll(now float64) {
	if b.AgentPollPause > 0 && now < b.polling.failureLoggedAt+agentLogPause {
		return
	}
	b.polling.failureLoggedAt = now
	b.logf("no endpoint list received, next poll in %.1f s, %d servers known", b.polling.nextAt-now, len(b.base))
}

// nextPollBackoff returns the mean pause after a failed poll. It is twice that of the failure before, within a lower and an
// upper bound that both grow with the fleet. While outstanding changes must be in force by a certain time, it is a fraction
// of the time that is left.
func (b *Balancer) nextPollBackoff(now float64) float64 {
	pollTime := b.fleetPollTime()
	lowest := max(housekeepingInterval, pollTime/2)
	if left := b.polling.urgentLeft(now); left > 0 {
		return min(lowest, max(left*urgentPauseFraction, b.shortestUrgentPause()))
	}
	highest := max(pollTime, housekeepingInterval, min(1, b.PollInterval/2))
	return min(max(2*b.polling.backoff, lowest), highest)
}

// AnswerTime returns how many seconds a poll that is made now may take to be answered until another one is made beside it.
// That is usual, or less while outstanding changes must be in force by a certain time, as the poll may be lost: then no
// longer than the list service needs for all nodes, and another poll is made at that time at the latest.
func (b *Balancer) AnswerTime(now, usual float64) float64 {
	left := b.polling.urgentLeft(now)
	if left <= -lateSilence {
		return usual
	}
	longest := min(max(b.fleetPollTime(), minUrgentAnswerTime), usual)
	if left < housekeepingInterval {
		return longest
	}
	return min(left, longest)
}

// shortestUrgentPause returns the shortest mean pause in seconds with which the nodes together make no more than
// urgentPollRate polls per second.
func (b *Balancer) shortestUrgentPause() float64 {
	return max(float64(b.Nodes)/urgentPollRate, minUrgentPause)
}

// schedulePollAfterList resets the backoff. After a cached list it spreads the polls of nodes that start at the same time, unless
// each of them polls an agent of its own.
func (b *Balancer) schedulePollAfterList(now float64, kind ListKind) {
	b.polling.backoff = 0
	if kind != ListCached {
		return
	}
	b.polling.nextAt = now + b.random()*b.fleetPollTime()
	if b.AgentPollPause > 0 {
		b.polling.nextAt = now
	}
}
