package emulator

import "fmt"

// Rule is the name of a rule that a run checks. Traces and reports have it in this form.
type Rule string

// The rules.
const (
	// RuleOneAnswer says that a client gets exactly one first answer, in time, from a node that runs.
	RuleOneAnswer Rule = "one answer"
	// RuleOneAttempt says that a flow never has two attempts in flight.
	RuleOneAttempt Rule = "one connect out"
	// RuleNoSecondEffect says that a request that is not idempotent is carried out at most once, and one with an
	// idempotency key is not sent again after its memory span.
	RuleNoSecondEffect Rule = "no effect twice"
	// RuleNothingToDraining says that a notified node sends no new flow to a host that drains, is removed or is disabled.
	RuleNothingToDraining Rule = "nothing new to who drains"
	// RuleNoColdHostOverloaded says that nodes that know of a host's start do not overload it in its slow start.
	RuleNoColdHostOverloaded Rule = "no cold host pushed over"
	// RuleNothingHeld says that a node holds no flow, connection or descriptor once all clients have gone.
	RuleNothingHeld Rule = "nothing left"
	// RuleNoAttemptAfterLeaving says that no attempt begins for a client that has left.
	RuleNoAttemptAfterLeaving Rule = "no attempt for who left"
)

// departureSlack is the time in seconds that a node has to notice that a client has left.
const departureSlack = 0.1

// Violation is one breach of a rule.
type Violation struct {
	Rule        Rule
	Detail      string
	At          float64  // seconds from the start of the run
	Step        int      // events run so far
	RecentTrace []string // the last lines of the trace, oldest first
}

// String returns the violation on one line, without the trace.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.6f s, step %d: %s", v.Rule, v.At, v.Step, v.Detail)
}

// checker checks the rules after each step. It knows the true state of the simulation, which no node does.
type checker struct {
	world      *simulation
	violations []Violation
}

// report records a violation and writes it to the trace.
func (r *checker) report(rule Rule, format string, args ...any) {
	detail := fmt.Sprintf(format, args...)
	r.violations = append(r.violations, Violation{Rule: rule, Detail: detail, At: r.world.Now, Step: r.world.Steps,
		RecentTrace: r.world.recentLines()})
	r.world.trace("BROKEN %s: %s", rule, detail)
}

// checkAnswers checks that a client's first answer is its only one.
func (r *checker) checkAnswers(f *flow) {
	if f.answers > 1 {
		r.report(RuleOneAnswer, "flow %s got %d answers", f.id, f.answers)
	}
}

// checkUnanswered checks a connection that ended without an answer. It may, where its node was killed.
func (r *checker) checkUnanswered(f *flow) {
	if f.nodeRuns() {
		r.report(RuleOneAnswer, "flow %s: %s ended its connection without an answer", f.id, f.acceptedBy.name)
	}
}

// checkOverdue checks a flow whose client gave up. A running node has to answer before.
func (r *checker) checkOverdue(f *flow) {
	if f.nodeRuns() {
		r.report(RuleOneAnswer, "flow %s: no answer of %s before the connect timeout", f.id, f.acceptedBy.name)
	}
}

// checkAttempt checks an attempt when its node writes the first line to a host.
func (r *checker) checkAttempt(f *flow, n *nodeProcess, h *host) {
	r.world.trace("%s sends %s to %s", n.name, f.id, h.name)
	r.checkAttemptOfFlow(f, h)
	r.checkHostDisabled(f, n, h)
	if n.knownStarts[h.name] == millisecondsPerSecond*startTimeOfDay(r.world.startTime, h.startedAt) {
		h.informedAttempts++
	} else {
		h.uninformedAttempts++
	}
	r.checkHostWithdrawn(f, n, h)
}

