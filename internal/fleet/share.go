package fleet

import "math"

const fallFor = 120.0 // seconds in which all of a fleet may be told gone: each node's part of a budget grows no faster

// Share smooths the number of nodes by which a node takes its part of what all share. It rises at once, and falls
// slowly to half of the fleet's settled size at the least. Guards against the two halves of a cut fleet each taking
// the whole of a cold host's budget: half of it is what the module gives out, so together they stay within it.
type Share struct {
	n, at float64
}

// Take gives the number of nodes to reckon with, at a time in seconds, for so many that live of so many settled.
func (s *Share) Take(now float64, living, settled int) int {
	least := math.Max(float64(living), math.Ceil(float64(settled)/2))
	if s.n == 0 {
		s.n, s.at = math.Max(float64(settled), least), now
	}
	s.n = math.Max(least, s.n-float64(settled)/fallFor*math.Max(now-s.at, 0))
	s.at = math.Max(now, s.at)
	return int(math.Ceil(s.n))
}
