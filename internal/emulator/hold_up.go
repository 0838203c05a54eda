package emulator

import (
	"slices"

	"gorseledge/internal/node"
)

const (
	maxHoldUp      = 0.15 // seconds for which a process is held up at most, as by a busy machine
	holdUpInterval = 0.1  // seconds between two hold-ups of a process
)

// holdUp says for how long a process is held up at an input, in seconds: before it reads its clock, and between that and
// carrying out the effects.
type holdUp struct{ before, after float64 }

// drawHoldUp draws the hold-up at one input.
func (n *nodeProcess) drawHoldUp() holdUp {
	share := n.sim.options.HoldUpShare
	if share <= 0 || n.sim.Now < n.heldUntil+holdUpInterval || n.sim.holdUpRandom.Float64() >= share {
		return holdUp{}
	}
	length := maxHoldUp * n.sim.holdUpRandom.Float64()
	if n.sim.holdUpRandom.IntN(2) == 0 {
		return holdUp{before: length}
	}
	return holdUp{after: length}
}

// holdUp lets nothing happen in the process for some time. What arrives in the meantime is processed after it, in its order.
func (n *nodeProcess) holdUp(seconds float64) {
	n.heldUntil = max(n.heldUntil, n.sim.Now+seconds)
	n.idleAt = max(n.idleAt, n.heldUntil)
}

// performAfter carries out effects after a hold-up of the given seconds.
func (n *nodeProcess) performAfter(seconds float64, effects []node.Effect) {
	if seconds <= 0 {
		n.perform(effects)
		return
	}
	core := n.core
	kept := slices.Clone(effects) // the core uses the slice again
	n.holdUp(seconds)
	n.sim.At(n.heldUntil, func() {
		if n.running && n.core == core {
			n.perform(kept)
		}
	})
}

// longestHoldUp returns for how many seconds a process may be held up in this run.
func (s *simulation) longestHoldUp() float64 {
	if s.options.HoldUpShare > 0 {
		return maxHoldUp
	}
	return 0
}
