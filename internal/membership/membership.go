package membership

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gorseledge/internal/membership/wire"
)

const (
	suspicionPeriods = 4.0  // periods to answer at the least, times the logarithm of the fleet's size (SWIM, section 4.2)
	suspicionSpread  = 6.0  // longest over shortest (Lifeguard, section IV.B)
	accusers         = 3    // beside the first, that shorten a suspicion to its least (Lifeguard)
	mostDoubt        = 8    // of a node in itself (Lifeguard, section IV.A)
	verifiers        = 10   // nodes that ask for themselves when they hear a suspicion
	mostBad          = 4    // bad links that a member tells of
	exchangePeriods  = 8    // between two exchanges of the whole state
	mostPieces       = 32   // messages of one exchange, and of all in a period
	spreadFactor     = 4.0  // times that news goes out, times the logarithm of the fleet's size
	deafPeriods      = 3.0  // without a message from anybody
	deafSlowing      = 0.97 // part of the time that does not count while deaf: a last survivor needs minutes to judge
	accusedPeriods   = 4.0  // after this node heard that it is held for suspect or dead itself
	newsPeriods      = 30.0 // that news goes out at the most; what it did not reach comes with an exchange
	mostMembers      = 1 << 14
	factsPeriods     = 5 // between two incarnations for new bad links
)

// Config is what a member is told at its start. Times are seconds.
type Config struct {
	Self    Member   // Name, Start, Address and facts
	Join    []string // addresses of some members
	Seed    uint64
	Period  float64 // between two probes
	Timeout float64 // for the answer to a probe; a third of the period at the most
	Helpers int     // members that are asked to probe one that did not answer
	Most    int     // bytes of a message
	Plain   bool    // SWIM alone, to measure what Lifeguard's parts bring
}

// Effect is one thing to do or to know.
type Effect interface{ effect() }

// What Tick and Receive give.
type (
	// Send is a message to an address.
	Send struct {
		To      string
		Message *wire.Message
	}
	// Changed tells that a member is new or has another state here than it had.
	Changed struct {
		Member
		New bool
		Was State
		By  string // of a suspicion: who said so first
	}
	// Replaced tells that a newer process goes by this one's name at another address: this one is to leave.
	Replaced struct{ By Member }
)

func (Send) effect()     {}
func (Changed) effect()  {}
func (Replaced) effect() {}

// news is an update that still goes out, and how often it did.
type news struct {
	name string
	sent int
	at   float64
}

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

// turn puts a member into a state.
func (m *Members) turn(x *member, to State) {
	was := x.State
	if to != Suspect && x.suspicion != nil {
		x.suspicion = nil
		m.suspected--
	}
	if was == to {
		return
	}
	if was.gone() != to.gone() {
		if to.gone() {
			m.living--
		} else {
			m.living++
		}
	}
	x.State, x.Since = to, m.now
	by := ""
	if to == Suspect && x.suspicion != nil {
		by = x.suspicion.last
	}
	m.out = append(m.out, Changed{Member: x.Member, Was: was, By: by})
}

// add takes a member that was not known.
func (m *Members) add(u *wire.Update) *member {
	x := &member{Member: Member{Name: u.Name, State: Alive, Since: m.now}}
	x.facts(u)
	if s := State(min(u.State, uint32(Left))); s.gone() {
		x.State = s
	} else {
		m.living++
	}
	m.byName[u.Name] = x
	at := m.rand.IntN(len(m.others) + 1) // a random place in the round, so that nobody is passed over for long
	m.others = slices.Insert(m.others, at, x)
	if at < m.next {
		m.next++
	}
	m.out = append(m.out, Changed{Member: x.Member, New: true})
	return x
}

