package emulator

import (
	"bytes"
	"slices"
	"strconv"

	"gorseledge/internal/line"
)

// Lines of hosts for which package line has no constants.
const (
	busyLine        = "BUSY\r\n"
	syntaxLine      = "SYNTAX\r\n"
	byeLine         = "BYE\r\n"
	delayLineFormat = "LOAD %.3f\r\n" // milliseconds that a message takes
)

const (
	loadReportUnit   = 1e6 // load of one core in a load report
	loadReportDigits = 3   // after the decimal point
)

// session is one connection from a node at a host, from its acceptance on.
type session struct {
	*host
	socket      *socket
	received    []byte // bytes that have arrived and are not handled yet
	id          string // ID of its flow; empty until the opening line has arrived
	load        float64
	established bool
	settingUp   bool // its load is included in host.pending
	closed      bool
}

// receive handles the lines that have arrived. A stalled host does not handle them.
func (c *session) receive() {
	if c.closed || !c.running {
		return
	}
	c.received = append(c.received, c.socket.received...)
	c.socket.received = c.socket.received[:0]
	for !c.closed && !c.stalled {
		row, rest, complete := bytes.Cut(c.received, []byte("\n"))
		if !complete {
			break
		}
		c.received = rest
		c.handleLine(slices.Clone(row))
	}
	if c.socket.receiveState != streamOpen && !c.closed {
		c.close()
	}
}

// handleLine handles one line, without its newline.
func (c *session) handleLine(row []byte) {
	verb, _ := line.Split(row)
	switch {
	case verb == line.Ping && !c.established:
		c.healthChecks++
		c.after(c.delay(), func() { c.send(line.PongLine) })
	case verb == line.Open && c.id == "":
		c.open(row)
	case c.established:
		c.after(c.delay(), func() { c.socket.send(append(row, '\n')) })
	default:
		c.send(syntaxLine)
		c.close()
	}
}

// after schedules a function after the given seconds. It is not run if the session has ended, or the host has stalled,
// stopped or restarted by then.
func (c *session) after(seconds float64, run func()) {
	startedAt := c.startedAt
	c.sim.After(seconds, func() {
		if !c.closed && c.running && !c.stalled && c.startedAt == startedAt {
			run()
		}
	})
}

// send sends text to the node.
func (c *session) send(text string) { c.socket.send([]byte(text)) }

// open handles an opening line. Unless the host is draining, it starts a set-up, which calls the session store and counts as
// pending load of the host.
func (c *session) open(row []byte) {
	opening, err := line.ParseOpening(append(row, '\n'))
	c.id = opening.ID
	f := c.sim.flowByID(opening.ID)
	if err != nil || f == nil {
		c.send(syntaxLine)
		c.close()
		return
	}
	c.sim.checker.checkArrival(f, c.host)
	if c.state == draining {
		c.send(busyLine)
		c.close()
		return
	}
	c.load = f.load
	c.settingUp = true
	c.host.pending += c.load
	seconds, stored := c.sim.store.call()
	c.after(c.delay()+seconds, func() { c.completeSetup(f, stored) })
}

// completeSetup answers a set-up. It fails if the session store refused the call, or at random with the probability
// errorShare of the host.
func (c *session) completeSetup(f *flow, stored bool) {
	failed := !stored || c.random.Float64() < c.errorShare
	c.sim.checker.checkSetup(f, c.host)
	if failed {
		c.send(line.ErrLine)
		c.close()
		return
	}
	c.finishSetup()
	c.established = true
	c.host.load += c.load
	c.sessions[c] = true
	c.sessionOrder = append(c.sessionOrder, c)
	c.send("UP " + c.id + "\r\n")
	c.send("LOAD " + strconv.FormatFloat(loadReportUnit*c.load, 'f', loadReportDigits, 64) + "\r\n")
	c.after(f.lifetime, func() {
		c.send(byeLine)
		c.close()
	})
}

// finishSetup removes the session's load from the host's pending load.
func (c *session) finishSetup() {
	if c.settingUp {
		c.settingUp = false
		c.host.pending = max(c.host.pending-c.load, 0)
	}
}

// close ends the session gracefully.
func (c *session) close() { c.disconnect(false) }

// disconnect ends the session gracefully or by a reset.
func (c *session) disconnect(reset bool) {
	if c.closed {
		return
	}
	c.closed = true
	c.finishSetup()
	if c.established {
		c.host.load = max(c.host.load-c.load, 0)
		delete(c.sessions, c)
	}
	c.socket.close(reset)
}
