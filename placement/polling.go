package placement

const (
	// listServiceRate is the number of list entries per second that all nodes together may request from the list service.
	listServiceRate = 500
	// maxPollSpread is the longest time in seconds over which the polls of all nodes are spread. A change must be in force
	// within six seconds: 1.5 times this spread and three seconds until a poll is answered fit into them.
	maxPollSpread = 2.0
	// maxRewatchDelay is the longest time in seconds from a watch that timed out to the next poll.
	maxRewatchDelay = 1.5
	// missedChangeTime is how many seconds after a watch that fell silent has timed out the changes that it missed must be in
	// force. A watch times out 2.5 s after its last sign of life.
	missedChangeTime = 3.5
)

// pollingState schedules the polls of the endpoint list. The zero value polls immediately.
type pollingState struct {
	watching bool    // a watch is established, or the poll before it was requested
	nextAt   float64 // when to poll next, unless watching
	backoff  float64 // mean pause in seconds after the last failed poll; 0 after a list was received

	// urgentUntil is the time until which the pauses do not grow, as changes that a silent watch missed must be in force by
	// then.
	urgentUntil float64
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
	if kind == ListTimedOut {
		b.polling.urgentUntil = now + missedChangeTime
	} else {
		b.polling.backoff = b.nextPollBackoff(now)
		delay = b.polling.backoff * (0.5 + b.random())
	}
	b.polling.watching = false
	b.polling.nextAt = now + delay
	b.logf("no endpoint list received, next poll in %.1f s, %d servers known", b.polling.nextAt-now, len(b.base))
}

// nextPollBackoff returns twice the current backoff, within a lower and an upper bound that both grow with the fleet. While
// changes that a silent watch missed may be outstanding, it returns the lower bound.
func (b *Balancer) nextPollBackoff(now float64) float64 {
	pollTime := b.fleetPollTime()
	lowest := max(housekeepingInterval, pollTime/2)
	if now >= b.polling.urgentUntil {
		lowest = max(2*b.polling.backoff, lowest)
	}
	highest := max(pollTime, housekeepingInterval, min(1, b.PollInterval/2))
	return min(lowest, highest)
}

// schedulePollAfterList resets the backoff. After a cached list it spreads the polls of nodes that start at the same time.
func (b *Balancer) schedulePollAfterList(now float64, kind ListKind) {
	b.polling.backoff = 0
	if kind == ListCached {
		b.polling.nextAt = now + b.random()*b.fleetPollTime()
	}
}
