package placement

import "math"

const (
	// commonFailureRatio is the ratio of failed attempts at the other servers above which a failure counts as common,
	// that is, as caused by a fault that the servers share.
	commonFailureRatio = 0.05
	// limitDecrease is the factor by which a common failure lowers the concurrency limit.
	limitDecrease = 0.7
	// limitDecreasePause is the shortest time in seconds between two decreases of the limit. Attempts that were in flight
	// together also fail together and must lower the limit only once.
	limitDecreasePause = 0.2
	// limitLiftPause is the time in seconds without a common failure after which the limit may be lifted.
	limitLiftPause = 5
	// The limit is lifted once it exceeds limitLiftFactor times the attempts in flight plus limitLiftSlack attempts.
	limitLiftFactor = 4
	limitLiftSlack  = 8
)

// concurrencyLimit bounds the attempts in flight while attempts fail at many servers at once, for example because a
// store that the servers share is slow.
type concurrencyLimit struct {
	limit     float64 // attempts in flight; infinite while failures are not common
	loweredAt float64 // when a common failure last lowered the limit
}

func (c *concurrencyLimit) active() bool {
	return !math.IsInf(c.limit, 1)
}

func (c *concurrencyLimit) allows(inFlight int) bool {
	return float64(inFlight) < c.limit
}

// raise increases the limit after a successful attempt, by one for each round of as many successes as the limit allows
// attempts in flight.
func (c *concurrencyLimit) raise() {
	c.limit += 1 / max(c.limit, 1)
}

// limitConcurrency lowers the limit after a failure if the ratio of failed attempts at the other servers is so high that
// the servers most likely share the fault.
func (b *Balancer) limitConcurrency(now, commonFailures float64) {
	c := &b.concurrency
	if commonFailures <= commonFailureRatio || now-c.loweredAt < limitDecreasePause {
		return
	}
	if !c.active() {
		b.logf("%.0f%% of attempts at other servers failed: concurrency limited, %d attempts in flight",
			100*commonFailures, b.attemptsInFlight)
	}
	c.loweredAt = now
	c.limit = max(1, limitDecrease*min(c.limit, float64(b.attemptsInFlight+1)))
}

// liftConcurrencyLimit removes the limit once it is far above the number of attempts in flight.
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
