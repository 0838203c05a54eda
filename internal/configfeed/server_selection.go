package configfeed

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// Times of the return to the preferred server, in seconds. The delay doubles each time that the preferred server fails.
const (
	minPreferredRetryDelay = 15.0
	maxPreferredRetryDelay = 300.0
)

// preferredRetryJitter is the width of the range over which the delay is spread, as a share of the delay.
const preferredRetryJitter = 0.5

// serverSelection decides which server a follower polls, and when. The first server is the preferred one. After a
// failure the next server's turn comes with a backoff; the preferred one is tried again after a delay.
type serverSelection struct {
	servers  []ServerAddress // in the order in which they are tried
	random   *rand.Rand
	index    int     // of the server that is polled
	answered bool    // the server at index answered the last poll
	failures int     // in a row
	pollAt   float64 // when the next poll is due

	preferredRetryAt    float64 // when the preferred server is tried again; infinite while it is polled
	preferredRetryDelay float64
}

// newServerSelection returns a selection whose first poll is due within startSpread.
func newServerSelection(now float64, servers []ServerAddress, region string, random *rand.Rand) serverSelection {
	return serverSelection{
		servers:             orderServers(servers, region, random),
		random:              random,
		pollAt:              now + random.Float64()*startSpread,
		preferredRetryAt:    math.Inf(1),
		preferredRetryDelay: minPreferredRetryDelay,
	}
}

// orderServers returns the servers in the order in which a follower tries them: those of its region first, in a random
// order within each part.
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

// advance selects the next server after a failure of the current one, with a backoff. A build with stay set remains at
// the current server.
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

// keep records a good answer of the current server, whose next poll is due at once.
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

// allFailed reports whether so many polls failed in a row that each server had one.
func (s *serverSelection) allFailed() bool { return s.failures >= len(s.servers) }
