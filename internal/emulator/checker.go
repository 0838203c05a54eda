package emulator

import "fmt"

// Violation is a broken rule: which, when, after how many steps, and the last that was traced.
type Violation struct {
	Rule        string
	Detail      string
	At          float64
	Step        int
	RecentTrace []string
}

func (b Violation) String() string {
	return fmt.Sprintf("%s at %.6f s, step %d: %s", b.Rule, b.At, b.Step, b.Detail)
}

const departureSlack = 0.1 // s after a client has left, from which on no attempt may begin for it

// The rules, by name.
const (
	RuleOneAnswer             = "one answer"
	RuleOneAttempt            = "one connect out"
	RuleNoSecondEffect        = "no effect twice"
	RuleNothingToDraining     = "nothing new to who drains"
	RuleNoColdHostOverloaded  = "no cold host pushed over"
	RuleNothingHeld           = "nothing left"
	RuleNoAttemptAfterLeaving = "no attempt for who left"
)

// checker look at each step; they know the true state, which no node does.
type checker struct {
	world      *simulation
	violations []Violation
}

func (r *checker) report(rule, format string, args ...any) {
	r.violations = append(r.violations, Violation{Rule: rule, Detail: fmt.Sprintf(format, args...), At: r.world.Now, Step: r.world.Steps,
		RecentTrace: r.world.recentLines()})
	r.world.trace("BROKEN %s: %s", rule, fmt.Sprintf(format, args...))
}

// checkAnswers checks that a client's first answer is its only one.
func (r *checker) checkAnswers(f *flow) {
	if f.answers > 1 {
		r.report(RuleOneAnswer, "flow %s got %d answers", f.id, f.answers)
	}
}

// checkUnanswered is a connection that ended with no answer: it may, where its node was killed.
func (r *checker) checkUnanswered(f *flow) {
	if f.acceptedBy != nil && f.acceptedBy.running && !f.acceptedBy.vanished {
		r.report(RuleOneAnswer, "flow %s: %s ended its connection without an answer", f.id, f.acceptedBy.name)
	}
}

// checkOverdue is a client that gave up: a running node owes it an answer before.
func (r *checker) checkOverdue(f *flow) {
	if f.acceptedBy != nil && f.acceptedBy.running && !f.acceptedBy.vanished {
		r.report(RuleOneAnswer, "flow %s: no answer of %s before the connect timeout", f.id, f.acceptedBy.name)
	}
}

// checkAttempt is a first line that a node has written to a host.
func (r *checker) checkAttempt(f *flow, n *nodeProcess, h *host) {
	r.world.trace("%s sends %s to %s", n.name, f.id, h.name)
	if f.clientLeftAt > 0 && r.world.Now > f.clientLeftAt+departureSlack {
		r.report(RuleNoAttemptAfterLeaving, "flow %s was sent to %s, %.3f s after its client had left", f.id, h.name, r.world.Now-f.clientLeftAt)
	}
	if f.openAttempts > 1 {
		r.report(RuleOneAttempt, "flow %s has %d connects out", f.id, f.openAttempts)
	}
	if f.answers > 0 {
		r.report(RuleOneAnswer, "flow %s was sent on after its answer", f.id)
	}
	if f.ranAt > 0 && f.effect == "referenced" && r.world.Now > f.ranAt+r.world.script.Traffic[f.traffic].MemorySpan {
		r.report(RuleNoSecondEffect, "flow %s was sent to %s after the memory span", f.id, h.name)
	}
	if told, ok := n.disabledAt[h.name]; ok && r.world.Now > told+r.world.script.Rules.DrainGrace {
		r.report(RuleNothingToDraining, "%s sent flow %s to %s, %.3f s after it said that it is out", n.name, f.id, h.name, r.world.Now-told)
	}
	if n.knownStarts[h.name] == 1e3*startTimeOfDay(r.world.startTime, h.startedAt) {
		h.informedAttempts++
	} else {
		h.uninformedAttempts++
	}
	if told := r.notificationDue(n, h); r.world.Now > told+r.world.script.Rules.DrainGrace+socketSlack {
		r.report(RuleNothingToDraining, "%s sent flow %s to %s, %.3f s after it counts as told", n.name, f.id, h.name, r.world.Now-told)
	}
}

// checkArrival is a first line at a host: from here on it may have run.
func (r *checker) checkArrival(f *flow, h *host) {
	if f.ranAt > 0 && f.effect == "once-only" {
		r.report(RuleNoSecondEffect, "flow %s reached %s after %s, where it may have run", f.id, h.name, f.ranOn.name)
	}
	if f.rejected && f.effect == "once-only" {
		r.report(RuleNoSecondEffect, "flow %s was rejected and reached %s", f.id, h.name)
	}
}

// checkSetup is a set-up that was carried out.
func (r *checker) checkSetup(f *flow, h *host) {
	r.world.trace("%s ran at %s", f.id, h.name)
	if f.runs++; f.runs > 1 && f.effect == "once-only" {
		r.report(RuleNoSecondEffect, "flow %s ran at %s and at %s", f.id, f.ranOn.name, h.name)
	}
	if f.ranAt == 0 {
		f.ranAt, f.ranOn = r.world.Now, h
	}
}

// checkOverturned is a cold host that was pushed over. The rule asks who did: over two thirds of what it was sent must have come
// from nodes that had been told of its start.
func (r *checker) checkOverturned(h *host) {
	if 3*h.informedAttempts <= 2*(h.informedAttempts+h.uninformedAttempts) {
		r.world.trace("%s fell over, of %d connects %d from nodes that knew of its start", h.name, h.informedAttempts+h.uninformedAttempts, h.informedAttempts)
		return
	}
	r.report(RuleNoColdHostOverloaded, "%s fell over %.1f s after its start, asked for %.1f of %.1f cores", h.name, r.world.Now-h.startedAt, h.load+h.pending,
		h.capacity*h.slowStartWeight())
}

// checkReleased checks what a core still holds once all is over.
func (r *checker) checkReleased(n *nodeProcess) {
	c, ok := n.core.(interface {
		Held() (flows, conns, descriptors int)
	})
	if !ok || !n.running {
		return
	}
	if flows, conns, descriptors := c.Held(); flows+conns+descriptors > 0 {
		r.report(RuleNothingHeld, "%s holds %d flows, %d connections and %d descriptors at the end", n.name, flows, conns, descriptors)
	}
}
