package fleet

import (
	"fmt"
	"testing"
)

// Guards against a host that is overloaded during a partition: each half of the fleet considers the other half dead, and
// if both divided the budget by their own size, together they would exceed it. Also checks that the divisor decreases no
// faster than fallSeconds allows, and recovers after the partition.
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
				used := 0.5*float64(live)/float64(leftNodes) + 0.5*float64(configured-live)/float64(rightNodes)
				if partitioned && used > 1 {
					t.Fatalf("at %g s: both halves together use %g of the budget, want at most 1", now, used)
				}
				if float64(previous-leftNodes) > float64(configured)/fallSeconds+1 {
					t.Fatalf("at %g s: divisor decreased from %d to %d within one second", now, previous, leftNodes)
				}
				previous = leftNodes
			}
			if previous != configured {
				t.Errorf("divides by %d after the partition has healed, want %d", previous, configured)
			}
		})
	}
}
