package placement

const (
	// answerMargin is the number of ticks before its timeout at which a flow gets its final answer, so that the answer
	// arrives before the client gives up.
	answerMargin = 3
	// A Retry-After is spread evenly from leastRetryAfter on, over retryAfterSpread of the longest one.
	leastRetryAfter  = 0.25
	retryAfterSpread = 0.5
	// uncertaintyLimit is the uncertainty, lowered for small fleets, above which a node counts as uncertain.
	uncertaintyLimit = 0.5
)

// Outcome is how an attempt, an established connection or a health check ended.
type Outcome uint8

// The outcomes. Those that prove that the attempt had no effect are named by NeverRan.
const (
	Served         Outcome = iota // it ended well
	Failed                        // the server answered with an error; the attempt may have run
	Rejected                      // the server rejected it without looking at it
	TimedOut                      // no answer in time; it may have run
	ConnectFailed                 // no connection in time; it never ran
	ConnectionLost                // the connection broke; it may have run
	Canceled                      // ended by this side; it may have run
	NotSent                       // it never left this node
)

// NeverRan reports whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool {
	return o == Rejected || o == ConnectFailed || o == NotSent
}

// Established reports that an attempt became a connection. The attempts of a flow are numbered from 0.
func (b *Balancer) Established(id, attempt int) {
	if !b.isLive(id) {
		return
	}
	f := &b.flows[id]
	if !f.inFlight || f.established || attempt != f.attempts-1 {
		return
	}
	b.markEstablished(f)
	b.servers[f.server].outlier.successes++
	b.concurrency.raise()
}

// AttemptEnded reports the end of an attempt, or of the connection that it became. The argument over says that the
// flow has had its final answer or needs none.
func (b *Balancer) AttemptEnded(now float64, id, attempt int, outcome Outcome, over bool) {
	if !b.isLive(id) {
		return
	}
	f := &b.flows[id]
	if f.inFlight && attempt == f.attempts-1 {
		b.endAttempt(now, f, outcome)
	}
	f.unanswered = f.unanswered && !over && outcome != Served
	if f.unanswered && !f.inFlight {
		b.pendingFlows = append(b.pendingFlows, id)
	}
}

func (b *Balancer) endAttempt(now float64, f *flow, outcome Outcome) {
	wasEstablished := f.established
	b.unreserve(f)
	b.recordOutcome(now, f, outcome, wasEstablished)
	if !outcome.NeverRan() && f.ranAt < 0 {
		f.ranAt = f.sentAt
		f.ranServer = f.server
	}
}

// nextFlowDecision returns the decision for the first waiting flow that needs one.
func (b *Balancer) nextFlowDecision(now float64) (Decision, bool) {
	for len(b.pendingFlows) > 0 {
		id := b.pendingFlows[0]
		b.pendingFlows = b.pendingFlows[1:]
		if decision, ok := b.decideFlow(now, id); ok {
			return decision, true
		}
	}
	return Decision{}, false
}

// decideFlow sends a flow to a server or gives it its final answer. It returns false if the flow needs neither.
func (b *Balancer) decideFlow(now float64, id int) (Decision, bool) {
	f := &b.flows[id]
	if !f.unanswered || f.inFlight {
		return Decision{}, false
	}
	if b.mayAttemptNow(now, f) {
		if index := b.selectServer(now, f); index != none {
			return b.connect(now, id, index), true
		}
	}
	f.unanswered = false
	return b.finalAnswer(now, id), true
}

// mayAttemptNow reports whether a flow has time and attempts left, and whether the load on this node's servers
// allows one.
func (b *Balancer) mayAttemptNow(now float64, f *flow) bool {
	paced := b.paceReturning(f) // always first, because it may draw a random number
	if paced || b.retryHeldBack(f) {
		return false
	}
	return now < f.deadline && f.attempts < b.MaxAttempts && (b.concurrency.allows(b.attemptsInFlight) || f.midFlow)
}