// merge takes what another knows of a member.
func (m *Members) merge(u *wire.Update, from string) {
	if u.Name == "" || len(u.Name) > 64 || len(u.Address) > 64 || len(u.Zone) > 64 || len(u.Build) > 64 {
		return
	}
	if u.Name == m.self.Name {
		m.aboutSelf(u)
		return
	}
	said := State(min(u.State, uint32(Left)))
	x := m.byName[u.Name]
	if x == nil {
		if len(m.byName) >= mostMembers {
			return
		}
		x = m.add(u)
		m.spread(x)
		if said == Suspect {
			m.suspect(x, cmp.Or(u.By, from), false)
		}
		return
	}
	order := newer(u.Start, u.Incarnation, &x.Member)
	if order < 0 {
		return
	}
	if order > 0 {
		x.facts(u)
		m.turn(x, Alive)
		m.spread(x)
	}
	switch {
	case said == Alive:
	case said == Left && from == x.Name:
		if !x.State.gone() {
			m.turn(x, Left)
			m.spread(x)
		}
	default: // also a death: who tells of one is one more accuser, and no more. Guards against a liar
		m.suspect(x, cmp.Or(u.By, from), said == Left)
	}
}

// aboutSelf takes what others say of this one.
func (m *Members) aboutSelf(u *wire.Update) {
	said := State(min(u.State, uint32(Left)))
	if u.Start == m.self.Start && (said == Suspect || said == Dead) { // also of old: they may not hear the answer
		m.accusedAt = m.now
	}
	switch order := newer(u.Start, u.Incarnation, &m.self.Member); {
	case m.left || order < 0:
	case u.Start > m.self.Start && u.Address != m.self.Address && said == Alive:
		m.left = true
		m.out = append(m.out, Replaced{Member{Name: u.Name, Start: u.Start, Address: u.Address, Zone: u.Zone}})
	case u.Start > m.self.Start: // an earlier process of this machine, whose clock was ahead
		m.self.Start, m.self.Incarnation = u.Start, u.Incarnation
		m.tellSelf()
	case order > 0 || said != Alive:
		m.self.Incarnation = u.Incarnation
		m.tellSelf()
		if said == Suspect || said == Dead {
			m.doubts(1) // it was slow to answer
		}
	}
}

func (m *Members) doubts(by int) {
	if !m.Plain {
		m.doubt = min(max(m.doubt+by, 0), mostDoubt)
	}
}

// spread has the state of a member go out with the next messages.
func (m *Members) spread(x *member) {
	m.news = slices.DeleteFunc(m.news, func(n news) bool { return n.name == x.Name })
	m.news = append(m.news, news{name: x.Name, at: m.now})
}

// known gives a member by its name, this one included.
func (m *Members) known(name string) *member {
	if name == m.self.Name {
		return m.self
	}
	return m.byName[name]
}

// Self is this member as it tells of itself.
func (m *Members) Self() Member { return m.self.Member }

// Doubt is this node's doubt of itself, 0 to 8: its times are that many times longer, plus one.
func (m *Members) Doubt() int { return m.doubt }

// Living is how many members live or are only suspected, this one included.
func (m *Members) Living() int { return m.living }

// News is how many members this one still tells others of, with messages that it sends anyway.
func (m *Members) News() int { return len(m.news) }

// Member gives a member by its name, this one included; false where it is not known.
func (m *Members) Member(name string) (Member, bool) {
	if x := m.known(name); x != nil {
		return x.Member, true
	}
	return Member{}, false
}

// All gives every member that is known, this one included, by name.
func (m *Members) All() []Member {
	all := []Member{m.self.Member}
	for _, x := range m.others {
		all = append(all, x.Member)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Digest is the same at two nodes that know the same of the same members.
func (m *Members) Digest() uint64 { return m.hash() }

// hash is the same at two nodes that know the same of the same members.
func (m *Members) hash() (sum uint64) {
	var buf []byte
	add := func(x *member) {
		gone := byte(0)
		if x.State.gone() {
			gone = 1
		}
		buf = append(append(buf[:0], x.Name...), gone)
		buf = binary.LittleEndian.AppendUint64(buf, x.Start)
		buf = binary.LittleEndian.AppendUint32(buf, x.Incarnation)
		sum ^= xxhash.Sum64(buf)
	}
	add(m.self)
	for _, x := range m.others {
		add(x)
	}
	return sum
}
