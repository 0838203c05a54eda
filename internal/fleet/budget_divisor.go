package fleet

import "math"

// fallSeconds is the time in which the number of nodes falls by the configured size of the fleet at most.
const fallSeconds = 120.0

// BudgetDivisor smooths the number of nodes by which a node divides a budget that all nodes share. The number rises at
// once and falls slowly, to half of the fleet's configured size at the least. This prevents the two halves of a
// partitioned fleet from each giving out the full budget of a host in slow start: the placement module gives out half of
// it, so that both halves together stay within it. The zero value is ready to use.
type BudgetDivisor struct {
	nodes     float64 // smoothed; 0 before the first update
	updatedAt float64 // seconds
}

// Update returns the number of nodes to divide by at the time now, in seconds. The number of live members is that of the
// members that are alive or suspect; configured is the number of nodes in the settings.
func (d *BudgetDivisor) Update(now float64, live, configured int) int {
	least := math.Max(float64(live), math.Ceil(float64(configured)/2))
	if d.nodes == 0 {
		d.nodes = math.Max(float64(configured), least)
		d.updatedAt = now
	}
	fallen := d.nodes - float64(configured)/fallSeconds*math.Max(now-d.updatedAt, 0)
	d.nodes = math.Max(least, fallen)
	d.updatedAt = math.Max(now, d.updatedAt)
	return int(math.Ceil(d.nodes))
}
