package emulator

import "fmt"

// Rule names an invariant that a run checks. Traces and reports contain the string.
type Rule string

// The rules that each run checks.
const (
	// RuleOneAnswer requires that a node that keeps running sends exactly one first answer for each flow, before the
	// client's connect timeout.
	RuleOneAnswer Rule = "exactly one answer per flow"
	// RuleOneAttempt requires that a flow never has two attempts in flight.
	RuleOneAttempt Rule = "at most one attempt in flight"
	// RuleNoDuplicateExecution requires that a request that is not idempotent is carried out at most once, and that one
	// with an idempotency key is not sent again after its memory span, or to a host that does not drop its repeats.
	RuleNoDuplicateExecution Rule = "no duplicate execution"
	// RuleNoFlowToWithdrawnHost requires that a node sends no new flow to a host once it was notified that the host is
	// draining, removed or disabled.
	RuleNoFlowToWithdrawnHost Rule = "no new flow to a withdrawn host"
	// RuleNoSlowStartOverload requires that nodes that know when a host started do not overload it during its slow start.
	RuleNoSlowStartOverload Rule = "no overload during slow start"
	// RuleNoResourcesHeld requires that a node holds no flow, connection or descriptor after all clients have left.
	RuleNoResourcesHeld Rule = "no resources held at the end"
	// RuleNoAttemptAfterDeparture requires that no attempt begins for a client that has left.
	RuleNoAttemptAfterDeparture Rule = "no attempt for a departed client"
)

// departureSlack is the time in seconds within which a node has to notice that a client has left.
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

// checker checks the rules while a simulation runs. It sees the true state of the simulation; a node sees only what it
// was notified of.
type checker struct {
	sim        *simulation
	violations []Violation
}

// report records a violation and writes it to the trace.
func (c *checker) report(rule Rule, format string, args ...any) {
	detail := fmt.Sprintf(format, args...)
	c.violations = append(c.violations, Violation{Rule: rule, Detail: detail, At: c.sim.Now, Step: c.sim.Steps,
		RecentTrace: c.sim.recentLines()})
	c.sim.trace("BROKEN %s: %s", rule, detail)
}

// checkAnswers checks that a flow was answered at most once.
func (c *checker) checkAnswers(f *flow) {
	if f.answers > 1 {
		c.report(RuleOneAnswer, "flow %s got %d answers", f.id, f.answers)
	}
}

// checkUnanswered checks a connection that ended without an answer, which is allowed only if its node no longer runs.
func (c *checker) checkUnanswered(f *flow) {
	if f.nodeRuns() {
		c.report(RuleOneAnswer, "flow %s: %s closed the client's connection without an answer", f.id, f.acceptedBy.name)
	}
}

// checkOverdue checks a flow whose client gave up at its connect timeout. A running node has to answer earlier.
func (c *checker) checkOverdue(f *flow) {
	if f.nodeRuns() {
		c.report(RuleOneAnswer, "flow %s: %s sent no answer before the connect timeout", f.id, f.acceptedBy.name)
	}
}

// checkAttempt checks an attempt at the moment when its node writes the opening line to a host.
func (c *checker) checkAttempt(f *flow, n *nodeProcess, h *host) {
	c.sim.trace("%s sends %s to %s", n.name, f.id, h.name)
	c.checkAttemptOfFlow(f, h)
	c.checkHostDisabled(f, n, h)
	if n.knownStarts[h.name] == millisecondsPerSecond*unixStartTime(c.sim.startTime, h.startedAt) {
		h.informedAttempts++
	} else {
		h.uninformedAttempts++
	}
	c.checkHostWithdrawn(f, n, h)
}

// checkAttemptOfFlow checks the rules that depend only on the flow of the attempt.
func (c *checker) checkAttemptOfFlow(f *flow, h *host) {
	now := c.sim.Now
	if f.clientLeftAt > 0 && now > f.clientLeftAt+departureSlack+c.sim.longestHoldUp() {
		c.report(RuleNoAttemptAfterDeparture, "flow %s was sent to %s %.3f s after its client left", f.id, h.name, now-f.clientLeftAt)
	}
	if f.openAttempts > 1 {
		c.report(RuleOneAttempt, "flow %s has %d attempts in flight", f.id, f.openAttempts)
	}
	if f.answers > 0 {
		c.report(RuleOneAnswer, "flow %s was forwarded after the client got an answer", f.id)
	}
	if f.ranAt > 0 && f.idempotency == idempotentWithKey {
		c.checkKey(f, h)
	}
}

