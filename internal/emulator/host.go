package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"

	"gorseledge/internal/line"
)

// hostState is the true state of a host. The endpoint list has it later.
type hostState uint8

const (
	serving hostState = iota
	draining
	removed
)

// Figures of a simulated host.
const (
	overloadUtilization  = 1.2  // utilization above which a host is overloaded
	overloadTolerance    = 2.0  // seconds of overload after which a host drops connections
	dropDivisor          = 10   // it then drops one connection in so many
	migrationDivisor     = 40   // a draining host migrates one connection in so many at each tick
	queueingUtilization  = 0.9  // utilization from which on work piles up
	responseTime         = 1e-3 // seconds of one message at an idle host
	queueingTime         = 1e-2 // seconds of one message where work begins to pile up
	queueingSlope        = 2.0  // further seconds for each unit of utilization above that
	announcedDelayFloor  = 0.01 // seconds; a change between delays below it is not announced
	announcedDelayChange = 0.2  // share by which a delay has to change to be announced
	maxAnnouncedDelay    = 900  // milliseconds
)

// host is a simulated server of long-lived connections. It sets connections up and answers messages, becomes slow when
// it is overloaded, and drops connections when that lasts. Times are in seconds, loads in cores.
type host struct {
	*machine
	world        *simulation
	random       *rand.Rand
	capacity     float64
	startedAt    float64 // 0 for long ago
	state        hostState
	withdrawnAt  float64 // when discovery could first deliver that it drains or is removed; 0 for not
	running      bool
	stalled      bool    // it accepts connections and does not respond
	slowdown     float64 // factor on the time of its work; 1 for none
	errorShare   float64 // share of its set-ups that fail
	load         float64 // of established connections
	pending      float64 // of set-ups under way
	sessions     map[*session]bool
	sessionOrder []*session // in the order in which they were established; some have ended

	coldOverloadSince  float64 // since when it has more load than it can take in slow start; 0 for not
	overloadedSince    float64 // since when it is overloaded; 0 for not
	announcedDelay     float64 // that its connections were sent last
	informedAttempts   int     // attempts since its start from nodes that knew of the start
	uninformedAttempts int     // attempts since its start from other nodes
	healthChecks       int
}

// slowStartWeight returns the share of its capacity that the host has now.
func (h *host) slowStartWeight() float64 {
	fleet := h.world.script.Fleet
	if h.startedAt <= 0 || fleet.SlowStartTime <= 0 {
		return 1
	}
	return min(1, fleet.SlowStartFrom+(1-fleet.SlowStartFrom)*(h.world.Now-h.startedAt)/fleet.SlowStartTime)
}

// utilization returns the load of established connections over the capacity that the host has now.
func (h *host) utilization() float64 { return h.load * h.slowdown / (h.capacity * h.slowStartWeight()) }

// delay returns the seconds that a message takes at the host now.
func (h *host) delay() float64 {
	utilization := h.utilization()
	if utilization < queueingUtilization {
		return responseTime * h.slowdown / (1 - utilization)
	}
	return queueingTime*h.slowdown + queueingSlope*(utilization-queueingUtilization)
}

// accept takes a connection of a node.
func (h *host) accept(s *socket) {
	c := &session{host: h, socket: s}
	s.onArrival = func() { c.receive() }
}

// maintain does the housekeeping of the host: it fails or drops connections under overload, announces its delay, and
// migrates connections while it drains.
func (h *host) maintain() {
	if !h.running {
		return
	}
	h.forgetEndedSessions()
	if h.failsInSlowStart() {
		h.world.checker.checkOverturned(h)
		h.crash()
		return
	}
	h.dropUnderOverload()
	h.announceDelay()
	if h.state == draining {
		h.migrateSessions()
	}
}

// forgetEndedSessions removes ended sessions from the order.
func (h *host) forgetEndedSessions() {
	open := h.sessionOrder[:0]
	for _, c := range h.sessionOrder {
		if h.sessions[c] {
			open = append(open, c)
		}
	}
	h.sessionOrder = open
}

// failsInSlowStart reports whether the host has had too much load for its slow start for too long.
func (h *host) failsInSlowStart() bool {
	rules := h.world.script.Rules
	weight := h.slowStartWeight()
	overloaded := weight < 1 && h.load+h.pending > rules.FallMultiple*h.capacity*weight
	if !overloaded {
		h.coldOverloadSince = 0
		return false
	}
	if h.coldOverloadSince == 0 {
		h.coldOverloadSince = h.world.Now
		return false
	}
	return h.world.Now-h.coldOverloadSince >= rules.FallTime
}

// dropUnderOverload resets some connections, drawn at random, each time an overload has lasted too long.
func (h *host) dropUnderOverload() {
	now := h.world.Now
	if h.utilization() <= overloadUtilization {
		h.overloadedSince = 0
		return
	}
	if h.overloadedSince == 0 {
		h.overloadedSince = now
	}
	if h.overloadedSince == 0 || now-h.overloadedSince <= overloadTolerance {
		return
	}
	h.overloadedSince = now
	for range 1 + len(h.sessionOrder)/dropDivisor {
		c := h.sessionOrder[h.random.IntN(len(h.sessionOrder))]
		if !c.closed {
			c.disconnect(true)
		}
	}
}

// announceDelay sends the present delay to all connections if it has changed enough.
func (h *host) announceDelay() {
	delay := h.delay()
	noticeable := delay > announcedDelayFloor || h.announcedDelay > announcedDelayFloor
	changed := math.Abs(delay-h.announcedDelay) > announcedDelayChange*h.announcedDelay
	if h.stalled || !noticeable || !changed {
		return
	}
	h.announcedDelay = delay
	for _, c := range h.sessionOrder {
		if !c.closed {
			c.send(fmt.Sprintf(delayLineFormat, min(millisecondsPerSecond*delay, maxAnnouncedDelay)))
		}
	}
}

// migrateSessions asks the clients of some of the oldest connections to migrate.
func (h *host) migrateSessions() {
	if len(h.sessionOrder) == 0 {
		return
	}
	for range 1 + len(h.sessionOrder)/migrationDivisor {
		c := h.sessionOrder[0]
		if !c.closed {
			c.send(line.MoveLine)
			c.close()
		}
		h.sessionOrder = h.sessionOrder[1:]
		if len(h.sessionOrder) == 0 {
			return
		}
	}
}

// crash ends the host's process and resets its connections.
func (h *host) crash() {
	h.running = false
	h.machine.resetAll()
	h.clear()
}

// start starts the host's process anew, in slow start.
func (h *host) start() {
	h.running = true
	h.vanished = false
	h.stalled = false
	h.state = serving
	h.startedAt = h.world.Now
	h.slowdown = 1
	h.errorShare = 0
	h.coldOverloadSince = 0
	h.overloadedSince = 0
	h.announcedDelay = 0
	h.clear()
}

// clear forgets the connections of the process and the attempts that it got.
func (h *host) clear() {
	h.informedAttempts = 0
	h.uninformedAttempts = 0
	h.sessions = map[*session]bool{}
	h.sessionOrder = nil
	h.load = 0
	h.pending = 0
}