// paceReturning decides by chance whether a returning client has to wait. This prevents dropped clients from
// moving from one overloaded server to the next where this node sees too few connections to find capacity.
func (b *Balancer) paceReturning(f *flow) bool {
	if !f.returning || f.midFlow || f.attempts != 0 {
		return false
	}
	return b.random() < returnPacing*b.overload.slowShare*b.overload.uncertainty
}

// retryHeldBack reports whether a flow whose attempt may have run gets no retry for now. A concurrency limit allows
// one attempt a node at the least. With many nodes this would send again what failed at a store that the servers
// share.
func (b *Balancer) retryHeldBack(f *flow) bool {
	return f.ranAt >= 0 && b.concurrency.active() && b.uncertain()
}

// connect starts an attempt of a flow at a server.
func (b *Balancer) connect(now float64, id, index int) Decision {
	f := &b.flows[id]
	timeout := b.attemptTimeout(now, f)
	b.reserve(f, index)
	f.attempts++
	f.sentAt = now
	f.tried = append(f.tried, index)
	s := &b.servers[index]
	s.slowStart.attempts++
	s.admin.enterFrom = 0
	return Decision{Action: Connect, Flow: id, Server: index, Seconds: timeout}
}

// finalAnswer returns a Reject where a retry by the client is safe, else an Abort. The Retry-After is spread, so
// that rejected clients do not return together.
func (b *Balancer) finalAnswer(now float64, id int) Decision {
	retryAfter := b.MaxRetryAfter * (leastRetryAfter + retryAfterSpread*b.random())
	if b.mayReject(now, &b.flows[id], retryAfter) {
		return Decision{Action: Reject, Flow: id, Seconds: retryAfter}
	}
	return Decision{Action: Abort, Flow: id}
}

// attemptTimeout returns the timeout of the next attempt. It leaves time for a retry where one is possible. A node
// that is uncertain waits to the deadline. This prevents setups that are given up and sent again
// from filling the queue of a shared store.
func (b *Balancer) attemptTimeout(now float64, f *flow) float64 {
	left := f.deadline - now
	serviceType := &b.ServiceTypes[f.serviceType]
	if f.attempts+1 >= b.MaxAttempts || serviceType.Idempotency == AtMostOnce || b.uncertain() {
		return left
	}
	return min(left, max(serviceType.SetupObjective, left/2))
}

// mayAttempt reports whether an attempt of a flow at a server cannot cause its effect a second time.
func (b *Balancer) mayAttempt(now float64, f *flow, index int) bool {
	serviceType := &b.ServiceTypes[f.serviceType]
	if f.ranAt < 0 || serviceType.Idempotency == Idempotent {
		return true
	}
	if serviceType.Idempotency == AtMostOnce || now+b.DialTimeout >= f.ranAt+serviceType.KeyLifetime {
		return false
	}
	first := &b.servers[f.ranServer]
	next := &b.servers[index]
	switch serviceType.KeyScope {
	case KeyScopeAll:
		return true
	case KeyScopeZone:
		return first.Zone == next.Zone
	case KeyScopeCell:
		return first.Cell == next.Cell
	}
	return false
}

// mayReject reports whether the client of a flow may retry safely after some seconds.
func (b *Balancer) mayReject(now float64, f *flow, retryAfter float64) bool {
	serviceType := &b.ServiceTypes[f.serviceType]
	if f.ranAt < 0 || serviceType.Idempotency == Idempotent {
		return true
	}
	return serviceType.Idempotency == IdempotentWithKey && serviceType.KeyScope == KeyScopeAll &&
		now+retryAfter < f.ranAt+serviceType.KeyLifetime
}

// uncertain reports whether this node, one of many, has too few connections to tell the fault of one server from a
// fault that all servers share.
func (b *Balancer) uncertain() bool {
	return b.overload.uncertainty*(1-smallFleet/float64(b.Nodes)) > uncertaintyLimit
}
