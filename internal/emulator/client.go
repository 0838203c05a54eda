package emulator

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strconv"

	"gorseledge/internal/line"
)

// Times of clients, in seconds. The jitters are the upper ends of ranges from 0.
const (
	minLifetime         = 0.1
	noNodeBackoff       = 0.2 // wait before the next try if no node is running
	messageInterval     = 2.0
	minMessageObjective = 0.01
	reconnectDelay      = 0.05 // shortest wait before a client reconnects
	disconnectJitter    = 0.5  // added after a connection was lost
	migrationJitter     = 0.3  // added after a request to migrate
)

// client is a simulated client. It sets up one connection at a time through the nodes, sends messages over it, and
// connects again after a rejection, a failure or a lost connection. Times are in seconds.
type client struct {
	*machine
	sim              *simulation
	random           *rand.Rand
	traffic          Traffic
	trafficIndex     int
	key              uint64
	group            uint64 // 0 for none
	load             float64
	retries          int  // consecutive retries so far
	reconnecting     bool // an earlier connection of the client was established
	socket           *socket
	flow             *flow
	received         []byte // bytes that have arrived and are not handled yet
	established      bool
	messageSentAt    float64 // time at which the unanswered message was sent; 0 if there is none
	remaining        float64 // rest of the client's lifetime
	accountedAt      float64 // time of the last call of recordService for the present connection
	requestedSeconds float64
	servedSeconds    float64 // part of requestedSeconds in which messages were answered within their objective
	finished         bool    // the client does not connect again
	generation       int     // number of the present connection; events of earlier ones are ignored
}

// connect opens a connection to a node and sends the opening line.
func (c *client) connect() {
	sim := c.sim
	if c.finished || sim.Now > sim.script.Duration {
		return
	}
	c.generation++
	n := sim.pickNode(c.zone)
	if n == nil {
		c.retryAfter(noNodeBackoff)
		return
	}
	f := c.newFlow()
	clientEnd, nodeEnd := sim.join(c.machine, n.machine)
	c.attach(clientEnd, f)
	sim.result.Requested++
	clientEnd.send(c.opening())
	sim.After(sim.delay(c.machine, n.machine), func() { n.accept(nodeEnd, f) })
	c.scheduleDeparture()
	c.scheduleTimeout()
}

// newFlow returns a new flow of the client and registers it, so that it can be looked up by its ID.
func (c *client) newFlow() *flow {
	sim := c.sim
	sim.flowCount++
	f := &flow{
		id:           strconv.FormatUint(uint64(sim.flowCount)<<20|0xabcde, 16),
		trafficIndex: c.trafficIndex,
		idempotency:  c.traffic.Idempotency,
		load:         c.load,
		lifetime:     c.remaining,
		deadline:     sim.Now + c.traffic.ConnectTimeout,
	}
	sim.flowsByID[f.id] = f
	return f
}

// attach makes the socket and the flow those of the present connection. Arrivals are handled until the connection is replaced.
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

// opening returns the opening line of the client's flow.
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

// scheduleDeparture schedules the client to leave before it is answered, with the probability earlyDepartureShare.
func (c *client) scheduleDeparture() {
	sim := c.sim
	if sim.earlyDepartureShare <= 0 || c.random.Float64() >= sim.earlyDepartureShare {
		return
	}
	generation, f := c.generation, c.flow
	timeToDeparture := c.random.Float64() * min(c.traffic.ConnectTimeout, 4*c.traffic.SetupObjective)
	sim.After(timeToDeparture, func() {
		if c.awaitsAnswer(generation, f) {
			c.disconnect(c.random.Float64() < 0.5)
			f.clientLeftAt = sim.Now
			c.retryAfter(c.traffic.Backoff)
		}
	})
}

// scheduleTimeout schedules the client to give up at its connect timeout.
func (c *client) scheduleTimeout() {
	generation, f := c.generation, c.flow
	c.sim.After(c.traffic.ConnectTimeout+c.sim.options.AnswerSlack, func() {
		if c.awaitsAnswer(generation, f) {
			c.sim.result.Unanswered++
			c.sim.checker.checkOverdue(f)
			c.disconnect(true)
			c.retryAfter(c.traffic.Backoff)
		}
	})
}

// awaitsAnswer reports whether the connection of the given generation is still the present one and its flow unanswered.
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
		// A complete line after the answer that ended the connection is a second answer.
		if c.generation != generation && !established && bytes.IndexByte(c.received, '\n') >= 0 {
			f.answers++
			c.sim.checker.checkAnswers(f)
		}
	}
	if c.generation == generation && c.socket.receiveState != streamOpen {
		c.handleClose()
	}
}

