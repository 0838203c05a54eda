package placement

import (
	"cmp"
	"math"
	"slices"
)

// LiveSettings are the parts of a Rundown that may be replaced while flows go on. Times are seconds.
type LiveSettings struct {
	MaxAttempts      int
	MaxRetryAfter    float64
	PollInterval     float64
	SlowStartShare   float64
	SlowStartTime    float64
	OverloadMultiple float64
	OverloadWindow   float64
	Objectives       []Objectives // by service type
	Quotas           []float64    // by member
}

// Objectives are the figures of one service type that may be replaced.
type Objectives struct {
	Setup   float64
	Message float64 // 0 where not told
}

// Live gives the replaceable part of a rundown.
func (r Settings) Live() LiveSettings {
	f := LiveSettings{MaxAttempts: r.MaxAttempts, MaxRetryAfter: r.MaxRetryAfter, PollInterval: r.PollInterval, SlowStartShare: r.SlowStartShare,
		SlowStartTime: r.SlowStartTime, OverloadMultiple: r.OverloadMultiple, OverloadWindow: r.OverloadWindow, Quotas: slices.Clone(r.Quotas)}
	for _, t := range r.ServiceTypes {
		f.Objectives = append(f.Objectives, Objectives{Setup: t.SetupObjective, Message: t.MessageObjective})
	}
	return f
}

// ApplySettings takes new figures for all decisions from here on; what was decided stands. There are as many targets and
// quotas as the rundown has service types and quotas. Nothing in them is shared with the balancer.
func (b *Balancer) ApplySettings(f LiveSettings) {
	b.MaxAttempts, b.MaxRetryAfter, b.PollInterval = f.MaxAttempts, f.MaxRetryAfter, cmp.Or(f.PollInterval, maxEjectionTime)
	b.SlowStartShare, b.SlowStartTime, b.OverloadMultiple, b.OverloadWindow = f.SlowStartShare, f.SlowStartTime, f.OverloadMultiple, f.OverloadWindow
	b.ServiceTypes = slices.Clone(b.ServiceTypes) // the caller's rundown keeps its own
	b.messageObjective = math.Inf(1)
	for i, t := range f.Objectives[:min(len(f.Objectives), len(b.ServiceTypes))] {
		b.ServiceTypes[i].SetupObjective, b.ServiceTypes[i].MessageObjective = t.Setup, t.Message
		b.messageObjective = min(b.messageObjective, cmp.Or(t.Message, b.messageObjective))
	}
	if len(f.Quotas) == len(b.Quotas) {
		b.Quotas = slices.Clone(f.Quotas)
	}
	if b.longestList > 0 {
		b.quotaPerServer = 0
		for _, quota := range b.Quotas {
			b.quotaPerServer += quota / b.longestList / float64(b.Nodes)
		}
	}
}

// SetSize takes a server's size in place of the listed one, until the next list tells of it.
func (b *Balancer) SetSize(at int, size float64) { b.server(at).Size = size }
