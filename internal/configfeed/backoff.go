package configfeed

import "math/rand/v2"

// Delays between attempts, in seconds: full jitter under a ceiling that doubles with each failure.
const (
	initialBackoff = 0.2
	maxBackoff     = 1.5
)

// backoff draws the delay after a number of failures in a row, one at the least.
func backoff(random *rand.Rand, failures int) float64 {
	ceiling := initialBackoff
	for range min(failures-1, 8) {
		ceiling *= 2
	}
	return random.Float64() * min(ceiling, maxBackoff)
}
