package placement

const (
	// listServiceRate is the number of list entries a second that all nodes together may ask of the list service.
	listServiceRate = 500
	// maxPollSpread is the longest time in seconds over which all nodes' polls are spread. Half as much again, and
	// three seconds until a poll is answered, stay within the six after which a change must be in force.
	maxPollSpread = 2.0
	// maxRewatchDelay is the longest time in seconds until the poll after a watch that timed out.
	maxRewatchDelay = 1.5
)

// pollingState is when the endpoint list is polled next. The zero value polls at once.
type pollingState struct {
	watching bool    // a watch stands, or its poll was asked for
	nextAt   float64 // when to poll, unless watching
	backoff  float64 // mean pause after the last failure; 0 after a list
}

// fleetPollTime returns the time in seconds that the complete lists of all nodes take at the list service, within
// the time in which each node has to poll.
func (b *Balancer) fleetPollTime() float64 {
	return min(float64(b.Nodes*len(b.base))/listServiceRate, b.PollInterval/2, maxPollSpread)
}

// schedulePollAfterFailure sets when to poll after a poll that failed or a watch that timed out. Each node finds a
// time-out by its own clock, which spreads the polls already, so it waits less than after a failure.
func (b *Balancer) schedulePollAfterFailure(now float64, kind ListKind) {
	delay := b.random() * min(b.fleetPollTime(), maxRewatchDelay) // drawn for both kinds, which keeps later draws equal
	if kind == ListFailed {
		b.polling.backoff = b.nextPollBackoff()
		delay = b.polling.backoff * (0.5 + b.random())
	}
	b.polling.watching = false
	b.polling.nextAt = now + delay
	b.logf("poll of the endpoint list failed, next in %.1f s, %d servers known", b.polling.nextAt-now, len(b.base))
}

// nextPollBackoff doubles the backoff between a lower and an upper bound that both grow with the fleet.
func (b *Balancer) nextPollBackoff() float64 {
	pollTime := b.fleetPollTime()
	lowest := max(2*b.polling.backoff, housekeepingInterval, pollTime/2)
	highest := max(pollTime, housekeepingInterval, min(1, b.PollInterval/2))
	return min(lowest, highest)
}

// schedulePollAfterList ends the backoff. After a cached list it spreads the polls of nodes that start together.
func (b *Balancer) schedulePollAfterList(now float64, kind ListKind) {
	b.polling.backoff = 0
	if kind == ListCached {
		b.polling.nextAt = now + b.random()*b.fleetPollTime()
	}
}
