package emulator

import (
	"math/rand/v2"
	"slices"

	"gorseledge/internal/emulator/virtual"
)

// streamState is the state of one direction of a connection.
type streamState uint8

const (
	streamOpen  streamState = iota
	streamEnded             // ended by its sender after all data
	streamReset             // reset; data may be lost
)

// machine owns the sockets of one simulated process. A vanished machine cannot send or receive.
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
	network      *network
	serial       int // position in the order in which sockets were created
	machine      *machine
	peer         *socket
	received     []byte      // bytes that have arrived and are not read yet
	receiveState streamState // state of the direction from the peer, after the bytes in received
	closed       bool        // closed by this end
	finished     bool        // this end sends nothing more
	lastArrival  float64     // time at which the event that was sent last arrives at the peer
	// queue has the events in flight to the peer, in the order in which they were sent. Each arrival takes the first of them,
	// so the order is kept even if the clock permutes events that are due at the same time.
	queue     []func(to *socket)
	onArrival func() // called after each arrival; may be nil
}

// network connects the machines of a simulation. Times are in seconds.
type network struct {
	virtual.Clock
	random            *rand.Rand
	delayWithinZone   float64 // one-way
	delayBetweenZones float64 // one-way
	jitter            float64 // largest relative increase of a delay
	bandwidth         float64 // bytes a second in each direction of a connection; 0 for no limit
	lastSerial        int     // serial of the socket that was created last
	connectDelay      float64 // additional time of dials to hosts while a fault lasts
	splitChance       float64 // probability that a write arrives in two parts
}

// delay returns a random one-way delay between two machines.
func (n *network) delay(a, b *machine) float64 {
	delay := n.delayWithinZone
	if a.zone != b.zone {
		delay = n.delayBetweenZones
	}
	return delay * (1 + n.jitter*n.random.Float64())
}

// join creates a connection between two machines and returns its ends.
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

// arrive schedules an event at the peer, after all events that were sent earlier. The event is lost if one of the machines
// has vanished by then, and ignored if the peer is closed.
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

// send sends a copy of the data. It has no effect after close or finish.
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

// finish ends the direction to the peer after the data that was sent. The other direction stays open.
func (s *socket) finish() {
	if s.closed || s.finished {
		return
	}
	s.finished = true
	s.arrive(0, func(to *socket) {
		if to.receiveState == streamOpen {
			to.receiveState = streamEnded
		}
	})
}

// close ends both directions, gracefully or by a reset. Unread data causes a reset too. A reset discards the data that the
// peer has not read.
func (s *socket) close(reset bool) {
	if s.closed {
		return
	}
	if reset || len(s.received) > 0 {
		s.arrive(0, func(to *socket) {
			to.receiveState = streamReset
			to.received = nil
		})
	} else {
		s.finish()
	}
	s.closed = true
	delete(s.machine.sockets, s)
}

// read moves bytes that have arrived into the buffer and returns their number.
func (s *socket) read(into []byte) int {
	count := copy(into, s.received)
	s.received = s.received[count:]
	return count
}

// resetAll resets all connections of a machine, oldest first, as an operating system does when a process ends.
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
