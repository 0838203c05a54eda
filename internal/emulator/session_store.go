package emulator

import "math"

const (
	storeCallTime    = 2e-3 // seconds of an accepted call
	storeRefusalTime = 0.05 // seconds of a refused call
)

// sessionStore is the simulated store that each set-up calls. It refuses the calls above its limit in each second of the
// clock.
type sessionStore struct {
	sim       *simulation
	callLimit timedLimit // calls a second; 0 for no limit
	second    float64    // second of the clock to which calls belongs
	calls     float64    // calls within that second
	peak      float64    // highest number of calls within a second
	rejected  int
}

// call makes one call and returns the seconds that it takes and whether the store accepts it.
func (s *sessionStore) call() (seconds float64, accepted bool) {
	second := math.Floor(s.sim.Now)
	if second != s.second {
		s.second = second
		s.calls = 0
	}
	s.calls++
	s.peak = max(s.peak, s.calls)
	if limit := s.callLimit.value(); limit > 0 && s.calls > limit {
		s.rejected++
		return storeRefusalTime, false
	}
	return storeCallTime, true
}