// checkKey checks an attempt of a flow with an idempotency key that has run: the host must drop it as a repeat.
func (c *checker) checkKey(f *flow, h *host) {
	traffic := &c.sim.script.Traffic[f.trafficIndex]
	if c.sim.Now > f.ranAt+traffic.MemorySpan {
		c.report(RuleNoDuplicateExecution, "flow %s was sent to %s after the memory span of its idempotency key", f.id, h.name)
	}
	if traffic.KeyScope == keyScopeZone && h.zone != f.ranOn.zone {
		c.report(RuleNoDuplicateExecution, "flow %s was sent to %s in zone %d after it had run in zone %d", f.id, h.name, h.zone,
			f.ranOn.zone)
	}
}

// checkHostDisabled checks that a node sends no flow to a host after it confirmed that the host is disabled.
func (c *checker) checkHostDisabled(f *flow, n *nodeProcess, h *host) {
	confirmedAt, disabled := n.disabledAt[h.name]
	if disabled && c.sim.Now > confirmedAt+c.sim.script.Rules.DrainGrace {
		c.report(RuleNoFlowToWithdrawnHost, "%s sent flow %s to %s %.3f s after it confirmed that the host is disabled", n.name, f.id,
			h.name, c.sim.Now-confirmedAt)
	}
}

// checkHostWithdrawn checks that a node sends no flow to a host that it should know to be draining or removed.
func (c *checker) checkHostWithdrawn(f *flow, n *nodeProcess, h *host) {
	due := c.notificationDue(n, h)
	if c.sim.Now > due+c.sim.script.Rules.DrainGrace+socketSlack {
		c.report(RuleNoFlowToWithdrawnHost, "%s sent flow %s to %s %.3f s after it counted as notified", n.name, f.id, h.name,
			c.sim.Now-due)
	}
}

// checkArrival checks a non-idempotent flow when its opening line arrives at a host, which may carry it out from then on.
func (c *checker) checkArrival(f *flow, h *host) {
	if f.idempotency != nonIdempotent {
		return
	}
	if f.ranAt > 0 {
		c.report(RuleNoDuplicateExecution, "flow %s arrived at %s although %s had carried it out", f.id, h.name, f.ranOn.name)
	}
	if f.rejected {
		c.report(RuleNoDuplicateExecution, "flow %s arrived at %s after it had been rejected", f.id, h.name)
	}
}

// checkSetup records that a host carried out a set-up, and checks that it is not a duplicate.
func (c *checker) checkSetup(f *flow, h *host) {
	c.sim.trace("%s ran at %s", f.id, h.name)
	f.runs++
	if f.runs > 1 && f.idempotency == nonIdempotent {
		c.report(RuleNoDuplicateExecution, "flow %s was carried out by %s and again by %s", f.id, f.ranOn.name, h.name)
	}
	if f.ranAt == 0 {
		f.ranAt = c.sim.Now
		f.ranOn = h
	}
}

// checkSlowStartFailure checks a host that failed under load during its slow start. This violates a rule only if over two
// thirds of its attempts came from nodes that knew of its start.
func (c *checker) checkSlowStartFailure(h *host) {
	attempts := h.informedAttempts + h.uninformedAttempts
	if 3*h.informedAttempts <= 2*attempts {
		c.sim.trace("%s fell over, of %d connects %d from nodes that knew of its start", h.name, attempts, h.informedAttempts)
		return
	}
	c.report(RuleNoSlowStartOverload, "%s failed %.1f s after its start, with a load of %.1f cores at a capacity of %.1f cores",
		h.name, c.sim.Now-h.startedAt, h.load+h.pending, h.capacity*h.slowStartWeight())
}

// resourceHolder is a core that reports how many resources it still holds.
type resourceHolder interface {
	Held() (flows, conns, descriptors int)
}

// checkReleased checks that the core of a running process holds no resources after all clients have left.
func (c *checker) checkReleased(n *nodeProcess) {
	core, ok := n.core.(resourceHolder)
	if !ok || !n.running {
		return
	}
	flows, connections, descriptors := core.Held()
	if flows+connections+descriptors > 0 {
		c.report(RuleNoResourcesHeld, "%s holds %d flows, %d connections and %d descriptors at the end", n.name, flows, connections,
			descriptors)
	}
}
