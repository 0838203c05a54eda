package members

import (
	"fmt"
	"math"
	"testing"

	"gorseledge/internal/fleet"
)

// budgetShare is the share of a host's slow-start budget that the placement module uses.
const budgetShare = 0.5

// budgets records the largest share of a host's budget that all nodes of a fleet use together.
type budgets struct {
	simulation     *Simulation
	divisors       []fleet.BudgetDivisor
	maxShare       float64 // with the budget divided by the smoothed number of nodes
	maxShareByLive float64 // with the budget divided by the number of live members: the excess that the smoothing prevents
}

// observe runs the simulation for the given seconds and records the largest shares.
func (b *budgets) observe(seconds int) {
	nodes := len(b.divisors)
	for range seconds {
		b.simulation.Run(b.simulation.Now + 1)
		sum, sumLive := 0.0, 0.0
		for i := range nodes {
			live := b.simulation.Node(i).LiveCount()
			sum += budgetShare / float64(b.divisors[i].Update(b.simulation.Now, live, nodes))
			sumLive += budgetShare / float64(live)
		}
		b.maxShare = max(b.maxShare, sum)
		b.maxShareByLive = max(b.maxShareByLive, sumLive)
	}
}

// Guards against a partitioned fleet whose partitions together use more than a host's budget because each divides it by the
// few members that it considers alive. The limit has to hold while the members of the other partitions are suspected, during
// the partition and after it has healed.
func TestPartitionedFleetStaysWithinBudget(t *testing.T) {
	const nodes = 30
	separated := func(from, to int) bool { return from%3 != to%3 } // three partitions, one for each zone
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := New(Options{Nodes: nodes, Seed: seed + 1, Zones: 3})
			s.Run(s.Now + 60)
			b := budgets{simulation: s, divisors: make([]fleet.BudgetDivisor, nodes)}
			b.observe(5)
			if math.Abs(b.maxShare-budgetShare) > 1e-9 {
				t.Fatalf("nodes of a complete fleet use %g of the budget, want %g", b.maxShare, budgetShare)
			}
			cutBetween(s, nodes, true, separated)
			b.observe(10) // all others are suspected by now
			if b.maxShare > 0.51 {
				t.Errorf("nodes use %g of the budget while the others are only suspected, want at most 0.51", b.maxShare)
			}
			b.observe(290)
			cutBetween(s, nodes, false, separated)
			b.observe(200)
			if b.maxShare > 1 {
				t.Errorf("all nodes together use %g of the budget, want at most 1", b.maxShare)
			}
			if b.maxShareByLive <= 1 {
				t.Errorf("nodes that divide by the live members use %g of the budget: the partition has no effect", b.maxShareByLive)
			}
			for i := range nodes {
				if got := b.divisors[i].Update(s.Now, s.Node(i).LiveCount(), nodes); got != nodes {
					t.Errorf("node %d divides by %d after the partition has healed, want %d", i, got, nodes)
				}
			}
		})
	}
}
