package emulator

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"

	"gorseledge/internal/line"
)

// hostState of a host as it is, which the roster tells later.
type hostState uint8

const (
	serving hostState = iota
	draining
	removed
)

// host is a stand-in stream box: it sets connections up, answers lines, slows down when it is asked for too
// much and drops connections when that goes on.
type host struct {
	*machine
	world              *simulation
	random             *rand.Rand
	index              int
	capacity           float64
	startedAt          float64 // when it started; 0 for long ago
	state              hostState
	withdrawnAt        float64 // when discovery could first tell that it drains or is gone; 0 for not
	running            bool
	stalled            bool
	slowdown           float64 // by what its work takes longer; 1 for sound
	errorShare         float64 // share of set-ups that err
	load               float64
	pending            float64 // load of the set-ups that are under way
	sessions           map[*session]bool
	sessionOrder       []*session // of held, in the order in which they came; some have ended
	coldOverloadSince  float64    // since when it is asked for more than a cold host bears; 0 for not
	overloadedSince    float64
	announcedDelay     float64 // the delay that its connections were told last
	informedAttempts   int     // connects since its start from nodes that had been told of it
	uninformedAttempts int     // and from others
	healthChecks       int
	connects           int
}

// session is one connection that a host serves, or is asked to.
type session struct {
	*host
	socket      *socket
	received    []byte
	id          string
	load        float64
	established bool
	settingUp   bool // its load counts among the pending
	closed      bool
}

// slowStartWeight is the share of its capacity that it has by now.
func (h *host) slowStartWeight() float64 {
	f := h.world.script.Fleet
	if h.startedAt <= 0 || f.SlowStartTime <= 0 {
		return 1
	}
	return min(1, f.SlowStartFrom+(1-f.SlowStartFrom)*(h.world.Now-h.startedAt)/f.SlowStartTime)
}

// utilization is the load asked over what it can do now.
func (h *host) utilization() float64 { return h.load * h.slowdown / (h.capacity * h.slowStartWeight()) }

// delay is how long a line takes here now.
func (h *host) delay() float64 {
	u := h.utilization()
	if u < 0.9 {
		return 1e-3 * h.slowdown / (1 - u)
	}
	return 1e-2*h.slowdown + 2*(u-0.9) // what piles up within a second or so
}

func (h *host) accept(s *socket) {
	c := &session{host: h, socket: s}
	s.onArrival = func() { c.receive() }
}

// receive takes what arrived.
func (c *session) receive() {
	if c.closed || !c.running {
		return
	}
	c.received, c.socket.received = append(c.received, c.socket.received...), c.socket.received[:0]
	for !c.closed && !c.stalled {
		row, rest, whole := bytes.Cut(c.received, []byte("\n"))
		if !whole {
			break
		}
		row = append([]byte(nil), row...)
		c.received = rest
		c.said(row)
	}
	if c.socket.farEnd != streamOpen && !c.closed {
		c.close()
	}
}

func (c *session) said(row []byte) {
	word, _ := line.Split(row)
	switch {
	case word == line.Ping && !c.established:
		c.healthChecks++
		c.after(c.delay(), func() { c.socket.send([]byte(line.PongLine)) })
	case word == line.Open && c.id == "":
		c.open(row)
	case c.established:
		c.after(c.delay(), func() { c.socket.send(append(row, '\n')) })
	default:
		c.send("SYNTAX\r\n")
		c.close()
	}
}

// after runs something for this session, unless it is over by then.
func (c *session) after(seconds float64, run func()) {
	since := c.startedAt
	c.world.After(seconds, func() {
		if !c.closed && c.running && !c.stalled && c.startedAt == since {
			run()
		}
	})
}

func (c *session) send(text string) { c.socket.send([]byte(text)) }

// open sets a connection up: a call to the session store, and its share of this host.
func (c *session) open(row []byte) {
	o, err := line.ParseOpening(append(row, '\n'))
	c.id = o.ID
	c.connects++
	f := c.world.flowByID(o.ID)
	if err != nil || f == nil {
		c.send("SYNTAX\r\n")
		c.close()
		return
	}
	c.world.checker.checkArrival(f, c.host)
	if c.state == draining {
		c.send("BUSY\r\n")
		c.close()
		return
	}
	c.load, c.settingUp = f.load, true
	c.host.pending += c.load
	took, stored := c.world.store.call()
	c.after(c.delay()+took, func() {
		if !stored || c.random.Float64() < c.errorShare {
			c.world.checker.checkSetup(f, c.host)
			c.send("ERR\r\n")
			c.close()
			return
		}
		c.world.checker.checkSetup(f, c.host)
		c.finishSetup()
		c.established = true
		c.host.load += c.load
		c.sessions[c] = true
		c.sessionOrder = append(c.sessionOrder, c)
		c.send("UP " + c.id + "\r\n")
		c.send("LOAD " + strconv.FormatFloat(1e6*c.load, 'f', 3, 64) + "\r\n")
		c.after(f.lifetime, func() { c.send("BYE\r\n"); c.close() })
	})
}

