package emulator

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"

	"gorseledge/internal/line"
)

// state of a host as it is, which the roster tells later.
type state uint8

const (
	serving state = iota
	draining
	gone
)

// host is a stand-in stream box: it sets connections up, answers lines, slows down when it is asked for too
// much and drops connections when that goes on.
type host struct {
	*machine
	w        *World
	chance   *rand.Rand
	index    int
	capacity float64
	since    float64 // when it started; 0 for long ago
	state    state
	leftAt   float64 // when discovery could first tell that it drains or is gone; 0 for not
	running  bool
	stalled  bool
	slow     float64 // by what its work takes longer; 1 for sound
	errs     float64 // share of set-ups that err
	load     float64
	pending  float64 // load of the set-ups that are under way
	held     map[*session]bool
	order    []*session // of held, in the order in which they came; some have ended
	overAt   float64    // since when it is asked for more than a cold host bears; 0 for not
	jamAt    float64
	told     float64 // the delay that its connections were told last
	aware    int     // connects since its start from nodes that had been told of it
	unaware  int     // and from others
	probes   int
	connects int
}

// session is one connection that a host serves, or is asked to.
type session struct {
	*host
	s     *socket
	text  []byte
	id    string
	load  float64
	up    bool
	asked bool // its load counts among the pending
	over  bool
}

// warmth is the share of its capacity that it has by now.
func (h *host) warmth() float64 {
	f := h.w.script.Fleet
	if h.since <= 0 || f.ColdFor <= 0 {
		return 1
	}
	return min(1, f.ColdFrom+(1-f.ColdFrom)*(h.w.Now-h.since)/f.ColdFor)
}

// use is the load asked over what it can do now.
func (h *host) use() float64 { return h.load * h.slow / (h.capacity * h.warmth()) }

// delay is how long a line takes here now.
func (h *host) delay() float64 {
	u := h.use()
	if u < 0.9 {
		return 1e-3 * h.slow / (1 - u)
	}
	return 1e-2*h.slow + 2*(u-0.9) // what piles up within a second or so
}

func (h *host) accept(s *socket) {
	c := &session{host: h, s: s}
	s.wake = func() { c.hear() }
}

// hear takes what arrived.
func (c *session) hear() {
	if c.over || !c.running {
		return
	}
	c.text, c.s.in = append(c.text, c.s.in...), c.s.in[:0]
	for !c.over && !c.stalled {
		row, rest, whole := bytes.Cut(c.text, []byte("\n"))
		if !whole {
			break
		}
		row = append([]byte(nil), row...)
		c.text = rest
		c.said(row)
	}
	if c.s.end != going && !c.over {
		c.end()
	}
}

func (c *session) said(row []byte) {
	word, _ := line.Split(row)
	switch {
	case word == line.Ping && !c.up:
		c.probes++
		c.later(c.delay(), func() { c.s.send([]byte(line.PongLine)) })
	case word == line.Open && c.id == "":
		c.open(row)
	case c.up:
		c.later(c.delay(), func() { c.s.send(append(row, '\n')) })
	default:
		c.say("SYNTAX\r\n")
		c.end()
	}
}

// later runs something for this session, unless it is over by then.
func (c *session) later(seconds float64, run func()) {
	since := c.since
	c.w.After(seconds, func() {
		if !c.over && c.running && !c.stalled && c.since == since {
			run()
		}
	})
}

func (c *session) say(text string) { c.s.send([]byte(text)) }

// open sets a connection up: a call to the session store, and its share of this host.
func (c *session) open(row []byte) {
	o, err := line.ParseOpening(append(row, '\n'))
	c.id = o.ID
	c.connects++
	f := c.w.flowOf(o.ID)
	if err != nil || f == nil {
		c.say("SYNTAX\r\n")
		c.end()
		return
	}
	c.w.rules.arrived(f, c.host)
	if c.state == draining {
		c.say("BUSY\r\n")
		c.end()
		return
	}
	c.load, c.asked = f.load, true
	c.host.pending += c.load
	took, stored := c.w.store.call()
	c.later(c.delay()+took, func() {
		if !stored || c.chance.Float64() < c.errs {
			c.w.rules.ran(f, c.host)
			c.say("ERR\r\n")
			c.end()
			return
		}
		c.w.rules.ran(f, c.host)
		c.settle()
		c.up = true
		c.host.load += c.load
		c.held[c] = true
		c.order = append(c.order, c)
		c.say("UP " + c.id + "\r\n")
		c.say("LOAD " + strconv.FormatFloat(1e6*c.load, 'f', 3, 64) + "\r\n")
		c.later(f.lives, func() { c.say("BYE\r\n"); c.end() })
	})
}

