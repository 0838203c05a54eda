package membership

import (
	"math"
	"math/rand/v2"

	"gorseledge/internal/membership/wire"
)

// Members is the membership state of one node: itself, the other members and the protocol's timers. It is not safe for
// concurrent use. The zero value is not usable; New returns one that is.
type Members struct {
	config  Config
	now     float64 // time of the call in progress, in seconds; it never decreases
	random  *rand.Rand
	effects []Effect // effects of the call in progress

	self         *member
	byName       map[string]*member // all members except this node; dead members and members that left stay
	others       []*member          // the members in byName, in the probe order of the current round
	liveCount    int                // number of members that are alive or suspect, including this node
	suspectCount int                // number of other members that are suspect
	left         bool               // this node has left or was replaced, and sends no more messages

	sequence       uint64                   // sequence number of the last probe, including probes requested by others
	probe          *probe                   // this node's own probe in progress; nil for none
	nextTarget     int                      // index in others of the next member to probe
	priorityProbes []string                 // names of suspects that are probed before the next member of the round
	indirectProbes map[uint64]indirectProbe // probes at the request of other members, by sequence number
	healthScore    int                      // local health score; 0 is healthy (Lifeguard, section IV.A)

	pending           []pendingUpdate // updates that still have to be gossiped
	stateMessageQuota int             // number of messages with state that may still be sent in this period

	// Times in seconds.
	nextPeriodAt    float64 // start of the next protocol period
	nextExchangeAt  float64 // next exchange of the full state
	nextBadLinksAt  float64 // earliest time of the next announcement of bad links
	lastReceivedAt  float64 // last message received from another member
	lastExpiryAt    float64 // last check for expired suspicions
	lastSuspectedAt float64 // last report that this node is suspect or dead; -Inf for none
}

// New returns the state of a member that knows no other members yet. Its first Tick is due within a quarter of a period.
func New(now float64, c Config) *Members {
	c.IndirectProbes = max(c.IndirectProbes, 1)
	c.WithoutLifeguard = c.WithoutLifeguard || shortSuspicionMutant
	m := &Members{
		config:            c,
		now:               now,
		random:            rand.New(rand.NewPCG(c.Seed, c.Self.Start)),
		self:              &member{Member: c.Self},
		byName:            map[string]*member{},
		liveCount:         1,
		indirectProbes:    map[uint64]indirectProbe{},
		stateMessageQuota: maxStateMessages,
		nextExchangeAt:    now,
		lastReceivedAt:    now,
		lastExpiryAt:      now,
		lastSuspectedAt:   math.Inf(-1),
	}
	m.self.State = Alive
	m.self.Since = now
	m.nextPeriodAt = now + m.random.Float64()*c.Period*startJitter
	return m
}

// NextTick returns the time at which Tick is due, in seconds; +Inf once this node has left.
func (m *Members) NextTick() float64 {
	at := m.nextPeriodAt
	if p := m.probe; p != nil && !p.indirectSent && !p.answered {
		at = min(at, p.indirectAt)
	}
	for _, request := range m.indirectProbes {
		if !request.nackSent {
			at = min(at, request.nackAt)
		}
	}
	return at
}

// Tick runs the timers that are due at the time now and returns the effects. The returned slice is valid until the next
// call of a method of m.
func (m *Members) Tick(now float64) []Effect {
	m.advanceClock(now)
	if m.left {
		m.nextPeriodAt = math.Inf(1)
		return m.effects
	}
	m.sendNacks()
	m.requestIndirectProbes()
	if m.now >= m.nextPeriodAt {
		m.startPeriod()
	}
	return m.effects
}

// advanceClock sets the time and discards the effects of the last call. If the call comes much later than the next tick
// was due, this process was paused, and advanceClock resets the timers.
func (m *Members) advanceClock(now float64) {
	m.effects = m.effects[:0]
	late := now - m.NextTick()
	m.now = max(now, m.now)
	if late < max(m.config.Period*pauseThreshold, m.config.ProbeTimeout) || m.config.WithoutLifeguard {
		return
	}
	m.resumeAfterPause(late)
}

// resumeAfterPause drops the probes in progress and resets the timers after this process was paused for the given number
// of seconds. The pause does not count towards the end of a suspicion: otherwise the node would declare all suspects dead
// as soon as it resumes.
func (m *Members) resumeAfterPause(seconds float64) {
	m.probe = nil
	clear(m.indirectProbes)
	m.extendSuspicions(seconds)
	m.lastReceivedAt = m.now
	m.lastExpiryAt = m.now
	m.nextPeriodAt = m.now + m.config.Period*startJitter
	m.nextExchangeAt = m.now // to learn at once what changed during the pause, also about this node
	m.adjustHealth(1)
}

// startPeriod starts a protocol period: it ends the probe in progress, expires suspicions, exchanges the full state if
// that is due, and starts the next probe.
func (m *Members) startPeriod() {
	m.nextPeriodAt = m.now + m.config.Period*m.timeoutFactor()
	m.stateMessageQuota = maxStateMessages
	if p := m.probe; p != nil && !p.answered {
		m.probeFailed(p)
	}
	m.probe = nil
	m.expireSuspicions()
	m.exchangeState()
	m.startProbe()
}

// Leave returns messages that announce to some members that this node leaves the fleet. After the call, the node sends no
// more messages. A second call returns no effects.
func (m *Members) Leave(now float64) []Effect {
	m.advanceClock(now)
	if m.left {
		return m.effects
	}
	m.left = true
	m.self.State = Left
	m.self.Incarnation++
	for _, peer := range m.randomAlive(2*m.config.IndirectProbes+2, nil) {
		m.send(peer.Address, &wire.Message{
			Kind:    wire.Message_PING,
			About:   peer.Name,
			Updates: []*wire.Update{m.self.update()},
		})
	}
	m.probe = nil
	m.nextPeriodAt = math.Inf(1)
	clear(m.indirectProbes)
	return m.effects
}

// SetReady sets whether this node accepts clients and, if that has changed, announces it to the other members.
func (m *Members) SetReady(now float64, ready bool) {
	m.now = max(now, m.now)
	if m.self.Ready == ready {
		return
	}
	m.self.Ready = ready
	m.announceSelf()
}

// announceSelf raises the incarnation of this node and gossips its facts. If the incarnation is already the highest
// possible one, because another member reported it, announceSelf raises the start instead, which is compared first.
func (m *Members) announceSelf() {
	if m.self.Incarnation == math.MaxUint32 {
		m.self.Start++
		m.self.Incarnation = 0
	} else {
		m.self.Incarnation++
	}
	m.enqueueUpdate(m.self)
}
