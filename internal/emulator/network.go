package emulator

import (
	"math/rand/v2"
	"slices"

	"gorseledge/internal/emulator/virtual"
)

// streamState says whether one direction of a connection still carries data.
type streamState uint8

const (
	streamOpen  streamState = iota
	streamEnded             // the sender has ended it in good order
	streamReset             // it was broken off
)

// machine owns the sockets of one simulated process. A vanished machine neither sends nor receives.
type machine struct {
	name     string
	zone     int
	vanished bool
	sockets  map[*socket]bool
}

func newMachine(name string, zone int) *machine {
	return &machine{name: name, zone: zone, sockets: map[*socket]bool{}}
}

// socket is one end of a simulated connection. Bytes arrive in order, after a delay, and possibly in parts.
type socket struct {
	network     *network
	serial      int // order in which sockets were made
	machine     *machine
	peer        *socket
	received    []byte      // arrived and not read yet
	farEnd      streamState // of what the peer sends, after received
	closed      bool        // by this side
	finished    bool        // this side has ended its sending
	lastArrival float64     // time at which the last sent event arrives at the peer
	// queue has what is under way to the peer, in order. It keeps the order where the clock permutes events of the same time.
	queue     []func(to *socket)
	onArrival func() // called after something has arrived; nil for nothing
}

// network connects machines. Times are in seconds.
type network struct {
	virtual.Clock
	random            *rand.Rand
	delayWithinZone   float64 // one way
	delayBetweenZones float64 // one way
	jitter            float64 // share by which a delay grows at most
	bandwidth         float64 // bytes a second of one connection; 0 for no limit
	lastSerial        int     // of the last socket
	connectDelay      float64 // by which connections to hosts are established later, while a fault lasts
	splitChance       float64 // probability that a write arrives in two parts
}

// delay draws the time that something takes from one machine to another.
func (n *network) delay(a, b *machine) float64 {
	delay := n.delayWithinZone
	if a.zone != b.zone {
		delay = n.delayBetweenZones
	}
	return delay * (1 + n.jitter*n.random.Float64())
}

// join returns the two ends of a new connection.
func (n *network) join(a, b *machine) (*socket, *socket) {
	n.lastSerial += 2
	near := &socket{network: n, machine: a, serial: n.lastSerial}
	far := &socket{network: n, machine: b, serial: n.lastSerial + 1}
	near.peer = far
	far.peer = near
	a.sockets[near] = true
	b.sockets[far] = true
	return near, far
}

// arrive schedules an event at the peer. It never comes before what was sent earlier. What a vanished machine sends, or
// is sent, is lost.
func (s *socket) arrive(size int, run func(to *socket)) {
	n := s.network
	when := n.Now + n.delay(s.machine, s.peer.machine)
	if n.bandwidth > 0 {
		when = max(when, s.lastArrival) + float64(size)/n.bandwidth
	}
	s.lastArrival = max(when, s.lastArrival)
	to := s.peer
	s.queue = append(s.queue, run)
	n.At(s.lastArrival, func() {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if to.closed || s.machine.vanished || to.machine.vanished {
			return
		}
		next(to)
		if to.onArrival != nil {
			to.onArrival()
		}
	})
}

// send sends a copy of the data. It has no effect once this side is closed or finished.
func (s *socket) send(data []byte) {
	if s.closed || s.finished || len(data) == 0 {
		return
	}
	cut := len(data)
	if len(data) > 1 && s.network.random.Float64() < s.network.splitChance {
		cut = 1 + s.network.random.IntN(len(data)-1)
	}
	for _, part := range [2][]byte{data[:cut], data[cut:]} {
		if len(part) == 0 {
			continue
		}
		sent := slices.Clone(part)
		s.arrive(len(sent), func(to *socket) { to.received = append(to.received, sent...) })
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

// close ends both directions. A reset, which unread data causes as well, discards what the peer has not read.
func (s *socket) close(reset bool) {
	if s.closed {
		return
	}
	if reset || len(s.received) > 0 {
		s.arrive(0, func(to *socket) {
			to.farEnd = streamReset
			to.received = nil
		})
	} else {
		s.finish()
	}
	s.closed = true
	delete(s.machine.sockets, s)
}

// read moves what has arrived into the buffer and returns the number of bytes.
func (s *socket) read(into []byte) int {
	count := copy(into, s.received)
	s.received = s.received[count:]
	return count
}

// resetAll resets all connections of a machine, oldest first, as the end of a process does.
func (m *machine) resetAll() {
	all := make([]*socket, 0, len(m.sockets))
	for s := range m.sockets {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *socket) int { return a.serial - b.serial })
	for _, s := range all {
		s.close(true)
	}
}
