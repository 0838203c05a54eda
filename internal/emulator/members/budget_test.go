package members

import (
	"fmt"
	"math"
	"testing"

	"gorseledge/internal/fleet"
)

// budgetShare is the part of a host's slow-start budget that the placement module gives out.
const budgetShare = 0.5

// budgets records which part of a budget all nodes of a fleet give out together.
type budgets struct {
	simulation *Simulation
	divisors   []fleet.BudgetDivisor
	most       float64 // divided by the smoothed number of nodes
	mostLive   float64 // divided by the number of live members, which shows what the smoothing is for
}

// watch runs the simulation for so many seconds and records the largest parts.
func (b *budgets) watch(seconds int) {
	nodes := len(b.divisors)
	for range seconds {
		b.simulation.Run(b.simulation.Now + 1)
		sum, sumLive := 0.0, 0.0
		for i := range nodes {
			live := b.simulation.Node(i).LiveCount()
			sum += budgetShare / float64(b.divisors[i].Update(b.simulation.Now, live, nodes))
			sumLive += budgetShare / float64(live)
		}
		b.most = max(b.most, sum)
		b.mostLive = max(b.mostLive, sumLive)
	}
}

// The parts of a partitioned fleet together do not give out more than a host's budget: not while it is partitioned, nor
// when it heals, nor while thirty members are suspected at once.
func TestPartitionedFleetStaysWithinTheBudget(t *testing.T) {
	const nodes = 30
	separated := func(from, to int) bool { return from%3 != to%3 } // into three zones
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := New(Options{Nodes: nodes, Seed: seed + 1, Zones: 3})
			s.Run(s.Now + 60)
			b := budgets{simulation: s, divisors: make([]fleet.BudgetDivisor, nodes)}
			b.watch(5)
			if math.Abs(b.most-budgetShare) > 1e-9 {
				t.Fatalf("%g of a budget in a complete fleet", b.most)
			}
			cutBetween(s, nodes, true, separated)
			b.watch(10) // all others are suspected by now
			if b.most > 0.51 {
				t.Errorf("%g of a budget while others are only suspected", b.most)
			}
			b.watch(290)
			cutBetween(s, nodes, false, separated)
			b.watch(200)
			if b.most > 1 {
				t.Errorf("all nodes together give out %g of a budget", b.most)
			}
			if b.mostLive <= 1 {
				t.Errorf("divided by the live members: %g of a budget: the partition shows nothing", b.mostLive)
			}
			for i := range nodes {
				if got := b.divisors[i].Update(s.Now, s.Node(i).LiveCount(), nodes); got != nodes {
					t.Errorf("node %d divides by %d after the partition has healed, want %d", i, got, nodes)
				}
			}
		})
	}
}
