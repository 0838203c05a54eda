package emulator

import (
	"bytes"
	"slices"
	"strconv"

	"gorseledge/internal/line"
)

// Lines that a host sends and package line has no constants for.
const (
	busyLine        = "BUSY\r\n"
	syntaxLine      = "SYNTAX\r\n"
	byeLine         = "BYE\r\n"
	delayLineFormat = "LOAD %.3f\r\n" // milliseconds of a message
)

const (
	loadReportUnit   = 1e6 // load of one core in a load report
	loadReportDigits = 3   // after the decimal point
)

// session is one connection that a host serves, or that is asking for it.
type session struct {
	*host
	socket      *socket
	received    []byte // not handled yet
	id          string // of its flow; empty before the first line
	load        float64
	established bool
	settingUp   bool // its load counts as pending
	closed      bool
}

// receive handles what has arrived. A stalled host leaves it unread.
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
	if c.socket.farEnd != streamOpen && !c.closed {
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

// after runs a function for the session after some seconds, unless the session has ended or the host is stalled by then.
func (c *session) after(seconds float64, run func()) {
	startedAt := c.startedAt
	c.world.After(seconds, func() {
		if !c.closed && c.running && !c.stalled && c.startedAt == startedAt {
			run()
		}
	})
}

// send sends text to the node.
func (c *session) send(text string) { c.socket.send([]byte(text)) }

// open sets a connection up. A set-up takes a call to the session store, and load of the host.
func (c *session) open(row []byte) {
	opening, err := line.ParseOpening(append(row, '\n'))
	c.id = opening.ID
	f := c.world.flowByID(opening.ID)
	if err != nil || f == nil {
		c.send(syntaxLine)
		c.close()
		return
	}
	c.world.checker.checkArrival(f, c.host)
	if c.state == draining {
		c.send(busyLine)
		c.close()
		return
	}
	c.load = f.load
	c.settingUp = true
	c.host.pending += c.load
	seconds, stored := c.world.store.call()
	c.after(c.delay()+seconds, func() { c.completeSetup(f, stored) })
}

// completeSetup answers a set-up. It fails if the session store refused its call, or by the host's share of errors.
func (c *session) completeSetup(f *flow, stored bool) {
	failed := !stored || c.random.Float64() < c.errorShare
	c.world.checker.checkSetup(f, c.host)
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

// finishSetup ends the time in which the load of the session counts as pending.
func (c *session) finishSetup() {
	if c.settingUp {
		c.settingUp = false
		c.host.pending = max(c.host.pending-c.load, 0)
	}
}

// close ends the session in good order.
func (c *session) close() { c.disconnect(false) }

// disconnect ends the session, in good order or by a reset.
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
