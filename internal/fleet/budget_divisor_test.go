package fleet

import (
	"fmt"
	"testing"
)

// The two halves of a partitioned fleet, each of which considers the other dead, divide a budget by numbers with which
// both together stay within it. The number falls no faster than in fallSeconds, and recovers.
func TestHalvesOfAPartitionedFleetStayWithinTheBudget(t *testing.T) {
	const partitionedAt, healedAt, end = 10.0, 500.0, 1000.0
	for _, configured := range []int{2, 3, 10, 301} {
		t.Run(fmt.Sprintf("%d nodes", configured), func(t *testing.T) {
			var left, right BudgetDivisor
			previous := configured
			for now := 0.0; now < end; now++ {
				partitioned := now > partitionedAt && now < healedAt
				live := configured
				if partitioned {
					live = configured / 2
				}
				leftNodes := left.Update(now, live, configured)
				rightNodes := right.Update(now, configured-live, configured)
				given := 0.5*float64(live)/float64(leftNodes) + 0.5*float64(configured-live)/float64(rightNodes)
				if partitioned && given > 1 {
					t.Fatalf("at %g s: %g of the budget is given out", now, given)
				}
				if float64(previous-leftNodes) > float64(configured)/fallSeconds+1 {
					t.Fatalf("at %g s: from %d to %d at once", now, previous, leftNodes)
				}
				previous = leftNodes
			}
			if previous != configured {
				t.Errorf("divides by %d after the partition has healed, want %d", previous, configured)
			}
		})
	}
}
