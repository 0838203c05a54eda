package placement

import (
	"maps"
	"math"
)

// Standing is what a balancer has learned of one server and leaves to its successor. Times are the clock's.
type Standing struct {
	Ceiling float64 `json:"Ceiling"` // 0 for none
	CutAt   float64 `json:"CutAt"`
	ToldAt  float64 `json:"ToldAt"`
	DrainAt float64 `json:"DrainAt"`
	Load    float64 `json:"Load"`
	JamAt   float64 `json:"JamAt"`
	FullAt  float64 `json:"FullAt"`
	Bad     float64 `json:"Bad"`
	Good    float64 `json:"Good"`
	Hold    float64 `json:"Hold"`
	ProbeAt float64 `json:"ProbeAt"`
	Least   float64 `json:"Least"`
	Aside   bool    `json:"Aside"`
	ByHand  bool    `json:"ByHand"`
	HandAt  float64 `json:"HandAt"`
	Wanted  float64 `json:"Wanted"`
	Answers int     `json:"Answers"`
	Round   float64 `json:"Round"`
}

// Legacy is what a balancer leaves to its successor beside the list: nothing in it names a flow.
type Legacy struct {
	Servers []Standing         `json:"Servers"` // by the door's index
	Typical []float64          `json:"Typical"`
	Loads   map[uint64]float64 `json:"Loads"`  // by client key
	Gate    float64            `json:"Gate"`   // 0 for an open gate
	GateAt  float64            `json:"GateAt"` // 0 for an open gate
	Least   float64            `json:"Least"`
	Strain  float64            `json:"Strain"`
}

func finite(x float64) float64 {
	if math.IsInf(x, 1) {
		return 0
	}
	return x
}

func infinite(x float64) float64 {
	if x <= 0 {
		return math.Inf(1)
	}
	return x
}

// Legacy gives what a successor is left. Nothing in it is shared with this balancer.
func (b *Balancer) Legacy() Legacy {
	l := Legacy{Typical: append([]float64(nil), b.typical...), Loads: map[uint64]float64{}, Gate: finite(b.gate), GateAt: b.gateAt, Least: b.least, Strain: b.strain}
	maps.Copy(l.Loads, b.older)
	maps.Copy(l.Loads, b.loads)
	for i := range b.servers {
		s := &b.servers[i]
		l.Servers = append(l.Servers, Standing{Ceiling: finite(s.ceiling), CutAt: s.cutAt,
			ToldAt: s.toldAt, DrainAt: s.drainAt, Load: s.load,
			JamAt: s.jamAt, FullAt: s.fullAt, Bad: s.bad, Good: s.good, Hold: s.hold,
			ProbeAt: s.probeAt, Least: s.least, Aside: s.aside, ByHand: s.byHand, HandAt: s.handAt, Wanted: s.wanted,
			Answers: s.answers, Round: s.round})
	}
	return l
}

// Inherit takes what a predecessor has left, in place of what is known. It is called before any flow comes, after
// the list was told; the servers go by this balancer's own indices.
func (b *Balancer) Inherit(l Legacy) {
	if len(l.Typical) == len(b.typical) { // the settings may have changed with the version
		copy(b.typical, l.Typical)
	}
	b.loads = map[uint64]float64{}
	maps.Copy(b.loads, l.Loads)
	b.gate, b.gateAt, b.least = infinite(l.Gate), l.GateAt, l.Least
	b.strain = min(max(l.Strain, 0), 1)
	for i, t := range l.Servers {
		s := b.server(i)
		s.ceiling, s.cutAt, s.toldAt, s.drainAt = infinite(t.Ceiling), t.CutAt, t.ToldAt, t.DrainAt
		s.load = t.Load
		s.jamAt, s.fullAt, s.bad, s.good, s.hold = t.JamAt, t.FullAt, max(t.Bad, 0), max(t.Good, 0), max(t.Hold, firstHold)
		s.probeAt, s.least, s.aside, s.answers = t.ProbeAt, t.Least, t.Aside, t.Answers
		s.byHand, s.handAt, s.wanted = t.ByHand, t.HandAt, t.Wanted
		s.round = t.Round
	}
}

// Elsewhere takes connections that the node's other process holds at a server, or holds no more: they count like
// this one's own.
func (b *Balancer) Elsewhere(at, count int, load float64) {
	s := b.server(at)
	s.held += count
	s.work += load
}

// Give says that a successor takes the flows from now on, and with them the budgets of cold servers: this one
// has none until it is said otherwise.
func (b *Balancer) Give(given bool) { b.given = given }
