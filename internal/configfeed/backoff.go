package configfeed

import "math/rand/v2"

// Backoff between polls after failures, in seconds: full jitter below a ceiling that doubles with each failure.
const (
	initialBackoff      = 0.2
	maxBackoff          = 1.5
	maxBackoffDoublings = 8 // enough for the ceiling to exceed maxBackoff
)

// backoff returns a random delay in seconds after a number of consecutive failures, which must be at least 1.
func backoff(random *rand.Rand, failures int) float64 {
	ceiling := initialBackoff
	for range min(failures-1, maxBackoffDoublings) {
		ceiling *= 2
	}
	return random.Float64() * min(ceiling, maxBackoff)
}
