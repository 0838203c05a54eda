package emulator

import "math"

const (
	storeCallTime    = 2e-3 // seconds of one call
	storeRefusalTime = 0.05 // seconds of one call that is refused
)

// sessionStore is the store that each set-up calls. It refuses calls beyond its limit within a second of the clock.
type sessionStore struct {
	world     *simulation
	callLimit float64 // calls a second; 0 for no limit
	second    float64 // the present second of the clock
	calls     float64 // within it
	peak      float64 // most calls within a second
	rejected  int
}

// call makes one call. It returns the seconds that the call takes, and whether the store accepts it.
func (s *sessionStore) call() (seconds float64, accepted bool) {
	second := math.Floor(s.world.Now)
	if second != s.second {
		s.second = second
		s.calls = 0
	}
	s.calls++
	s.peak = max(s.peak, s.calls)
	if s.callLimit > 0 && s.calls > s.callLimit {
		s.rejected++
		return storeRefusalTime, false
	}
	return storeCallTime, true
}
