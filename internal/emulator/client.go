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
	id           string
	traffic      int
	effect       string
	load         float64
	lifetime     float64
	deadline     float64 // when its client gives up
	acceptedBy   *nodeProcess
	answers      int
	ranAt        float64 // of the first time it ran, 0 for none
	ranOn        *host
	runs         int
	openAttempts int     // connects out now
	clientLeftAt float64 // when its client left without an answer; 0 for not
	rejected     bool
}

// client is one listener: it comes, may be turned away, comes again by itself, and holds its connection.
type client struct {
	*machine
	world            *simulation
	random           *rand.Rand
	traffic          Traffic
	trafficIndex     int
	key              uint64
	group            uint64
	load             float64
	retries          int
	reconnecting     bool
	socket           *socket
	flow             *flow
	received         []byte
	established      bool
	messageSentAt    float64 // of the line that waits for one back, 0 for none
	remaining        float64 // of its life that is left
	accountedAt      float64
	requestedSeconds float64 // seconds of service asked for, and those well served
	servedSeconds    float64
	finished         bool
	generation       int // of the connection, so that late events of an old one are void
}

// connect sends a first line to a node that the front names.
func (c *client) connect() {
	w := c.world
	if c.finished || w.Now > w.script.Duration {
		return
	}
	c.generation++
	turn := c.generation
	to := w.pickNode(c.zone)
	if to == nil {
		c.retryAfter(0.2)
		return
	}
	w.flowCount++
	f := &flow{id: strconv.FormatUint(uint64(w.flowCount)<<20|0xabcde, 16), traffic: c.trafficIndex, effect: c.traffic.Effect, load: c.load,
		lifetime: c.remaining, deadline: w.Now + c.traffic.ConnectTimeout}
	w.flowsByID[f.id] = f
	c.flow, c.established, c.received, c.messageSentAt = f, false, nil, 0
	mine, theirs := w.net.join(c.machine, to.machine)
	c.socket = mine
	mine.onArrival = func() {
		if c.generation == turn {
			c.receive()
		}
	}
	again := ""
	if c.reconnecting {
		again = ",again=1"
	}
	if c.retries > 0 {
		again += ",r=1"
	}
	w.result.Requested++
	mine.send(fmt.Appendf(nil, "OPEN %s %016x c=%s,t=all,d=%d,g=%x%s\r\n", f.id, c.key, c.traffic.Name,
		int(c.traffic.ConnectTimeout*1e3), c.group, again))
	w.net.After(w.net.delay(c.machine, to.machine), func() { to.accept(theirs, f) })
	if w.impatientShare > 0 && c.random.Float64() < w.impatientShare {
		w.After(c.random.Float64()*min(c.traffic.ConnectTimeout, 4*c.traffic.SetupObjective), func() {
			if c.generation == turn && !c.established && f.answers == 0 {
				c.disconnect(c.random.Float64() < 0.5)
				f.clientLeftAt = w.Now
				c.retryAfter(c.traffic.Backoff)
			}
		})
	}
	w.After(c.traffic.ConnectTimeout, func() {
		if c.generation == turn && !c.established && f.answers == 0 {
			w.result.Unanswered++
			w.checker.checkOverdue(f)
			c.disconnect(true)
			c.retryAfter(c.traffic.Backoff)
		}
	})
}

// receive takes what arrived from the node.
func (c *client) receive() {
	c.received, c.socket.received = append(c.received, c.socket.received...), c.socket.received[:0]
	turn := c.generation
	for c.generation == turn {
		row, rest, whole := bytes.Cut(c.received, []byte("\n"))
		if !whole {
			break
		}
		c.received = rest
		f, up := c.flow, c.established
		c.handleLine(string(bytes.TrimSpace(row)))
		if c.generation != turn && !up && bytes.IndexByte(c.received, '\n') >= 0 { // more than the last word
			f.answers++
			c.world.checker.checkAnswers(f)
		}
	}
	if c.generation == turn && c.socket.farEnd != streamOpen {
		broken := c.socket.farEnd == streamReset
		if !c.established && c.flow.answers == 0 {
			c.world.checker.checkUnanswered(c.flow)
		}
		was := c.established
		c.disconnect(false)
		if was {
			c.reconnecting = true
			c.world.result.Disconnected++
			c.world.trace("client %s broken %v", c.name, broken)
			c.retryAfter(0.05 + 0.5*c.random.Float64())
		}
	}
}

func (c *client) handleLine(row string) {
	w := c.world
	word, rest := line.Split([]byte(row))
	if c.established {
		switch word {
		case line.Bye:
			c.recordService()
			c.disconnect(false)
			c.finished = true
			w.result.Served++
		case line.Move:
			c.disconnect(false)
			c.reconnecting = true
			w.result.Migrated++
			c.retryAfter(0.05 + 0.3*c.random.Float64())
		case line.Load:
		default:
			c.messageSentAt = 0
		}
		return
	}
	c.flow.answers++
	w.checker.checkAnswers(c.flow)
	switch word {
	case line.Up:
		c.established, c.accountedAt, c.retries = true, w.Now, 0
		w.result.Established++
		took := w.Now - (c.flow.deadline - c.traffic.ConnectTimeout)
		w.result.recordSetup(took)
		if took <= c.traffic.SetupObjective {
			w.result.InTarget++
		}
		c.sendMessages(c.generation)
	case line.Busy:
		w.result.Rejected++
		c.flow.rejected = true
		wait := c.traffic.Backoff
		if ms, err := strconv.ParseFloat(string(bytes.TrimSpace(rest)), 64); err == nil && c.random.Float64() < c.traffic.RetryAfterShare {
			wait = ms / 1e3
		}
		c.disconnect(false)
		c.retryAfter(wait)
	default:
		w.result.Aborted++
		c.disconnect(false)
		if c.traffic.Effect != "once-only" {
			c.retryAfter(c.traffic.Backoff)
		} else {
			c.finished = true
		}
	}
}

// sendMessages sends a line every two seconds and keeps account of what is well served.
func (c *client) sendMessages(turn int) {
	if c.generation != turn || !c.established {
		return
	}
	if c.messageSentAt == 0 {
		c.messageSentAt = c.world.Now
		c.socket.send([]byte("x\r\n"))
	}
	c.world.After(2, func() {
		if c.generation == turn && c.established {
			c.recordService()
			c.sendMessages(turn)
		}
	})
}

// recordService adds the time since the last to what was asked for and, unless a line waits too long, to what was
// served.
func (c *client) recordService() {
	span := c.world.Now - c.accountedAt
	c.accountedAt = c.world.Now
	c.remaining -= span
	if late := c.messageSentAt > 0 && c.world.Now-c.messageSentAt > max(c.traffic.MessageObjective, 0.01); !late {
		c.servedSeconds += span
	}
	c.requestedSeconds += span
}

func (c *client) disconnect(broken bool) {
	if c.established {
		c.recordService()
	}
	c.generation++
	c.established = false
	c.socket.close(broken)
}

// retryAfter has the client try once more, as often as it does by itself.
func (c *client) retryAfter(wait float64) {
	c.requestedSeconds += min(wait, max(c.remaining, 0))
	c.remaining -= wait
	if c.retries++; c.retries > c.traffic.Retries || c.remaining <= 0 {
		c.finished = true
		c.requestedSeconds += max(c.remaining, 0)
		return
	}
	c.world.After(wait, c.connect)
}
