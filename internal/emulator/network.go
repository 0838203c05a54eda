package emulator

import (
	"math/rand/v2"

	"gorseledge/internal/emulator/virtual"
)

// streamState is how a side of a connection stopped sending.
type streamState uint8

const (
	streamOpen streamState = iota
	streamEnded
	streamReset
)

// machine is where sockets live. One that has vanished says nothing; one whose process died resets.
type machine struct {
	name     string
	zone     int
	vanished bool
	sockets  map[*socket]bool
}

func newMachine(name string, zone int) *machine {
	return &machine{name: name, zone: zone, sockets: map[*socket]bool{}}
}

// socket is one end of a modelled connection: bytes arrive in order, in pieces, after a delay.
type socket struct {
	net         *network
	serial      int
	machine     *machine
	peer        *socket
	received    []byte      // arrived, not read yet
	farEnd      streamState // of the far side, after what is in in
	closed      bool        // by this side
	finished    bool        // this side has ended its sending
	lastArrival float64
	queue       []func(to *socket) // on its way, in order: also where events of one instant are permuted
	onArrival   func()             // something arrived
}

// network joins machines. Its figures are seconds and bytes a second.
type network struct {
	virtual.Clock
	random                             *rand.Rand
	delayWithinZone, delayBetweenZones float64 // one way within a zone, and between zones
	jitter                             float64 // share of the delay
	bandwidth                          float64 // of one connection; 0 for no limit
	lastSerial                         int
	connectDelay                       float64 // by which connections come up late now
	splitChance                        float64 // chance that what is written arrives in two pieces
}

func (n *network) delay(a, b *machine) float64 {
	d := n.delayWithinZone
	if a.zone != b.zone {
		d = n.delayBetweenZones
	}
	return d * (1 + n.jitter*n.random.Float64())
}

// join gives the two ends of a new connection.
func (n *network) join(a, b *machine) (*socket, *socket) {
	n.lastSerial += 2
	x, y := &socket{net: n, machine: a, serial: n.lastSerial}, &socket{net: n, machine: b, serial: n.lastSerial + 1}
	x.peer, y.peer = y, x
	a.sockets[x], b.sockets[y] = true, true
	return x, y
}

// arrive has something happen at the far end in its turn: never before what was sent earlier.
func (s *socket) arrive(size int, run func(to *socket)) {
	n := s.net
	when := n.Now + n.delay(s.machine, s.peer.machine)
	if n.bandwidth > 0 {
		when = max(when, s.lastArrival) + float64(size)/n.bandwidth
	}
	s.lastArrival = max(when, s.lastArrival)
	to := s.peer
	s.queue = append(s.queue, run)
	n.At(s.lastArrival, func() {
		run := s.queue[0]
		s.queue = s.queue[1:]
		if to.closed || s.machine.vanished || to.machine.vanished {
			return // what a vanished machine sent, or was sent, is lost without a word
		}
		run(to)
		if to.onArrival != nil {
			to.onArrival()
		}
	})
}

// send writes bytes; they are copied.
func (s *socket) send(data []byte) {
	if s.closed || s.finished || len(data) == 0 {
		return
	}
	cut := len(data)
	if len(data) > 1 && s.net.random.Float64() < s.net.splitChance {
		cut = 1 + s.net.random.IntN(len(data)-1)
	}
	for _, part := range [2][]byte{data[:cut], data[cut:]} {
		if len(part) > 0 {
			part = append([]byte(nil), part...)
			s.arrive(len(part), func(to *socket) { to.received = append(to.received, part...) })
		}
	}
}

// finish ends this side's sending in good order.
func (s *socket) finish() {
	if s.closed || s.finished {
		return
	}
	s.finished = true
	s.arrive(0, func(to *socket) {
		if to.farEnd == streamOpen {
			to.farEnd = streamEnded
		}
	})
}

// close ends both directions; broken off, what was under way is lost.
func (s *socket) close(broken bool) {
	if s.closed {
		return
	}
	if broken || len(s.received) > 0 {
		s.arrive(0, func(to *socket) { to.farEnd, to.received = streamReset, nil })
	} else {
		s.finish()
	}
	s.closed = true
	delete(s.machine.sockets, s)
}

// read takes up to len(into) bytes that have arrived.
func (s *socket) read(into []byte) int {
	n := copy(into, s.received)
	s.received = s.received[n:]
	return n
}

// resetAll breaks all of a machine's connections, as the end of a process does.
func (m *machine) resetAll(order func([]*socket)) {
	all := make([]*socket, 0, len(m.sockets))
	for s := range m.sockets {
		all = append(all, s)
	}
	order(all) // a map has no order, a trace must have one
	for _, s := range all {
		s.close(true)
	}
}
