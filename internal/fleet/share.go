package fleet

import "math"

const fallSeconds = 120.0 // seconds in which the smoothed number falls by the whole settled size at most

// BudgetDivisor smooths the number of nodes by which a node divides a budget that all nodes share. The number rises at once, and
// falls slowly, to half of the fleet's settled size at the least. This guards against the two halves of a partitioned
// fleet each giving out the whole of a cold host's budget: the module gives out half of it, so that both stay within it.
type BudgetDivisor struct {
	n, at float64
}

// Update returns the number of nodes to divide by at the time now, in seconds. living is the number of members that are
// alive or suspect, settled the number of nodes in the settings.
func (s *BudgetDivisor) Update(now float64, living, settled int) int {
	least := math.Max(float64(living), math.Ceil(float64(settled)/2))
	if s.n == 0 {
		s.n, s.at = math.Max(float64(settled), least), now
	}
	s.n = math.Max(least, s.n-float64(settled)/fallSeconds*math.Max(now-s.at, 0))
	s.at = math.Max(now, s.at)
	return int(math.Ceil(s.n))
}
