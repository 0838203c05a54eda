package membership

import (
	"math"
	"math/rand/v2"

	"gorseledge/internal/membership/wire"
)

// Members is what one node knows of its fleet.
type Members struct {
	Config
	now       float64
	rand      *rand.Rand
	self      *member
	byName    map[string]*member
	others    []*member // all but this one, in the order of this round's probes
	suspected int       // of them are under a suspicion
	next      int
	living    int // alive or suspect, this one included
	out       []Effect
	news      []news
	verify    []string // to be probed first
	doubt     int
	seq       uint64
	probe     *probe
	helping   map[uint64]helping

	roundAt, heardAt, judgedAt, exchangeAt, factsAt, accusedAt float64
	pieces                                                     int // left in this period
	left                                                       bool
}

// New gives a member that knows nobody yet; the first Tick is due at once.
func New(now float64, c Config) *Members {
	c.Helpers, c.Plain = max(c.Helpers, 1), c.Plain || hasty
	m := &Members{Config: c, now: now, rand: rand.New(rand.NewPCG(c.Seed, c.Self.Start)), byName: map[string]*member{},
		helping: map[uint64]helping{}, living: 1, heardAt: now, judgedAt: now, accusedAt: math.Inf(-1), pieces: mostPieces}
	m.self = &member{Member: c.Self}
	m.self.State, m.self.Since = Alive, now
	m.roundAt = now + m.rand.Float64()*c.Period/4 // guards against a fleet that starts together probing together
	m.exchangeAt = now
	return m
}

// Next is when Tick is due.
func (m *Members) Next() float64 {
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

// begin takes the time. Guards against a node that was stopped and on waking declares all others dead: it
// knows from its own late tick that it was away, and takes that time out of what it judges by.
func (m *Members) begin(now float64) {
	m.out = m.out[:0]
	away := now - m.Next()
	m.now = max(now, m.now)
	if away < max(m.Period/4, m.Timeout) || m.Plain {
		return
	}
	m.probe = nil
	clear(m.helping)
	for _, x := range m.others {
		if s := x.suspicion; s != nil {
			s.since += away
			s.spared += away
		}
	}
	m.heardAt, m.judgedAt = m.now, m.now
	m.roundAt = m.now + m.Period/4
	m.exchangeAt = m.now // what was said meanwhile, of this one too
	m.doubts(1)
}

// Tick does what is due.
func (m *Members) Tick(now float64) []Effect {
	m.begin(now)
	if m.left {
		m.roundAt = math.Inf(1)
		return m.out
	}
	m.help()
	m.askOthers()
	if m.now >= m.roundAt {
		m.round()
	}
	return m.out
}

// Leave tells some members that this one goes; nothing more comes of it.
func (m *Members) Leave(now float64) []Effect {
	m.begin(now)
	if m.left {
		return m.out
	}
	m.left = true
	m.self.State = Left
	m.self.Incarnation++
	for _, x := range m.some(2*m.Helpers+2, nil) {
		m.send(x.Address, &wire.Message{Kind: wire.Message_PING, About: x.Name,
			Updates: []*wire.Update{m.self.update()}})
	}
	m.probe, m.roundAt = nil, math.Inf(1)
	clear(m.helping)
	return m.out
}

// Facts tells the others anew what this member says of itself.
func (m *Members) Facts(now float64, ready bool) {
	if m.now = max(now, m.now); m.self.Ready != ready {
		m.self.Ready = ready
		m.tellSelf()
	}
}

// tellSelf sends what this member says of itself under a new incarnation.
func (m *Members) tellSelf() {
	if m.self.Incarnation == math.MaxUint32 { // somebody said so; a later start goes before any incarnation
		m.self.Start, m.self.Incarnation = m.self.Start+1, 0
	} else {
		m.self.Incarnation++
	}
	m.spread(m.self)
}

func (m *Members) doubts(by int) {
	if !m.Plain {
		m.doubt = min(max(m.doubt+by, 0), mostDoubt)
	}
}
