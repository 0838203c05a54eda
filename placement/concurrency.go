package placement

import "math"

const (
	// commonFailureShare is the share of failed attempts at the other servers above which a failure counts as common.
	commonFailureShare = 0.05
	// limitDecrease is the factor by which a common failure lowers the concurrency limit.
	limitDecrease = 0.7
	// limitDecreasePause is the shortest time in seconds between two such steps: what is in flight fails together.
	limitDecreasePause = 0.2
	// limitLiftPause is the time in seconds without a common failure after which the limit may be lifted.
	limitLiftPause = 5
	// The limit is lifted once it is above limitLiftFactor times the attempts in flight, and limitLiftSlack.
	limitLiftFactor = 4
	limitLiftSlack  = 8
)

// concurrencyLimit bounds the attempts in flight while attempts fail at many servers at once, as they do where a
// store that the servers share is slow.
type concurrencyLimit struct {
	limit     float64 // attempts in flight; infinite while failures are not common
	loweredAt float64
}

func (c *concurrencyLimit) active() bool {
	return !math.IsInf(c.limit, 1)
}

func (c *concurrencyLimit) allows(inFlight int) bool {
	return float64(inFlight) < c.limit
}

// raise adds one for as many successes as the limit has attempts.
func (c *concurrencyLimit) raise() {
	c.limit += 1 / max(c.limit, 1)
}

// limitConcurrency lowers the limit after a failure, if as many attempts fail at the other servers that the
// servers most likely share the fault.
func (b *Balancer) limitConcurrency(now, commonFailures float64) {
	c := &b.concurrency
	if commonFailures <= commonFailureShare || now-c.loweredAt < limitDecreasePause {
		return
	}
	if !c.active() {
		b.logf("failures common, %.0f%% of attempts: concurrency limited from %d in flight",
			100*commonFailures, b.attemptsInFlight)
	}
	c.loweredAt = now
	c.limit = max(1, limitDecrease*min(c.limit, float64(b.attemptsInFlight+1)))
}

// liftConcurrencyLimit ends the limit once it is far above what is in flight.
func (b *Balancer) liftConcurrencyLimit(now float64) {
	c := &b.concurrency
	if !c.active() || now-c.loweredAt <= limitLiftPause {
		return
	}
	if c.limit <= float64(limitLiftFactor*b.attemptsInFlight+limitLiftSlack) {
		return
	}
	c.limit = math.Inf(1)
	b.logf("concurrency limit lifted, %d attempts in flight", b.attemptsInFlight)
}
