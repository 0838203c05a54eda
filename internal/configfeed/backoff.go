package configfeed

import "math/rand/v2"

// Backoff between attempts, in seconds: full jitter below a ceiling that doubles with each failure.
const (
	initialBackoff      = 0.2
	maxBackoff          = 1.5
	maxBackoffDoublings = 8 // by then the ceiling is beyond maxBackoff
)

// backoff draws the delay in seconds after a number of failures in a row, which is at least one.
func backoff(random *rand.Rand, failures int) float64 {
	ceiling := initialBackoff
	for range min(failures-1, maxBackoffDoublings) {
		ceiling *= 2
	}
	return random.Float64() * min(ceiling, maxBackoff)
}
