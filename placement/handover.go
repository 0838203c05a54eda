package placement

import "math"

// ServerState is the state of one server that a balancer hands over to its successor. Times are in seconds on the host's
// clock. The JSON names are those of the versions in service, with which state is exchanged, and must not change.
type ServerState struct {
	LoadThreshold  float64 `json:"Ceiling"` // 0 if there is none
	LoweredAt      float64 `json:"CutAt"`   // when the threshold was last lowered
	ReportedAt     float64 `json:"ToldAt"`  // when the last load report was received
	DrainingAt     float64 `json:"DrainAt"` // when the server was first listed as draining
	Load           float64 `json:"Load"`    // last reported load divided by capacity
	OverloadedAt   float64 `json:"JamAt"`   // when the server was last observed to be overloaded
	RejectedAt     float64 `json:"FullAt"`  // when the server last rejected an attempt
	Failures       float64 `json:"Bad"`     // failed attempts, halved every evidenceHalfLife
	Successes      float64 `json:"Good"`    // established attempts, halved every evidenceHalfLife
	EjectionTime   float64 `json:"Hold"`    // duration in seconds of the next ejection until its first health check
	NextCheckAt    float64 `json:"ProbeAt"` // earliest time of the next health check
	ShortestCheck  float64 `json:"Least"`   // shortest round trip of a health check, in seconds; 0 if there was none
	Ejected        bool    `json:"Aside"`   // by outlier detection
	Disabled       bool    `json:"ByHand"`  // by an operator
	DisabledAt     float64 `json:"HandAt"`  // when the server was disabled, or, once enabled again, when it counts as started
	ReentryAt      float64 `json:"Wanted"`  // when a first flow is sent to the server after it was enabled again; 0 if none is due
	ChecksPassed   int     `json:"Answers"` // health checks passed in a row
	RoundingOffset float64 `json:"Round"`   // random; decides if this node exceeds a threshold of less than one connection
}

// HandoverState is the state that a balancer hands over to its successor in addition to the endpoint list. It contains
// no flows. The JSON names are those of the versions in service, with which state is exchanged, and must not change.
type HandoverState struct {
	Servers          []ServerState      `json:"Servers"` // by the index that the host assigned
	UsualLoads       []float64          `json:"Typical"` // usual load of a connection, by service type
	ClientLoads      map[uint64]float64 `json:"Loads"`   // last reported load, by hash of the client key
	ConcurrencyLimit float64            `json:"Gate"`    // attempts in flight; 0 if there is no limit
	LimitLoweredAt   float64            `json:"GateAt"`  // when the limit was last lowered
	ShortestCheck    float64            `json:"Least"`   // shortest health check round trip at any server, in seconds; 0 for none
	OverloadLevel    float64            `json:"Strain"`  // from 0 to 1: chance that a flow of a group starts at the group's home
}

// HandoverState returns the state to hand over to a successor. The result shares no memory with the balancer.
func (b *Balancer) HandoverState() HandoverState {
	state := HandoverState{
		UsualLoads:       append([]float64(nil), b.loads.usual...),
		ClientLoads:      b.loads.byClient.All(),
		ConcurrencyLimit: zeroForInfinite(b.concurrency.limit),
		LimitLoweredAt:   b.concurrency.loweredAt,
		ShortestCheck:    b.checks.shortestRoundTrip,
		OverloadLevel:    b.overload.level,
	}
	for i := range b.servers {
		state.Servers = append(state.Servers, b.servers[i].handoverState())
	}
	return state
}

// Restore replaces the state of the balancer with the one that a predecessor handed over. The host calls it after the
// first endpoint list and before it adds any flow. The servers in state are in the order of this balancer's indices.
func (b *Balancer) Restore(state HandoverState) {
	if len(state.UsualLoads) == len(b.loads.usual) { // the service types may have changed with the version
		copy(b.loads.usual, state.UsualLoads)
	}
	b.loads.byClient.Restore(state.ClientLoads)
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
		LoadThreshold:  zeroForInfinite(s.threshold.load),
		LoweredAt:      s.threshold.loweredAt,
		ReportedAt:     s.report.receivedAt,
		DrainingAt:     s.drainingAt,
		Load:           s.report.load,
		OverloadedAt:   s.threshold.overloadedAt,
		RejectedAt:     s.rejectedAt,
		Failures:       s.outlier.failures,
		Successes:      s.outlier.successes,
		EjectionTime:   s.outlier.ejectionTime,
		NextCheckAt:    s.check.nextAt,
		ShortestCheck:  s.check.shortestRoundTrip,
		Ejected:        s.outlier.ejected,
		Disabled:       s.admin.disabled,
		DisabledAt:     s.admin.changedAt,
		ReentryAt:      s.admin.reentryAt,
		ChecksPassed:   s.check.passed,
		RoundingOffset: s.threshold.roundingOffset,
	}
}

func (s *server) restore(state ServerState) {
	s.threshold.load = infiniteForZero(state.LoadThreshold)
	s.threshold.loweredAt = state.LoweredAt
	s.threshold.overloadedAt = state.OverloadedAt
	s.threshold.roundingOffset = state.RoundingOffset
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
	s.admin.reentryAt = state.ReentryAt
}

// zeroForInfinite returns 0 for an infinite limit, because JSON cannot represent infinity.
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

// AddPeerLoad adds connections that the node's other process (its predecessor or successor) has at a server. A negative
// count and load remove them again. They count like the connections of this process.
func (b *Balancer) AddPeerLoad(index, count int, load float64) {
	s := b.server(index)
	s.inFlight += count
	s.assignedLoad += load
}

// SetHandedOver sets whether a successor process handles new flows. While it does, this balancer sends no attempts to
// servers in slow start and requests no health checks.
func (b *Balancer) SetHandedOver(handedOver bool) {
	b.handedOver = handedOver
}
