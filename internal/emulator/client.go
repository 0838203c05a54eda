package emulator

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strconv"

	"gorseledge/internal/line"
)

// flow is one first line of a client, from its sending to its end; the checkers follow it by its id.
type flow struct {
	id       string
	kind     int
	effect   string
	load     float64
	lives    float64
	due      float64 // when its client gives up
	taken    *station
	answers  int
	ranAt    float64 // of the first time it ran, 0 for none
	ranOn    *host
	runs     int
	out      int     // connects out now
	leftAt   float64 // when its client left without an answer; 0 for not
	rejected bool
}

// client is one listener: it comes, may be turned away, comes again by itself, and holds its connection.
type client struct {
	*machine
	w      *World
	chance *rand.Rand
	t      Traffic
	kind   int
	key    uint64
	group  uint64
	load   float64
	tries  int
	back   bool
	s      *socket
	flow   *flow
	text   []byte
	up     bool
	sentAt float64 // of the line that waits for one back, 0 for none
	stay   float64 // of its life that is left
	upAt   float64
	asked  float64 // seconds of service asked for, and those well served
	served float64
	gone   bool
	turn   int // of the connection, so that late events of an old one are void
}

// come sends a first line to a node that the front names.
func (c *client) come() {
	w := c.w
	if c.gone || w.Now > w.script.Lasts {
		return
	}
	c.turn++
	turn := c.turn
	to := w.front(c.zone)
	if to == nil {
		c.again(0.2)
		return
	}
	w.flows++
	f := &flow{id: strconv.FormatUint(uint64(w.flows)<<20|0xabcde, 16), kind: c.kind, effect: c.t.Effect, load: c.load,
		lives: c.stay, due: w.Now + c.t.Timeout}
	w.byID[f.id] = f
	c.flow, c.up, c.text, c.sentAt = f, false, nil, 0
	mine, theirs := w.net.join(c.machine, to.machine)
	c.s = mine
	mine.wake = func() {
		if c.turn == turn {
			c.hear()
		}
	}
	again := ""
	if c.back {
		again = ",again=1"
	}
	if c.tries > 0 {
		again += ",r=1"
	}
	w.result.Asked++
	mine.send(fmt.Appendf(nil, "OPEN %s %016x c=%s,t=all,d=%d,g=%x%s\r\n", f.id, c.key, c.t.Name,
		int(c.t.Timeout*1e3), c.group, again))
	w.net.After(w.net.delay(c.machine, to.machine), func() { to.accept(theirs, f) })
	if w.impatient > 0 && c.chance.Float64() < w.impatient {
		w.After(c.chance.Float64()*min(c.t.Timeout, 4*c.t.Target), func() {
			if c.turn == turn && !c.up && f.answers == 0 {
				c.quit(c.chance.Float64() < 0.5)
				f.leftAt = w.Now
				c.again(c.t.Backoff)
			}
		})
	}
	w.After(c.t.Timeout, func() {
		if c.turn == turn && !c.up && f.answers == 0 {
			w.result.Unanswered++
			w.rules.overdue(f)
			c.quit(true)
			c.again(c.t.Backoff)
		}
	})
}

// hear takes what arrived from the node.
func (c *client) hear() {
	c.text, c.s.in = append(c.text, c.s.in...), c.s.in[:0]
	turn := c.turn
	for c.turn == turn {
		row, rest, whole := bytes.Cut(c.text, []byte("\n"))
		if !whole {
			break
		}
		c.text = rest
		f, up := c.flow, c.up
		c.line(string(bytes.TrimSpace(row)))
		if c.turn != turn && !up && bytes.IndexByte(c.text, '\n') >= 0 { // more than the last word
			f.answers++
			c.w.rules.answered(f)
		}
	}
	if c.turn == turn && c.s.end != going {
		broken := c.s.end == reset
		if !c.up && c.flow.answers == 0 {
			c.w.rules.unanswered(c.flow)
		}
		was := c.up
		c.quit(false)
		if was {
			c.back = true
			c.w.result.Broken++
			c.w.trace("client %s broken %v", c.name, broken)
			c.again(0.05 + 0.5*c.chance.Float64())
		}
	}
}

func (c *client) line(row string) {
	w := c.w
	word, rest := line.Split([]byte(row))
	if c.up {
		switch word {
		case line.Bye:
			c.account()
			c.quit(false)
			c.gone = true
			w.result.Served++
		case line.Move:
			c.quit(false)
			c.back = true
			w.result.Moved++
			c.again(0.05 + 0.3*c.chance.Float64())
		case line.Load:
		default:
			c.sentAt = 0
		}
		return
	}
	c.flow.answers++
	w.rules.answered(c.flow)
	switch word {
	case line.Up:
		c.up, c.upAt, c.tries = true, w.Now, 0
		w.result.Established++
		took := w.Now - (c.flow.due - c.t.Timeout)
		w.result.setup(took)
		if took <= c.t.Target {
			w.result.InTarget++
		}
		c.beat(c.turn)
	case line.Busy:
		w.result.Rejected++
		c.flow.rejected = true
		wait := c.t.Backoff
		if ms, err := strconv.ParseFloat(string(bytes.TrimSpace(rest)), 64); err == nil && c.chance.Float64() < c.t.Heeds {
			wait = ms / 1e3
		}
		c.quit(false)
		c.again(wait)
	default:
		w.result.Aborted++
		c.quit(false)
		if c.t.Effect != "once-only" {
			c.again(c.t.Backoff)
		} else {
			c.gone = true
		}
	}
}

// beat sends a line every two seconds and keeps account of what is well served.
func (c *client) beat(turn int) {
	if c.turn != turn || !c.up {
		return
	}
	if c.sentAt == 0 {
		c.sentAt = c.w.Now
		c.s.send([]byte("x\r\n"))
	}
	c.w.After(2, func() {
		if c.turn == turn && c.up {
			c.account()
			c.beat(turn)
		}
	})
}

// account adds the time since the last to what was asked for and, unless a line waits too long, to what was
// served.
func (c *client) account() {
	span := c.w.Now - c.upAt
	c.upAt = c.w.Now
	c.stay -= span
	if late := c.sentAt > 0 && c.w.Now-c.sentAt > max(c.t.Message, 0.01); !late {
		c.served += span
	}
	c.asked += span
}

func (c *client) quit(broken bool) {
	if c.up {
		c.account()
	}
	c.turn++
	c.up = false
	c.s.close(broken)
}

// again has the client try once more, as often as it does by itself.
func (c *client) again(wait float64) {
	c.asked += min(wait, max(c.stay, 0))
	c.stay -= wait
	if c.tries++; c.tries > c.t.Retries || c.stay <= 0 {
		c.gone = true
		c.asked += max(c.stay, 0)
		return
	}
	c.w.After(wait, c.come)
}
