package node

import (
	"errors"

	"gorseledge/internal/line"
)

const (
	firstLineTimeout = 2.0 // seconds from the accept; clients send their opening line at once
	maxQueuedReplies = 64  // bytes of readiness answers that may wait to be written to one client
)

// handleClientLine handles a line of a client and reports whether it is to be forwarded.
func (n *Node) handleClientLine(c *connection, text []byte) bool {
	if c.flow != nil {
		n.clientLineForwarded(c.flow, len(text))
		return true
	}
	if word, _ := line.Split(text); word == line.Ping {
		n.answerReadiness(c)
		return false
	}
	n.handleOpeningLine(c, text)
	return false
}

// answerReadiness answers a client that asks whether the node is ready. A client that keeps asking must not use memory
// or a descriptor without bound: the queued answers are limited, and firstLineTimeout still counts from the accept.
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

// handleOpeningLine handles a client's opening line. It answers the line itself if the line is invalid or cannot be
// served, and otherwise begins a flow.
func (n *Node) handleOpeningLine(c *connection, text []byte) {
	c.clearDeadline()
	n.idle.remove(c) // its descriptor must not be freed for another client, even if the line is rejected
	c.receivedInput = true
	opening, err := line.ParseOpening(text)
	serviceType, known := n.serviceTypes[opening.Type]
	switch {
	case errors.Is(err, line.ErrNoTimeout):
		n.answer(c, []byte(line.ErrLine), NoTimeout)
	case err != nil:
		n.answer(c, []byte(line.ErrLine), BadLine)
	case c.buffer.Len() > len(text): // clients must wait for the answer before they send more
		n.answer(c, []byte(line.ErrLine), ClientProtocolError)
	case known && n.mayHaveRun(opening, serviceType): // BUSY would promise that it has not run
		n.answer(c, []byte(line.ErrLine), DuplicateFlowID)
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

// beginFlow adds a flow to the balancer. A flow that is already open at a host, by its opening line, goes to that host
// only.
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

// rejectUnplaced counts and rejects a flow that is not added to the balancer.
func (n *Node) rejectUnplaced(c *connection, serviceType int, reason Reason) {
	reply := line.BusyLine(0)
	n.countAccepted()
	n.countFinalAnswer(serviceType, reply)
	n.statistics.Open--
	n.answer(c, reply, reason)
}
