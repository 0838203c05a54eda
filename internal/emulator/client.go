package emulator

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strconv"

	"gorseledge/internal/line"
)

// Times of clients, in seconds.
const (
	minLifetime         = 0.1
	noNodeBackoff       = 0.2 // where no node runs
	messageInterval     = 2.0
	minMessageObjective = 0.01
	reconnectDelay      = 0.05 // least time until a client reconnects
	brokenJitter        = 0.5  // added at most after a connection broke
	migrationJitter     = 0.3  // added at most after a request to migrate
)

// client sets up one connection after another through the nodes, may be rejected, retries by itself, and sends messages
// over its connection. Times are in seconds.
type client struct {
	*machine
	world            *simulation
	random           *rand.Rand
	traffic          Traffic
	trafficIndex     int
	key              uint64
	group            uint64 // 0 for none
	load             float64
	retries          int  // consecutive ones
	reconnecting     bool // it had a connection before
	socket           *socket
	flow             *flow
	received         []byte // not handled yet
	established      bool
	messageSentAt    float64 // of the message that waits for its answer; 0 for none
	remaining        float64 // of its lifetime
	accountedAt      float64 // up to when the present connection is in the account
	requestedSeconds float64
	servedSeconds    float64 // of requestedSeconds, those that were served well
	finished         bool    // it does not connect any more
	generation       int     // of its connection; events of an older one have no effect
}

// connect sends a first line to a node.
func (c *client) connect() {
	w := c.world
	if c.finished || w.Now > w.script.Duration {
		return
	}
	c.generation++
	n := w.pickNode(c.zone)
	if n == nil {
		c.retryAfter(noNodeBackoff)
		return
	}
	f := c.newFlow()
	near, far := w.join(c.machine, n.machine)
	c.attach(near, f)
	w.result.Requested++
	near.send(c.opening())
	w.After(w.delay(c.machine, n.machine), func() { n.accept(far, f) })
	c.scheduleDeparture()
	c.scheduleTimeout()
}

// newFlow returns a new flow of the client, which the checker finds by its id.
func (c *client) newFlow() *flow {
	w := c.world
	w.flowCount++
	f := &flow{
		id:           strconv.FormatUint(uint64(w.flowCount)<<20|0xabcde, 16),
		trafficIndex: c.trafficIndex,
		effect:       c.traffic.Effect,
		load:         c.load,
		lifetime:     c.remaining,
		deadline:     w.Now + c.traffic.ConnectTimeout,
	}
	w.flowsByID[f.id] = f
	return f
}

// attach makes a socket and a flow those of the present generation.
func (c *client) attach(s *socket, f *flow) {
	c.socket = s
	c.flow = f
	c.established = false
	c.received = nil
	c.messageSentAt = 0
	generation := c.generation
	s.onArrival = func() {
		if c.generation == generation {
			c.receive()
		}
	}
}

// opening returns the first line of the client's flow.
func (c *client) opening() []byte {
	attributes := ""
	if c.reconnecting {
		attributes = ",again=1"
	}
	if c.retries > 0 {
		attributes += ",r=1"
	}
	timeout := int(c.traffic.ConnectTimeout * millisecondsPerSecond)
	return fmt.Appendf(nil, "OPEN %s %016x c=%s,t=all,d=%d,g=%x%s\r\n", c.flow.id, c.key, c.traffic.Name, timeout, c.group, attributes)
}

// scheduleDeparture has the client leave before its answer, for the share of clients that are impatient now.
func (c *client) scheduleDeparture() {
	w := c.world
	if w.impatientShare <= 0 || c.random.Float64() >= w.impatientShare {
		return
	}
	generation, f := c.generation, c.flow
	patience := c.random.Float64() * min(c.traffic.ConnectTimeout, 4*c.traffic.SetupObjective)
	w.After(patience, func() {
		if c.awaitsAnswer(generation, f) {
			c.disconnect(c.random.Float64() < 0.5)
			f.clientLeftAt = w.Now
			c.retryAfter(c.traffic.Backoff)
		}
	})
}

// scheduleTimeout has the client give up at its connect timeout.
func (c *client) scheduleTimeout() {
	generation, f := c.generation, c.flow
	c.world.After(c.traffic.ConnectTimeout, func() {
		if c.awaitsAnswer(generation, f) {
			c.world.result.Unanswered++
			c.world.checker.checkOverdue(f)
			c.disconnect(true)
			c.retryAfter(c.traffic.Backoff)
		}
	})
}

// awaitsAnswer reports whether a flow of the given generation is still the client's and has no answer.
func (c *client) awaitsAnswer(generation int, f *flow) bool {
	return c.generation == generation && !c.established && f.answers == 0
}