// checkAttemptOfFlow checks the rules of an attempt that concern its flow alone.
func (r *checker) checkAttemptOfFlow(f *flow, h *host) {
	now := r.world.Now
	if f.clientLeftAt > 0 && now > f.clientLeftAt+departureSlack {
		r.report(RuleNoAttemptAfterLeaving, "flow %s was sent to %s, %.3f s after its client had left", f.id, h.name, now-f.clientLeftAt)
	}
	if f.openAttempts > 1 {
		r.report(RuleOneAttempt, "flow %s has %d attempts in flight", f.id, f.openAttempts)
	}
	if f.answers > 0 {
		r.report(RuleOneAnswer, "flow %s was forwarded after its answer", f.id)
	}
	memorySpan := r.world.script.Traffic[f.trafficIndex].MemorySpan
	if f.ranAt > 0 && f.effect == effectIdempotentKey && now > f.ranAt+memorySpan {
		r.report(RuleNoSecondEffect, "flow %s was sent to %s after the memory span", f.id, h.name)
	}
}

// checkHostDisabled checks that a node sends nothing to a host that it has confirmed as disabled.
func (r *checker) checkHostDisabled(f *flow, n *nodeProcess, h *host) {
	confirmedAt, disabled := n.disabledAt[h.name]
	if disabled && r.world.Now > confirmedAt+r.world.script.Rules.DrainGrace {
		r.report(RuleNothingToDraining, "%s sent flow %s to %s, %.3f s after it confirmed that the host is disabled", n.name, f.id,
			h.name, r.world.Now-confirmedAt)
	}
}

// checkHostWithdrawn checks that a node sends nothing to a host that it should know to be draining or removed.
func (r *checker) checkHostWithdrawn(f *flow, n *nodeProcess, h *host) {
	due := r.notificationDue(n, h)
	if r.world.Now > due+r.world.script.Rules.DrainGrace+socketSlack {
		r.report(RuleNothingToDraining, "%s sent flow %s to %s, %.3f s after it counts as notified", n.name, f.id, h.name,
			r.world.Now-due)
	}
}

// checkArrival checks a first line at a host. From here on the request may have been carried out.
func (r *checker) checkArrival(f *flow, h *host) {
	if f.effect != effectNonIdempotent {
		return
	}
	if f.ranAt > 0 {
		r.report(RuleNoSecondEffect, "flow %s reached %s after %s, where it may have run", f.id, h.name, f.ranOn.name)
	}
	if f.rejected {
		r.report(RuleNoSecondEffect, "flow %s was rejected and reached %s", f.id, h.name)
	}
}

// checkSetup records a set-up that a host carried out, and checks that it was allowed to.
func (r *checker) checkSetup(f *flow, h *host) {
	r.world.trace("%s ran at %s", f.id, h.name)
	f.runs++
	if f.runs > 1 && f.effect == effectNonIdempotent {
		r.report(RuleNoSecondEffect, "flow %s ran at %s and at %s", f.id, f.ranOn.name, h.name)
	}
	if f.ranAt == 0 {
		f.ranAt = r.world.Now
		f.ranOn = h
	}
}

// checkOverturned checks a host that failed under load in its slow start. The nodes are to blame only if over two thirds
// of its attempts came from nodes that knew of its start.
func (r *checker) checkOverturned(h *host) {
	attempts := h.informedAttempts + h.uninformedAttempts
	if 3*h.informedAttempts <= 2*attempts {
		r.world.trace("%s fell over, of %d connects %d from nodes that knew of its start", h.name, attempts, h.informedAttempts)
		return
	}
	r.report(RuleNoColdHostOverloaded, "%s fell over %.1f s after its start, asked for %.1f of %.1f cores", h.name,
		r.world.Now-h.startedAt, h.load+h.pending, h.capacity*h.slowStartWeight())
}

// holder is a core that can say what it still holds.
type holder interface {
	Held() (flows, conns, descriptors int)
}

// checkReleased checks that a core holds nothing once all clients have gone.
func (r *checker) checkReleased(n *nodeProcess) {
	core, ok := n.core.(holder)
	if !ok || !n.running {
		return
	}
	flows, connections, descriptors := core.Held()
	if flows+connections+descriptors > 0 {
		r.report(RuleNothingHeld, "%s holds %d flows, %d connections and %d descriptors at the end", n.name, flows, connections, descriptors)
	}
}
