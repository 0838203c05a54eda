package placement

import (
	"maps"
	"math"
)

// ServerState is what a balancer has learned of one server and leaves to its successor. Times are the clock's.
type ServerState struct {
	LoadThreshold float64 `json:"Ceiling"` // 0 for none
	LoweredAt     float64 `json:"CutAt"`
	ReportedAt    float64 `json:"ToldAt"`
	DrainingAt    float64 `json:"DrainAt"`
	Load          float64 `json:"Load"`
	OverloadedAt  float64 `json:"JamAt"`
	RejectedAt    float64 `json:"FullAt"`
	Failures      float64 `json:"Bad"`
	Successes     float64 `json:"Good"`
	EjectionTime  float64 `json:"Hold"`
	NextCheckAt   float64 `json:"ProbeAt"`
	ShortestCheck float64 `json:"Least"`
	Ejected       bool    `json:"Aside"`
	Disabled      bool    `json:"ByHand"`
	DisabledAt    float64 `json:"HandAt"`
	EnterFrom     float64 `json:"Wanted"`
	ChecksPassed  int     `json:"Answers"`
	RoundingDraw  float64 `json:"Round"`
}

// HandoverState is what a balancer leaves to its successor beside the list: nothing in it names a flow.
type HandoverState struct {
	Servers          []ServerState      `json:"Servers"` // by the door's index
	UsualLoads       []float64          `json:"Typical"`
	ClientLoads      map[uint64]float64 `json:"Loads"`  // by client key
	ConcurrencyLimit float64            `json:"Gate"`   // 0 for an open gate
	LimitLoweredAt   float64            `json:"GateAt"` // 0 for an open gate
	ShortestCheck    float64            `json:"Least"`
	OverloadLevel    float64            `json:"Strain"`
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

// HandoverState gives what a successor is left. Nothing in it is shared with this balancer.
func (b *Balancer) HandoverState() HandoverState {
	l := HandoverState{UsualLoads: append([]float64(nil), b.usual...), ClientLoads: map[uint64]float64{}, ConcurrencyLimit: finite(b.limit), LimitLoweredAt: b.limitLoweredAt, ShortestCheck: b.shortestRoundTrip, OverloadLevel: b.level}
	maps.Copy(l.ClientLoads, b.older)
	maps.Copy(l.ClientLoads, b.recent)
	for i := range b.servers {
		s := &b.servers[i]
		l.Servers = append(l.Servers, ServerState{LoadThreshold: finite(s.threshold), LoweredAt: s.loweredAt,
			ReportedAt: s.reportedAt, DrainingAt: s.drainingAt, Load: s.reportedLoad,
			OverloadedAt: s.overloadedAt, RejectedAt: s.rejectedAt, Failures: s.failures, Successes: s.successes, EjectionTime: s.ejectionTime,
			NextCheckAt: s.nextCheckAt, ShortestCheck: s.shortestCheck, Ejected: s.ejected, Disabled: s.disabled, DisabledAt: s.changedAt, EnterFrom: s.enterFrom,
			ChecksPassed: s.checksPassed, RoundingDraw: s.roundingDraw})
	}
	return l
}

// Restore takes what a predecessor has left, in place of what is known. It is called before any flow comes, after
// the list was told; the servers go by this balancer's own indices.
func (b *Balancer) Restore(l HandoverState) {
	if len(l.UsualLoads) == len(b.usual) { // the settings may have changed with the version
		copy(b.usual, l.UsualLoads)
	}
	b.recent = map[uint64]float64{}
	maps.Copy(b.recent, l.ClientLoads)
	b.limit, b.limitLoweredAt, b.shortestRoundTrip = infinite(l.ConcurrencyLimit), l.LimitLoweredAt, l.ShortestCheck
	b.level = min(max(l.OverloadLevel, 0), 1)
	for i, t := range l.Servers {
		s := b.server(i)
		s.threshold, s.loweredAt, s.reportedAt, s.drainingAt = infinite(t.LoadThreshold), t.LoweredAt, t.ReportedAt, t.DrainingAt
		s.reportedLoad = t.Load
		s.overloadedAt, s.rejectedAt, s.failures, s.successes, s.ejectionTime = t.OverloadedAt, t.RejectedAt, max(t.Failures, 0), max(t.Successes, 0), max(t.EjectionTime, firstEjectionTime)
		s.nextCheckAt, s.shortestCheck, s.ejected, s.checksPassed = t.NextCheckAt, t.ShortestCheck, t.Ejected, t.ChecksPassed
		s.disabled, s.changedAt, s.enterFrom = t.Disabled, t.DisabledAt, t.EnterFrom
		s.roundingDraw = t.RoundingDraw
	}
}

// AddPeerLoad takes connections that the node's other process holds at a server, or holds no more: they count like
// this one's own.
func (b *Balancer) AddPeerLoad(at, count int, load float64) {
	s := b.server(at)
	s.inFlight += count
	s.assignedLoad += load
}

// SetHandedOver says that a successor takes the flows from now on, and with them the budgets of cold servers: this one
// has none until it is said otherwise.
func (b *Balancer) SetHandedOver(given bool) { b.handedOver = given }