// receive handles what has arrived from the node.
func (c *client) receive() {
	c.received = append(c.received, c.socket.received...)
	c.socket.received = c.socket.received[:0]
	generation := c.generation
	for c.generation == generation {
		row, rest, complete := bytes.Cut(c.received, []byte("\n"))
		if !complete {
			break
		}
		c.received = rest
		f, established := c.flow, c.established
		c.handleLine(string(bytes.TrimSpace(row)))
		// A line after the one that ended the connection is a second answer.
		if c.generation != generation && !established && bytes.IndexByte(c.received, '\n') >= 0 {
			f.answers++
			c.world.checker.checkAnswers(f)
		}
	}
	if c.generation == generation && c.socket.farEnd != streamOpen {
		c.handleEnd()
	}
}

// handleEnd handles the end of the connection by the node. The client reconnects if it was established.
func (c *client) handleEnd() {
	reset := c.socket.farEnd == streamReset
	if !c.established && c.flow.answers == 0 {
		c.world.checker.checkUnanswered(c.flow)
	}
	established := c.established
	c.disconnect(false)
	if !established {
		return
	}
	c.reconnecting = true
	c.world.result.Disconnected++
	c.world.trace("client %s broken %v", c.name, reset)
	c.retryAfter(reconnectDelay + brokenJitter*c.random.Float64())
}

// handleLine handles one line from the node.
func (c *client) handleLine(row string) {
	verb, rest := line.Split([]byte(row))
	if c.established {
		c.handleMessage(verb)
		return
	}
	c.flow.answers++
	c.world.checker.checkAnswers(c.flow)
	switch verb {
	case line.Up:
		c.handleUp()
	case line.Busy:
		c.handleRejection(rest)
	default:
		c.handleFailure()
	}
}

// handleMessage handles a line over the established connection.
func (c *client) handleMessage(verb line.Verb) {
	switch verb {
	case line.Bye:
		c.recordService()
		c.disconnect(false)
		c.finished = true
		c.world.result.Served++
	case line.Move:
		c.disconnect(false)
		c.reconnecting = true
		c.world.result.Migrated++
		c.retryAfter(reconnectDelay + migrationJitter*c.random.Float64())
	case line.Load:
	default:
		c.messageSentAt = 0
	}
}

// handleUp handles the answer that establishes the connection.
func (c *client) handleUp() {
	w := c.world
	c.established = true
	c.accountedAt = w.Now
	c.retries = 0
	w.result.Established++
	setup := w.Now - (c.flow.deadline - c.traffic.ConnectTimeout)
	w.result.recordSetup(setup)
	if setup <= c.traffic.SetupObjective {
		w.result.InTarget++
	}
	c.sendMessages(c.generation)
}

// handleRejection handles a rejection, whose Retry-After in milliseconds some of the clients heed.
func (c *client) handleRejection(retryAfter []byte) {
	c.world.result.Rejected++
	c.flow.rejected = true
	wait := c.traffic.Backoff
	milliseconds, err := strconv.ParseFloat(string(bytes.TrimSpace(retryAfter)), 64)
	if err == nil && c.random.Float64() < c.traffic.RetryAfterShare {
		wait = milliseconds / millisecondsPerSecond
	}
	c.disconnect(false)
	c.retryAfter(wait)
}

// handleFailure handles any other answer. A request that is not idempotent is not repeated after it.
func (c *client) handleFailure() {
	c.world.result.Aborted++
	c.disconnect(false)
	if c.traffic.Effect == effectNonIdempotent {
		c.finished = true
		return
	}
	c.retryAfter(c.traffic.Backoff)
}

// sendMessages sends a message at each interval, unless the one before waits for its answer, and keeps the account.
func (c *client) sendMessages(generation int) {
	if c.generation != generation || !c.established {
		return
	}
	if c.messageSentAt == 0 {
		c.messageSentAt = c.world.Now
		c.socket.send([]byte("x\r\n"))
	}
	c.world.After(messageInterval, func() {
		if c.generation == generation && c.established {
			c.recordService()
			c.sendMessages(generation)
		}
	})
}

// recordService adds the time since the last call to the requested seconds and, unless a message waits longer than its
// objective, to the served ones.
func (c *client) recordService() {
	span := c.world.Now - c.accountedAt
	c.accountedAt = c.world.Now
	c.remaining -= span
	objective := max(c.traffic.MessageObjective, minMessageObjective)
	late := c.messageSentAt > 0 && c.world.Now-c.messageSentAt > objective
	if !late {
		c.servedSeconds += span
	}
	c.requestedSeconds += span
}

// disconnect ends the connection from the client's side, in good order or by a reset.
func (c *client) disconnect(reset bool) {
	if c.established {
		c.recordService()
	}
	c.generation++
	c.established = false
	c.socket.close(reset)
}

// retryAfter connects again after some seconds. The client goes for good if it has no retries or no lifetime left. The
// wait counts as requested and not served.
func (c *client) retryAfter(wait float64) {
	c.requestedSeconds += min(wait, max(c.remaining, 0))
	c.remaining -= wait
	c.retries++
	if c.retries > c.traffic.Retries || c.remaining <= 0 {
		c.finished = true
		c.requestedSeconds += max(c.remaining, 0)
		return
	}
	c.world.After(wait, c.connect)
}
