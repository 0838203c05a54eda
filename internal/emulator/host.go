package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"

	"gorseledge/internal/line"
)

// hostState is the true state of a host. It is in the endpoint list only after the list's delay.
type hostState uint8

const (
	serving hostState = iota
	draining
	removed
)

// Constants of the load model of a simulated host.
const (
	overloadUtilization  = 1.2  // utilization above which a host is overloaded
	overloadTolerance    = 2.0  // seconds of overload after which a host drops connections
	dropDivisor          = 10   // one connection out of this many is dropped then
	migrationDivisor     = 40   // a draining host migrates one connection out of this many at each tick
	queueingUtilization  = 0.9  // utilization from which messages queue
	responseTime         = 1e-3 // seconds to answer a message at an idle host
	queueingTime         = 1e-2 // seconds to answer a message when messages begin to queue
	queueingSlope        = 2.0  // additional seconds for each unit of utilization above queueingUtilization
	announcedDelayFloor  = 0.01 // seconds; changes between delays below this are not announced
	announcedDelayChange = 0.2  // relative change from which a delay is announced
	maxAnnouncedDelay    = 900  // milliseconds
)

// host is a simulated server of long-lived connections. It sets up connections and answers messages. Its answers become
// slow under overload, and it drops connections if the overload lasts. Times are in seconds, loads in cores.
type host struct {
	*machine
	sim          *simulation
	random       *rand.Rand
	capacity     float64
	startedAt    float64 // 0 if it started before the run
	state        hostState
	withdrawnAt  float64 // time at which the endpoint list first had it as draining or deleted; 0 if it does not
	running      bool
	stalled      bool    // it accepts connections but does not respond
	slowdown     float64 // factor by which its work takes longer; 1 for none
	errorShare   float64 // share of set-ups that fail
	load         float64 // load of established connections
	pending      float64 // load of set-ups in progress
	sessions     map[*session]bool
	sessionOrder []*session // in the order in which they were established; some may have ended

	slowStartOverloadSince float64 // time since which the load is too high for the slow start; 0 if it is not
	overloadedSince        float64 // time since which it is overloaded; 0 if it is not
	announcedDelay         float64 // delay that was last announced to its connections
	informedAttempts       int     // attempts since its start from nodes that knew of the start
	uninformedAttempts     int     // attempts since its start from other nodes
	healthChecks           int
}

// slowStartWeight returns the share of its full capacity that the host has at present.
func (h *host) slowStartWeight() float64 {
	fleet := h.sim.script.Fleet
	if h.startedAt <= 0 || fleet.SlowStartTime <= 0 {
		return 1
	}
	return min(1, fleet.SlowStartFrom+(1-fleet.SlowStartFrom)*(h.sim.Now-h.startedAt)/fleet.SlowStartTime)
}

// utilization returns the load of established connections divided by the present capacity, scaled by the slowdown.
func (h *host) utilization() float64 { return h.load * h.slowdown / (h.capacity * h.slowStartWeight()) }

// delay returns the seconds that the host takes to answer a message at present.
func (h *host) delay() float64 {
	utilization := h.utilization()
	if utilization < queueingUtilization {
		return responseTime * h.slowdown / (1 - utilization)
	}
	return queueingTime*h.slowdown + queueingSlope*(utilization-queueingUtilization)
}

// accept accepts a connection from a node.
func (h *host) accept(s *socket) {
	c := &session{host: h, socket: s}
	s.onArrival = func() { c.receive() }
}

// maintain runs the host's periodic tasks: it fails or drops connections under overload, announces its delay, and migrates
// connections while it drains.
func (h *host) maintain() {
	if !h.running {
		return
	}
	h.removeEndedSessions()
	if h.failsInSlowStart() {
		h.sim.checker.checkSlowStartFailure(h)
		h.crash()
		return
	}
	h.dropUnderOverload()
	h.announceDelay()
	if h.state == draining {
		h.migrateSessions()
	}
}

// removeEndedSessions removes ended sessions from sessionOrder.
func (h *host) removeEndedSessions() {
	open := h.sessionOrder[:0]
	for _, c := range h.sessionOrder {
		if h.sessions[c] {
			open = append(open, c)
		}
	}
	h.sessionOrder = open
}

// failsInSlowStart reports whether the load, pending set-ups included, has exceeded the limit of the script's rules for a
// host in slow start for as long as those rules allow.
func (h *host) failsInSlowStart() bool {
	rules := h.sim.script.Rules
	weight := h.slowStartWeight()
	overloaded := weight < 1 && h.load+h.pending > rules.FallMultiple*h.capacity*weight
	if !overloaded {
		h.slowStartOverloadSince = 0
		return false
	}
	if h.slowStartOverloadSince == 0 {
		h.slowStartOverloadSince = h.sim.Now
		return false
	}
	return h.sim.Now-h.slowStartOverloadSince >= rules.FallTime
}

// dropUnderOverload resets randomly selected connections each time an overload has lasted longer than overloadTolerance.
func (h *host) dropUnderOverload() {
	now := h.sim.Now
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

// announceDelay sends the present delay over all connections if it differs enough from the one announced last.
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

// crash ends the host's process, which resets its connections.
func (h *host) crash() {
	h.running = false
	h.machine.resetAll()
	h.clear()
}

// start starts a new process of the host, in slow start.
func (h *host) start() {
	h.running = true
	h.vanished = false
	h.stalled = false
	h.state = serving
	h.startedAt = h.sim.Now
	h.slowdown = 1
	h.errorShare = 0
	h.slowStartOverloadSince = 0
	h.overloadedSince = 0
	h.announcedDelay = 0
	h.clear()
}

// clear discards the sessions, the loads and the counts of attempts of the host's last process.
func (h *host) clear() {
	h.informedAttempts = 0
	h.uninformedAttempts = 0
	h.sessions = map[*session]bool{}
	h.sessionOrder = nil
	h.load = 0
	h.pending = 0
}