// handleClose handles a connection that the node closed or reset. The client reconnects if it was established.
func (c *client) handleClose() {
	reset := c.socket.receiveState == streamReset
	if !c.established && c.flow.answers == 0 {
		c.sim.checker.checkUnanswered(c.flow)
	}
	established := c.established
	c.disconnect(false)
	if !established {
		return
	}
	c.reconnecting = true
	c.sim.result.Disconnected++
	c.sim.trace("client %s broken %v", c.name, reset)
	c.retryAfter(reconnectDelay + disconnectJitter*c.random.Float64())
}

// handleLine handles one line from the node.
func (c *client) handleLine(row string) {
	verb, rest := line.Split([]byte(row))
	if c.established {
		c.handleMessage(verb)
		return
	}
	c.flow.answers++
	c.sim.checker.checkAnswers(c.flow)
	switch verb {
	case line.Up:
		c.handleUp()
	case line.Busy:
		c.handleRejection(rest)
	default:
		c.handleFailure()
	}
}

// handleMessage handles a line on the established connection.
func (c *client) handleMessage(verb line.Verb) {
	switch verb {
	case line.Bye:
		c.recordService()
		c.disconnect(false)
		c.finished = true
		c.sim.result.Served++
	case line.Move:
		c.disconnect(false)
		c.reconnecting = true
		c.sim.result.Migrated++
		c.retryAfter(reconnectDelay + migrationJitter*c.random.Float64())
	case line.Load:
	default:
		c.messageSentAt = 0
	}
}

// handleUp handles the answer that establishes the connection.
func (c *client) handleUp() {
	sim := c.sim
	c.established = true
	c.accountedAt = sim.Now
	c.retries = 0
	sim.result.Established++
	setup := sim.Now - (c.flow.deadline - c.traffic.ConnectTimeout)
	sim.result.recordSetup(setup)
	if setup <= c.traffic.SetupObjective {
		sim.result.InTarget++
	}
	c.sendMessages(c.generation)
}

// handleRejection handles a rejection. A share of the clients waits for its Retry-After, which is in milliseconds.
func (c *client) handleRejection(retryAfter []byte) {
	c.sim.result.Rejected++
	c.flow.rejected = true
	wait := c.traffic.Backoff
	milliseconds, err := strconv.ParseFloat(string(bytes.TrimSpace(retryAfter)), 64)
	if err == nil && c.random.Float64() < c.traffic.RetryAfterShare {
		wait = milliseconds / millisecondsPerSecond
	}
	c.disconnect(false)
	c.retryAfter(wait)
}

// handleFailure handles an answer that is neither an establishment nor a rejection. The client retries unless its requests
// are not idempotent: the failed one may have been carried out.
func (c *client) handleFailure() {
	c.sim.result.Aborted++
	c.disconnect(false)
	if c.traffic.Idempotency == nonIdempotent {
		c.finished = true
		return
	}
	c.retryAfter(c.traffic.Backoff)
}

// sendMessages sends a message at each interval, unless the previous one is unanswered, and records the service up to then.
func (c *client) sendMessages(generation int) {
	if c.generation != generation || !c.established {
		return
	}
	if c.messageSentAt == 0 {
		c.messageSentAt = c.sim.Now
		c.socket.send([]byte("x\r\n"))
	}
	c.sim.After(messageInterval, func() {
		if c.generation == generation && c.established {
			c.recordService()
			c.sendMessages(generation)
		}
	})
}

// recordService adds the time since the last call to the requested seconds. It adds it to the served seconds as well unless
// a message has been unanswered for longer than its objective.
func (c *client) recordService() {
	span := c.sim.Now - c.accountedAt
	c.accountedAt = c.sim.Now
	c.remaining -= span
	objective := max(c.traffic.MessageObjective, minMessageObjective)
	late := c.messageSentAt > 0 && c.sim.Now-c.messageSentAt > objective
	if !late {
		c.servedSeconds += span
	}
	c.requestedSeconds += span
}

// disconnect closes the connection from the client's side, gracefully or by a reset.
func (c *client) disconnect(reset bool) {
	if c.established {
		c.recordService()
	}
	c.generation++
	c.established = false
	c.socket.close(reset)
}

// retryAfter schedules the next connection after the given seconds. A client without retries or lifetime left is finished
// instead. The wait, and the lifetime that a finished client loses, count as requested and not served.
func (c *client) retryAfter(wait float64) {
	c.requestedSeconds += min(wait, max(c.remaining, 0))
	c.remaining -= wait
	c.retries++
	if c.retries > c.traffic.Retries || c.remaining <= 0 {
		c.finished = true
		c.requestedSeconds += max(c.remaining, 0)
		return
	}
	c.sim.After(wait, c.connect)
}
