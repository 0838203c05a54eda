package node

import (
	"errors"

	"gorseledge/internal/line"
)

const (
	firstLineTimeout = 2.0 // seconds from the accept; clients send their opening line at once
	maxQueuedReplies = 64  // bytes of readiness answers that may wait for one client
)

// handleClientLine handles a line of a client and reports whether it is to be forwarded.
func (n *Node) handleClientLine(c *connection, text []byte) bool {
	if c.flow != nil {
		n.clientLineForwarded(c.flow)
		return true
	}
	if word, _ := line.Split(text); word == line.Ping {
		n.answerReadiness(c)
		return false
	}
	n.handleOpeningLine(c, text)
	return false
}

// answerReadiness answers a client that asks whether the node is ready. Neither the answers nor the time of a client
// that asks on and on may grow without bound, so the answers are limited and firstLineTimeout runs on from the accept.
func (n *Node) answerReadiness(c *connection) {
	c.readinessChecked = true
	reply := line.ErrLine
	if n.isReady() {
		reply = line.PongLine
	}
	c.ownOutput = append(c.ownOutput, reply...)
	if len(c.ownOutput) > maxQueuedReplies {
		n.answer(c, []byte(line.ErrLine), ClientProtocolError)
	}
	n.flush(c)
}

// handleOpeningLine handles a client's opening line: it is refused here for what is wrong with it, or a flow begins.
func (n *Node) handleOpeningLine(c *connection, text []byte) {
	c.clearDeadline()
	n.idle.remove(c) // whatever comes of it, its descriptor is not taken for another client
	c.receivedInput = true
	opening, err := line.ParseOpening(text)
	serviceType, known := n.serviceTypes[opening.Type]
	switch {
	case errors.Is(err, line.ErrNoTimeout):
		n.answer(c, []byte(line.ErrLine), NoTimeout)
	case err != nil:
		n.answer(c, []byte(line.ErrLine), BadLine)
	case c.buffer.Len() > len(text): // a client waits for its answer
		n.answer(c, []byte(line.ErrLine), ClientProtocolError)
	case n.flows.ids.conflicts(opening):
		n.answer(c, line.BusyLine(0), DuplicateFlowID)
	case !known:
		n.answer(c, []byte(line.ErrLine), UnknownType)
	case !n.canAffordDescriptor():
		n.rejectUnplaced(c, serviceType, NoDescriptors)
	case n.refusesNewFlows():
		n.rejectUnplaced(c, serviceType, ShuttingDown)
	default:
		openingLine := append([]byte(nil), text...)
		n.beginFlow(c, &flow{
			client: c, serviceType: serviceType, attempt: -1, opening: opening, openingLine: openingLine,
		})
	}
}

// beginFlow gives a flow to the balancer. A flow that says that it is open at a host goes to that host alone.
func (n *Node) beginFlow(c *connection, f *flow) {
	hostName := f.opening.RestoredHost
	host, listed := n.endpoints.byName[hostName]
	if hostName != "" && (!listed || n.endpoints.hosts[host].address == "") {
		n.rejectUnplaced(c, f.serviceType, UnknownHost)
		return
	}
	n.countAccepted()
	c.flow = f
	n.flows.add(f)
	arrival := n.arrivalOf(f)
	if hostName == "" {
		n.balancer.AddFlow(n.now, f.index, arrival)
		return
	}
	f.restored = true
	n.balancer.RestoreFlow(n.now, f.index, arrival, host)
	n.startAttempt(f, host, f.opening.Timeout)
}

// rejectUnplaced rejects a flow that the balancer is not given.
func (n *Node) rejectUnplaced(c *connection, serviceType int, reason Reason) {
	reply := line.BusyLine(0)
	n.countAccepted()
	n.countFinalAnswer(serviceType, reply)
	n.figures.Open--
	n.answer(c, reply, reason)
}