// finishSetup ends the time in which a set-up is under way.
func (c *session) finishSetup() {
	if c.settingUp {
		c.settingUp = false
		c.host.pending = max(c.host.pending-c.load, 0)
	}
}

// close lets a session go from this side, in good order.
func (c *session) close() { c.disconnect(false) }

func (c *session) disconnect(broken bool) {
	if c.closed {
		return
	}
	c.closed = true
	c.finishSetup()
	if c.established {
		c.host.load = max(c.host.load-c.load, 0)
		delete(c.sessions, c)
	}
	c.socket.close(broken)
}

// maintain is a host's housekeeping: what it is asked for too long it drops, what waits it tells.
func (h *host) maintain() {
	if !h.running {
		return
	}
	rules := h.world.script.Rules
	now := h.world.Now
	live := h.sessionOrder[:0]
	for _, c := range h.sessionOrder {
		if h.sessions[c] {
			live = append(live, c)
		}
	}
	h.sessionOrder = live
	if warm := h.slowStartWeight(); warm < 1 && h.load+h.pending > rules.FallMultiple*h.capacity*warm {
		if h.coldOverloadSince == 0 {
			h.coldOverloadSince = now
		} else if now-h.coldOverloadSince >= rules.FallTime {
			h.world.checker.checkOverturned(h)
			h.crash()
			return
		}
	} else {
		h.coldOverloadSince = 0
	}
	if h.utilization() > 1.2 {
		if h.overloadedSince == 0 {
			h.overloadedSince = now
		}
	} else {
		h.overloadedSince = 0
	}
	if h.overloadedSince > 0 && now-h.overloadedSince > 2 { // it sheds a tenth, at random
		h.overloadedSince = now
		for range 1 + len(h.sessionOrder)/10 {
			if c := h.sessionOrder[h.random.IntN(len(h.sessionOrder))]; !c.closed {
				c.disconnect(true)
			}
		}
	}
	if d := h.delay(); !h.stalled && (d > 0.01 || h.announcedDelay > 0.01) && math.Abs(d-h.announcedDelay) > 0.2*h.announcedDelay {
		h.announcedDelay = d
		for _, c := range h.sessionOrder {
			if !c.closed {
				c.send(fmt.Sprintf("LOAD %.3f\r\n", min(1e3*d, 900)))
			}
		}
	}
	if h.state == draining && len(h.sessionOrder) > 0 { // bit by bit
		for range 1 + len(h.sessionOrder)/40 {
			if c := h.sessionOrder[0]; !c.closed {
				c.send(line.MoveLine)
				c.close()
			}
			if h.sessionOrder = h.sessionOrder[1:]; len(h.sessionOrder) == 0 {
				break
			}
		}
	}
}

// crash ends the process: its connections are reset.
func (h *host) crash() {
	h.running = false
	h.machine.resetAll(bySerial)
	h.informedAttempts, h.uninformedAttempts = 0, 0
	h.sessions, h.sessionOrder, h.load, h.pending = map[*session]bool{}, nil, 0, 0
}

// start runs it anew, cold.
func (h *host) start() {
	h.running, h.vanished, h.stalled, h.state = true, false, false, serving
	h.startedAt, h.slowdown, h.errorShare, h.coldOverloadSince, h.overloadedSince, h.announcedDelay = h.world.Now, 1, 0, 0, 0, 0
	h.informedAttempts, h.uninformedAttempts = 0, 0
	h.sessions, h.sessionOrder, h.load, h.pending = map[*session]bool{}, nil, 0, 0
}

// sessionStore is the session store: each set-up is a call, and too many in a second fail.
type sessionStore struct {
	world     *simulation
	callLimit float64 // calls a second; 0 for any number
	second    float64
	calls     float64 // in it
	peak      float64
	rejected  int
}

func (s *sessionStore) call() (took float64, ok bool) {
	if sec := math.Floor(s.world.Now); sec != s.second {
		s.second, s.calls = sec, 0
	}
	s.calls++
	s.peak = max(s.peak, s.calls)
	if s.callLimit > 0 && s.calls > s.callLimit {
		s.rejected++
		return 0.05, false
	}
	return 2e-3, true
}
