package placement

const (
	// answerMargin is the number of ticks before its timeout at which a flow gets its final answer, so that the answer
	// arrives before the client gives up.
	answerMargin = 3
	// A Retry-After is a random time between minRetryAfterFraction and minRetryAfterFraction + retryAfterSpreadFraction
	// of MaxRetryAfter.
	minRetryAfterFraction    = 0.25
	retryAfterSpreadFraction = 0.5
	// uncertaintyLimit is the uncertainty above which a node counts as uncertain, after a correction that lowers the
	// uncertainty of nodes in small fleets.
	uncertaintyLimit = 0.5
)

// Outcome is how an attempt, an established connection or a health check ended.
type Outcome uint8

// The outcomes. NeverRan reports those that prove that the attempt had no effect.
const (
	Served         Outcome = iota // ended without an error
	Failed                        // the server answered with an error; the attempt may have had an effect
	Rejected                      // the server rejected the attempt without processing it
	TimedOut                      // no answer before the timeout; the attempt may have had an effect
	ConnectFailed                 // no connection before the timeout; the attempt had no effect
	ConnectionLost                // the connection was lost; the attempt may have had an effect
	Canceled                      // this node ended the attempt; it may have had an effect
	NotSent                       // the attempt was not sent to a server
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

// AttemptEnded reports the end of an attempt, or of the connection that it became. The argument over is true if the
// flow has already received its final answer or needs none.
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

// decideFlow returns the decision that sends a flow to a server, or else the flow's final answer. It returns false if the
// flow needs neither.
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
	paced := b.mustPaceReturning(f) // called first, because it may consume a random number
	if paced || b.retrySuppressed(f) {
		return false
	}
	return now < f.deadline && f.attempts < b.MaxAttempts && (b.concurrency.allows(b.attemptsInFlight) || f.midFlow)
}

// mustPaceReturning decides at random whether a returning client has to wait. Clients whose connections were dropped
// would otherwise move from one overloaded server to the next, because a node with few connections cannot see which
// servers have capacity.
func (b *Balancer) mustPaceReturning(f *flow) bool {
	if !f.returning || f.midFlow || f.attempts != 0 {
		return false
	}
	return b.random() < returnPacing*b.overload.slowFraction*b.overload.uncertainty
}

// retrySuppressed reports whether a flow whose attempt may have had an effect gets no retry for now. A concurrency limit
// always allows each node at least one attempt. With many nodes, these attempts alone could overload a store that the
// servers share, if each of them were repeated after a failure.
func (b *Balancer) retrySuppressed(f *flow) bool {
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
	s.admin.reentryAt = 0
	return Decision{Action: Connect, Flow: id, Server: index, Seconds: timeout}
}

// finalAnswer returns a Reject if a retry by the client is safe, otherwise an Abort. The Retry-After is randomized, so
// that rejected clients do not return at the same time.
func (b *Balancer) finalAnswer(now float64, id int) Decision {
	retryAfter := b.MaxRetryAfter * (minRetryAfterFraction + retryAfterSpreadFraction*b.random())
	if b.mayReject(now, &b.flows[id], retryAfter) {
		return Decision{Action: Reject, Flow: id, Seconds: retryAfter}
	}
	return Decision{Action: Abort, Flow: id}
}

// attemptTimeout returns the timeout of the next attempt in seconds. It leaves time for a retry if one is possible. An
// uncertain node waits until the deadline of the flow instead: setups that time out and are sent again could fill the
// queue of a store that the servers share.
func (b *Balancer) attemptTimeout(now float64, f *flow) float64 {
	remaining := f.deadline - now
	serviceType := &b.ServiceTypes[f.serviceType]
	if f.attempts+1 >= b.MaxAttempts || serviceType.Idempotency == AtMostOnce || b.uncertain() {
		return remaining
	}
	return min(remaining, max(serviceType.SetupObjective, remaining/2))
}

// mayAttempt reports whether a flow may be attempted at a server without the risk that its effect happens twice.
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
		return first == next || first.Zone != UnknownZone && first.Zone == next.Zone
	case KeyScopeCell:
		return first.Cell == next.Cell
	}
	return false
}

// mayReject reports whether the client of a flow may safely retry after a Retry-After in seconds.
func (b *Balancer) mayReject(now float64, f *flow, retryAfter float64) bool {
	serviceType := &b.ServiceTypes[f.serviceType]
	if f.ranAt < 0 || serviceType.Idempotency == Idempotent {
		return true
	}
	return serviceType.Idempotency == IdempotentWithKey && serviceType.KeyScope == KeyScopeAll &&
		now+retryAfter < f.ranAt+serviceType.KeyLifetime
}

// uncertain reports whether this node has too few connections to distinguish the fault of one server from a fault that
// all servers share. The nodes of a small fleet each have enough of the traffic and are never uncertain.
func (b *Balancer) uncertain() bool {
	return b.overload.uncertainty*(1-smallFleet/float64(b.Nodes)) > uncertaintyLimit
}