// settle ends the time in which a set-up is under way.
func (c *session) settle() {
	if c.asked {
		c.asked = false
		c.host.pending = max(c.host.pending-c.load, 0)
	}
}

// end lets a session go from this side, in good order.
func (c *session) end() { c.quit(false) }

func (c *session) quit(broken bool) {
	if c.over {
		return
	}
	c.over = true
	c.settle()
	if c.up {
		c.host.load = max(c.host.load-c.load, 0)
		delete(c.held, c)
	}
	c.s.close(broken)
}

// beat is a host's housekeeping: what it is asked for too long it drops, what waits it tells.
func (h *host) beat() {
	if !h.running {
		return
	}
	rules := h.w.script.Rules
	now := h.w.Now
	live := h.order[:0]
	for _, c := range h.order {
		if h.held[c] {
			live = append(live, c)
		}
	}
	h.order = live
	if warm := h.warmth(); warm < 1 && h.load+h.pending > rules.FallMultiple*h.capacity*warm {
		if h.overAt == 0 {
			h.overAt = now
		} else if now-h.overAt >= rules.FallFor {
			h.w.rules.fell(h)
			h.crash()
			return
		}
	} else {
		h.overAt = 0
	}
	if h.use() > 1.2 {
		if h.jamAt == 0 {
			h.jamAt = now
		}
	} else {
		h.jamAt = 0
	}
	if h.jamAt > 0 && now-h.jamAt > 2 { // it sheds a tenth, at random
		h.jamAt = now
		for range 1 + len(h.order)/10 {
			if c := h.order[h.chance.IntN(len(h.order))]; !c.over {
				c.quit(true)
			}
		}
	}
	if d := h.delay(); !h.stalled && (d > 0.01 || h.told > 0.01) && math.Abs(d-h.told) > 0.2*h.told {
		h.told = d
		for _, c := range h.order {
			if !c.over {
				c.say(fmt.Sprintf("LOAD %.3f\r\n", min(1e3*d, 900)))
			}
		}
	}
	if h.state == draining && len(h.order) > 0 { // bit by bit
		for range 1 + len(h.order)/40 {
			if c := h.order[0]; !c.over {
				c.say(line.MoveLine)
				c.end()
			}
			if h.order = h.order[1:]; len(h.order) == 0 {
				break
			}
		}
	}
}

// crash ends the process: its connections are reset.
func (h *host) crash() {
	h.running = false
	h.machine.die(bySerial)
	h.aware, h.unaware = 0, 0
	h.held, h.order, h.load, h.pending = map[*session]bool{}, nil, 0, 0
}

// start runs it anew, cold.
func (h *host) start() {
	h.running, h.vanished, h.stalled, h.state = true, false, false, serving
	h.since, h.slow, h.errs, h.overAt, h.jamAt, h.told = h.w.Now, 1, 0, 0, 0, 0
	h.aware, h.unaware = 0, 0
	h.held, h.order, h.load, h.pending = map[*session]bool{}, nil, 0, 0
}

// store is the session store: each set-up is a call, and too many in a second fail.
type store struct {
	w       *World
	bears   float64 // calls a second; 0 for any number
	second  float64
	calls   float64 // in it
	peak    float64
	refused int
}

func (s *store) call() (took float64, ok bool) {
	if sec := math.Floor(s.w.Now); sec != s.second {
		s.second, s.calls = sec, 0
	}
	s.calls++
	s.peak = max(s.peak, s.calls)
	if s.bears > 0 && s.calls > s.bears {
		s.refused++
		return 0.05, false
	}
	return 2e-3, true
}
