package emulator

import "fmt"

// Break is a broken rule: which, when, after how many steps, and the last that was traced.
type Break struct {
	Rule string
	What string
	At   float64
	Step int
	Last []string
}

func (b Break) String() string {
	return fmt.Sprintf("%s at %.6f s, step %d: %s", b.Rule, b.At, b.Step, b.What)
}

const leaveSeen = 0.1 // s after a client has left, from which on no attempt may begin for it

// The rules, by name.
const (
	OneAnswer = "one answer"
	OneOut    = "one connect out"
	NoTwice   = "no effect twice"
	Drains    = "nothing new to who drains"
	Cold      = "no cold host pushed over"
	Leftovers = "nothing left"
	Gone      = "no attempt for who left"
)

// rules look at each step; they know the true state, which no node does.
type rules struct {
	w      *World
	breaks []Break
}

func (r *rules) broken(rule, format string, args ...any) {
	r.breaks = append(r.breaks, Break{Rule: rule, What: fmt.Sprintf(format, args...), At: r.w.Now, Step: r.w.Steps,
		Last: r.w.lately()})
	r.w.trace("BROKEN %s: %s", rule, fmt.Sprintf(format, args...))
}

// answered checks that a client's first answer is its only one.
func (r *rules) answered(f *flow) {
	if f.answers > 1 {
		r.broken(OneAnswer, "flow %s got %d answers", f.id, f.answers)
	}
}

// unanswered is a connection that ended with no answer: it may, where its node was killed.
func (r *rules) unanswered(f *flow) {
	if f.taken != nil && f.taken.running && !f.taken.vanished {
		r.broken(OneAnswer, "flow %s: %s ended its connection without an answer", f.id, f.taken.name)
	}
}

// overdue is a client that gave up: a running node owes it an answer before.
func (r *rules) overdue(f *flow) {
	if f.taken != nil && f.taken.running && !f.taken.vanished {
		r.broken(OneAnswer, "flow %s: no answer of %s before the connect timeout", f.id, f.taken.name)
	}
}

// sent is a first line that a node has written to a host.
func (r *rules) sent(f *flow, n *station, h *host) {
	r.w.trace("%s sends %s to %s", n.name, f.id, h.name)
	if f.leftAt > 0 && r.w.Now > f.leftAt+leaveSeen {
		r.broken(Gone, "flow %s was sent to %s, %.3f s after its client had left", f.id, h.name, r.w.Now-f.leftAt)
	}
	if f.out > 1 {
		r.broken(OneOut, "flow %s has %d connects out", f.id, f.out)
	}
	if f.answers > 0 {
		r.broken(OneAnswer, "flow %s was sent on after its answer", f.id)
	}
	if f.ranAt > 0 && f.effect == "referenced" && r.w.Now > f.ranAt+r.w.script.Traffic[f.kind].Span {
		r.broken(NoTwice, "flow %s was sent to %s after the memory span", f.id, h.name)
	}
	if told, ok := n.out[h.name]; ok && r.w.Now > told+r.w.script.Rules.Grace {
		r.broken(Drains, "%s sent flow %s to %s, %.3f s after it said that it is out", n.name, f.id, h.name, r.w.Now-told)
	}
	if n.starts[h.name] == 1e3*since(r.w.base, h.since) {
		h.aware++
	} else {
		h.unaware++
	}
	if told := r.countsAt(n, h); r.w.Now > told+r.w.script.Rules.Grace+ruleSlack {
		r.broken(Drains, "%s sent flow %s to %s, %.3f s after it counts as told", n.name, f.id, h.name, r.w.Now-told)
	}
}

// arrived is a first line at a host: from here on it may have run.
func (r *rules) arrived(f *flow, h *host) {
	if f.ranAt > 0 && f.effect == "once-only" {
		r.broken(NoTwice, "flow %s reached %s after %s, where it may have run", f.id, h.name, f.ranOn.name)
	}
	if f.rejected && f.effect == "once-only" {
		r.broken(NoTwice, "flow %s was rejected and reached %s", f.id, h.name)
	}
}

// ran is a set-up that was carried out.
func (r *rules) ran(f *flow, h *host) {
	r.w.trace("%s ran at %s", f.id, h.name)
	if f.runs++; f.runs > 1 && f.effect == "once-only" {
		r.broken(NoTwice, "flow %s ran at %s and at %s", f.id, f.ranOn.name, h.name)
	}
	if f.ranAt == 0 {
		f.ranAt, f.ranOn = r.w.Now, h
	}
}

// fell is a cold host that was pushed over. The rule asks who did: over two thirds of what it was sent must have come
// from nodes that had been told of its start.
func (r *rules) fell(h *host) {
	if 3*h.aware <= 2*(h.aware+h.unaware) {
		r.w.trace("%s fell over, of %d connects %d from nodes that knew of its start", h.name, h.aware+h.unaware, h.aware)
		return
	}
	r.broken(Cold, "%s fell over %.1f s after its start, asked for %.1f of %.1f cores", h.name, r.w.Now-h.since, h.load+h.pending,
		h.capacity*h.warmth())
}

// left checks what a core still holds once all is over.
func (r *rules) left(n *station) {
	c, ok := n.core.(interface {
		Held() (flows, conns, descriptors int)
	})
	if !ok || !n.running {
		return
	}
	if flows, conns, descriptors := c.Held(); flows+conns+descriptors > 0 {
		r.broken(Leftovers, "%s holds %d flows, %d connections and %d descriptors at the end", n.name, flows, conns, descriptors)
	}
}
