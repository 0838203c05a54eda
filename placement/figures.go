package placement

import (
	"cmp"
	"math"
	"slices"
)

// Figures are the parts of a Rundown that may be replaced while flows go on. Times are seconds.
type Figures struct {
	MaxConnects  int
	RetryAdvice  float64
	AskWithin    float64
	ColdFrom     float64
	ColdFor      float64
	FallMultiple float64
	FallFor      float64
	Targets      []Targets // by service type
	Quotas       []float64 // by member
}

// Targets are the figures of one service type that may be replaced.
type Targets struct {
	Setup   float64
	Message float64 // 0 where not told
}

// Figures gives the replaceable part of a rundown.
func (r Rundown) Figures() Figures {
	f := Figures{MaxConnects: r.MaxConnects, RetryAdvice: r.RetryAdvice, AskWithin: r.AskWithin, ColdFrom: r.ColdFrom,
		ColdFor: r.ColdFor, FallMultiple: r.FallMultiple, FallFor: r.FallFor, Quotas: slices.Clone(r.Quotas)}
	for _, t := range r.Types {
		f.Targets = append(f.Targets, Targets{Setup: t.SetupTarget, Message: t.MessageAim})
	}
	return f
}

// Replace takes new figures for all decisions from here on; what was decided stands. There are as many targets and
// quotas as the rundown has service types and quotas. Nothing in them is shared with the balancer.
func (b *Balancer) Replace(f Figures) {
	b.MaxConnects, b.RetryAdvice, b.AskWithin = f.MaxConnects, f.RetryAdvice, cmp.Or(f.AskWithin, longestHold)
	b.ColdFrom, b.ColdFor, b.FallMultiple, b.FallFor = f.ColdFrom, f.ColdFor, f.FallMultiple, f.FallFor
	b.Types = slices.Clone(b.Types) // the caller's rundown keeps its own
	b.aim = math.Inf(1)
	for i, t := range f.Targets[:min(len(f.Targets), len(b.Types))] {
		b.Types[i].SetupTarget, b.Types[i].MessageAim = t.Setup, t.Message
		b.aim = min(b.aim, cmp.Or(t.Message, b.aim))
	}
	if len(f.Quotas) == len(b.Quotas) {
		b.Quotas = slices.Clone(f.Quotas)
	}
	if b.widest > 0 {
		b.due = 0
		for _, quota := range b.Quotas {
			b.due += quota / b.widest / float64(b.Nodes)
		}
	}
}

// Weigh takes a server's size in place of the listed one, until the next list tells of it.
func (b *Balancer) Weigh(at int, size float64) { b.server(at).Size = size }
