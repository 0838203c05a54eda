package membership

import (
	"math"
	"math/rand/v2"

	"gorseledge/internal/membership/wire"
)

// Members is the membership state of one node: itself, the other members and the protocol's timers. It is not safe for
// concurrent use.
type Members struct {
	Config
	now         float64
	rand        *rand.Rand
	self        *member
	byName      map[string]*member
	others      []*member // all but this node, in the order of this round of probes
	suspected   int       // number of others under suspicion
	nextProbe   int
	living      int // number of members alive or suspect, including this node
	effects     []Effect
	news        []news
	probeFirst  []string // names of members to probe before the others
	healthScore int
	seq         uint64
	probe       *probe
	helping     map[uint64]helping

	roundAt, heardAt, expiredAt, exchangeAt, factsAt, accusedAt float64
	messagesLeft                                                int // state messages that may still be sent in this period
	left                                                        bool
}

// New returns the state of a member that knows no others yet. Its first Tick is due within a quarter of a period.
func New(now float64, c Config) *Members {
	c.IndirectProbes, c.WithoutLifeguard = max(c.IndirectProbes, 1), c.WithoutLifeguard || hasty
	m := &Members{Config: c, now: now, rand: rand.New(rand.NewPCG(c.Seed, c.Self.Start)), byName: map[string]*member{},
		helping: map[uint64]helping{}, living: 1, heardAt: now, expiredAt: now, accusedAt: math.Inf(-1),
		messagesLeft: maxStateMessages}
	m.self = &member{Member: c.Self}
	m.self.State, m.self.Since = Alive, now
	m.roundAt = now + m.rand.Float64()*c.Period/4 // spreads the probes of a fleet that starts at once
	m.exchangeAt = now
	return m
}

// NextTick returns the time at which Tick is due.
func (m *Members) NextTick() float64 {
	at := m.roundAt
	if p := m.probe; p != nil && !p.asked && !p.answered {
		at = min(at, p.askAt)
	}
	for _, h := range m.helping {
		if !h.nacked {
			at = min(at, h.nackAt)
		}
	}
	return at
}

// advanceClock sets the time and discards the effects of the last call. A tick that comes much too late means that this
// process was stopped: the time that it missed is not counted against the members under suspicion. This guards against
// a node that declares all others dead when it continues.
func (m *Members) advanceClock(now float64) {
	m.effects = m.effects[:0]
	away := now - m.NextTick()
	m.now = max(now, m.now)
	if away < max(m.Period/4, m.ProbeTimeout) || m.WithoutLifeguard {
		return
	}
	m.probe = nil
	clear(m.helping)
	for _, x := range m.others {
		if s := x.suspicion; s != nil {
			s.since += away
			s.earliestEnd += away
		}
	}
	m.heardAt, m.expiredAt = m.now, m.now
	m.roundAt = m.now + m.Period/4
	m.exchangeAt = m.now // to learn what changed meanwhile, also about this node
	m.adjustHealth(1)
}

// Tick does what is due at the time now and returns the effects, which are valid until the next call.
func (m *Members) Tick(now float64) []Effect {
	m.advanceClock(now)
	if m.left {
		m.roundAt = math.Inf(1)
		return m.effects
	}
	m.sendNacks()
	m.requestIndirectProbes()
	if m.now >= m.roundAt {
		m.startRound()
	}
	return m.effects
}

// Leave returns messages that tell some members that this node leaves. After it, the node sends nothing more.
func (m *Members) Leave(now float64) []Effect {
	m.advanceClock(now)
	if m.left {
		return m.effects
	}
	m.left = true
	m.self.State = Left
	m.self.Incarnation++
	for _, x := range m.randomAlive(2*m.IndirectProbes+2, nil) {
		m.send(x.Address, &wire.Message{Kind: wire.Message_PING, About: x.Name,
			Updates: []*wire.Update{m.self.update()}})
	}
	m.probe, m.roundAt = nil, math.Inf(1)
	clear(m.helping)
	return m.effects
}

// SetReady announces to the others whether this node takes clients, where that has changed.
func (m *Members) SetReady(now float64, ready bool) {
	if m.now = max(now, m.now); m.self.Ready != ready {
		m.self.Ready = ready
		m.announceSelf()
	}
}

// announceSelf raises the incarnation of this node and announces its facts.
func (m *Members) announceSelf() {
	if m.self.Incarnation == math.MaxUint32 { // another member claimed it; a later start precedes any incarnation
		m.self.Start, m.self.Incarnation = m.self.Start+1, 0
	} else {
		m.self.Incarnation++
	}
	m.enqueueNews(m.self)
}

// adjustHealth changes the local health score (Lifeguard, section IV.A): 0 is healthy.
func (m *Members) adjustHealth(by int) {
	if !m.WithoutLifeguard {
		m.healthScore = min(max(m.healthScore+by, 0), maxHealthScore)
	}
}
