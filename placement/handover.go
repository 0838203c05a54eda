package placement

import (
	"maps"
	"math"
)

// ServerState is what a balancer has learned of one server and hands over to its successor. Times are seconds on
// the host's clock. The JSON names are those of the version in service and must stay.
type ServerState struct {
	LoadThreshold float64 `json:"Ceiling"` // 0 for none
	LoweredAt     float64 `json:"CutAt"`   // when the threshold was last lowered
	ReportedAt    float64 `json:"ToldAt"`  // when the last load report was received
	DrainingAt    float64 `json:"DrainAt"` // when the server was first seen to drain
	Load          float64 `json:"Load"`    // last reported load over capacity
	OverloadedAt  float64 `json:"JamAt"`   // when the server was last seen to be overloaded
	RejectedAt    float64 `json:"FullAt"`  // when it last rejected an attempt
	Failures      float64 `json:"Bad"`     // of late
	Successes     float64 `json:"Good"`    // of late
	EjectionTime  float64 `json:"Hold"`    // of the next ejection
	NextCheckAt   float64 `json:"ProbeAt"` // when the next health check may be
	ShortestCheck float64 `json:"Least"`   // shortest round trip of a health check
	Ejected       bool    `json:"Aside"`
	Disabled      bool    `json:"ByHand"`  // by an operator
	DisabledAt    float64 `json:"HandAt"`  // when it was, or when a server enabled again counts as started
	EnterFrom     float64 `json:"Wanted"`  // when a new flow enters a server enabled again; 0 for none
	ChecksPassed  int     `json:"Answers"` // health checks in a row
	RoundingDraw  float64 `json:"Round"`   // decides whether this node exceeds a threshold of less than one connection
}

// HandoverState is what a balancer hands over to its successor beside the endpoint list. It names no flow. The JSON
// names are those of the version in service and must stay.
type HandoverState struct {
	Servers          []ServerState      `json:"Servers"` // by the host's index
	UsualLoads       []float64          `json:"Typical"` // by service type
	ClientLoads      map[uint64]float64 `json:"Loads"`   // by hash of the client key
	ConcurrencyLimit float64            `json:"Gate"`    // attempts in flight; 0 for no limit
	LimitLoweredAt   float64            `json:"GateAt"`
	ShortestCheck    float64            `json:"Least"`  // shortest round trip of a health check at any server
	OverloadLevel    float64            `json:"Strain"` // from 0 to 1
}

// HandoverState returns what is handed over to a successor. The result shares nothing with the balancer.
func (b *Balancer) HandoverState() HandoverState {
	state := HandoverState{
		UsualLoads:       append([]float64(nil), b.loads.usual...),
		ClientLoads:      map[uint64]float64{},
		ConcurrencyLimit: zeroForInfinite(b.concurrency.limit),
		LimitLoweredAt:   b.concurrency.loweredAt,
		ShortestCheck:    b.checks.shortestRoundTrip,
		OverloadLevel:    b.overload.level,
	}
	maps.Copy(state.ClientLoads, b.loads.older)
	maps.Copy(state.ClientLoads, b.loads.recent)
	for i := range b.servers {
		state.Servers = append(state.Servers, b.servers[i].handoverState())
	}
	return state
}

// Restore takes what a predecessor has handed over in place of what is known. It is called after the endpoint list
// and before any flow is added. The servers go by this balancer's indices.
func (b *Balancer) Restore(state HandoverState) {
	if len(state.UsualLoads) == len(b.loads.usual) { // the service types may have changed with the version
		copy(b.loads.usual, state.UsualLoads)
	}
	b.loads.recent = map[uint64]float64{}
	maps.Copy(b.loads.recent, state.ClientLoads)
	b.concurrency.limit = infiniteForZero(state.ConcurrencyLimit)
	b.concurrency.loweredAt = state.LimitLoweredAt
	b.checks.shortestRoundTrip = state.ShortestCheck
	b.overload.level = min(max(state.OverloadLevel, 0), 1)
	for i, serverState := range state.Servers {
		b.server(i).restore(serverState)
	}
}

func (s *server) handoverState() ServerState {
	return ServerState{
		LoadThreshold: zeroForInfinite(s.threshold.load),
		LoweredAt:     s.threshold.loweredAt,
		ReportedAt:    s.report.receivedAt,
		DrainingAt:    s.drainingAt,
		Load:          s.report.load,
		OverloadedAt:  s.threshold.overloadedAt,
		RejectedAt:    s.rejectedAt,
		Failures:      s.outlier.failures,
		Successes:     s.outlier.successes,
		EjectionTime:  s.outlier.ejectionTime,
		NextCheckAt:   s.check.nextAt,
		ShortestCheck: s.check.shortestRoundTrip,
		Ejected:       s.outlier.ejected,
		Disabled:      s.admin.disabled,
		DisabledAt:    s.admin.changedAt,
		EnterFrom:     s.admin.enterFrom,
		ChecksPassed:  s.check.passed,
		RoundingDraw:  s.threshold.roundingDraw,
	}
}

func (s *server) restore(state ServerState) {
	s.threshold.load = infiniteForZero(state.LoadThreshold)
	s.threshold.loweredAt = state.LoweredAt
	s.threshold.overloadedAt = state.OverloadedAt
	s.threshold.roundingDraw = state.RoundingDraw
	s.report.receivedAt = state.ReportedAt
	s.report.load = state.Load
	s.drainingAt = state.DrainingAt
	s.rejectedAt = state.RejectedAt
	s.outlier.failures = max(state.Failures, 0)
	s.outlier.successes = max(state.Successes, 0)
	s.outlier.ejected = state.Ejected
	s.outlier.ejectionTime = max(state.EjectionTime, firstEjectionTime)
	s.check.nextAt = state.NextCheckAt
	s.check.shortestRoundTrip = state.ShortestCheck
	s.check.passed = state.ChecksPassed
	s.admin.disabled = state.Disabled
	s.admin.changedAt = state.DisabledAt
	s.admin.enterFrom = state.EnterFrom
}

// zeroForInfinite writes the absence of a limit in the form of the handover, because JSON has no infinite number.
func zeroForInfinite(limit float64) float64 {
	if math.IsInf(limit, 1) {
		return 0
	}
	return limit
}

// infiniteForZero is the inverse of zeroForInfinite.
func infiniteForZero(limit float64) float64 {
	if limit <= 0 {
		return math.Inf(1)
	}
	return limit
}

// AddPeerLoad adds connections that the node's other process has at a server, or takes them back by a negative
// count and load. They count like this process's own.
func (b *Balancer) AddPeerLoad(index, count int, load float64) {
	s := b.server(index)
	s.inFlight += count
	s.assignedLoad += load
}

// SetHandedOver says whether a successor takes the flows. As long as it does, this balancer has no budget at
// servers in slow start and requests no health checks.
func (b *Balancer) SetHandedOver(handedOver bool) {
	b.handedOver = handedOver
}
