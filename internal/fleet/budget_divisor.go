package fleet

import "math"

// fallSeconds is the minimum time in which the number of nodes decreases by the configured size of the fleet.
const fallSeconds = 120.0

// BudgetDivisor smooths the number of nodes by which a node divides a budget that all nodes share. The number increases at
// once, but decreases slowly and never below half of the fleet's configured size. Otherwise each half of a partitioned
// fleet would soon use the full budget of a host in slow start. The placement module uses only half of that budget, so
// that both halves together stay within it. The zero value is ready to use.
type BudgetDivisor struct {
	nodes     float64 // smoothed number of nodes; 0 before the first update
	updatedAt float64 // time of the last update in seconds
}

// Update returns the number of nodes to divide by at the time now, in seconds. The parameter live is the number of members
// that are alive or suspect; configured is the number of nodes in the settings.
func (d *BudgetDivisor) Update(now float64, live, configured int) int {
	minimum := math.Max(float64(live), math.Ceil(float64(configured)/2))
	if d.nodes == 0 {
		d.nodes = math.Max(float64(configured), minimum)
		d.updatedAt = now
	}
	decreased := d.nodes - float64(configured)/fallSeconds*math.Max(now-d.updatedAt, 0)
	d.nodes = math.Max(minimum, decreased)
	d.updatedAt = math.Max(now, d.updatedAt)
	return int(math.Ceil(d.nodes))
}
