package configfeed

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// Delay until the preferred server is polled again after a failure, in seconds. It doubles with each failure of the
// preferred server.
const (
	minPreferredRetryDelay = 15.0
	maxPreferredRetryDelay = 300.0
)

// preferredRetryJitter is the width of the range from which the actual delay is chosen at random, as a share of the delay.
const preferredRetryJitter = 0.5

// serverSelection decides which server a follower polls, and when. The first server is the preferred one. After a failure
// the next server is polled, with a backoff. While another server is polled, the preferred one is tried again after a
// delay.
type serverSelection struct {
	servers  []ServerAddress // in the order in which they are polled
	random   *rand.Rand
	index    int     // of the current server
	answered bool    // the current server answered the last poll
	failures int     // consecutive failures
	pollAt   float64 // when the next poll is due

	preferredRetryAt    float64 // when the preferred server is tried again; infinity while it is the current server
	preferredRetryDelay float64
}

// newServerSelection returns a selection whose first poll is due at a random time within startSpread.
func newServerSelection(now float64, servers []ServerAddress, region string, random *rand.Rand) serverSelection {
	return serverSelection{
		servers:             orderServers(servers, region, random),
		random:              random,
		pollAt:              now + random.Float64()*startSpread,
		preferredRetryAt:    math.Inf(1),
		preferredRetryDelay: minPreferredRetryDelay,
	}
}

// orderServers returns the servers in the order in which a follower polls them: first those of its region, then the
// others, each group in random order.
func orderServers(servers []ServerAddress, region string, random *rand.Rand) []ServerAddress {
	order := slices.Clone(servers)
	random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	rank := func(s ServerAddress) int {
		if s.Region == region {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(order, func(a, b ServerAddress) int { return cmp.Compare(rank(a), rank(b)) })
	return order
}

// current returns the server that is polled.
func (s *serverSelection) current() ServerAddress { return s.servers[s.index] }

// returnToPreferred selects the preferred server again once its delay is over.
func (s *serverSelection) returnToPreferred(now float64) {
	if now < s.preferredRetryAt || s.index == 0 {
		return
	}
	s.index = 0
	s.answered = false
}

// advance selects the next server after a failure of the current one, and delays the next poll by a backoff. If stay is
// set, as the rule neverSwitchServer requires, the current server is kept.
func (s *serverSelection) advance(now float64, stay bool) {
	if s.index == 0 {
		s.preferredRetryDelay = min(2*s.preferredRetryDelay, maxPreferredRetryDelay)
		s.preferredRetryAt = math.Inf(1)
	}
	if !stay {
		s.index = (s.index + 1) % len(s.servers)
	}
	s.retry(now)
	s.answered = false
}

// retry delays the next poll by a backoff.
func (s *serverSelection) retry(now float64) {
	s.failures++
	s.pollAt = now + backoff(s.random, s.failures)
}

// keep records a successful answer of the current server. Its next poll is due immediately.
func (s *serverSelection) keep(now float64) {
	s.failures = 0
	s.answered = true
	s.pollAt = now
	if s.index == 0 {
		s.preferredRetryDelay = minPreferredRetryDelay
		s.preferredRetryAt = math.Inf(1)
		return
	}
	if math.IsInf(s.preferredRetryAt, 1) {
		spread := 1 + preferredRetryJitter*(s.random.Float64()-0.5)
		s.preferredRetryAt = now + s.preferredRetryDelay*spread
	}
}

// allFailed reports whether at least as many consecutive polls failed as there are servers, so that each was tried.
func (s *serverSelection) allFailed() bool { return s.failures >= len(s.servers) }
