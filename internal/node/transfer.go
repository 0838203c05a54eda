package node

import (
	"gorseledge/internal/line"
	"gorseledge/internal/ring"
	"gorseledge/placement"
)

const (
	maxTransfersInFlight = 8   // flows in transit at the same time, as both processes hold their descriptors then
	transferFlushTimeout = 0.5 // seconds to write out the input that was read; a blocked connection is not transferred
)

// ConnectionTransfer is the state of an established flow that is sent to the successor together with the descriptors of
// its two connections. The JSON names are part of the handover protocol between versions.
type ConnectionTransfer struct {
	OpeningLine   string    `json:"First"`
	Host          string    `json:"Host"`  // name of the host
	FromClient    []byte    `json:"Up"`    // incomplete line that was read from the client and not forwarded yet
	FromHost      []byte    `json:"Down"`  // incomplete line that was read from the host and not forwarded yet
	SentAt        []float64 `json:"Waits"` // Unix times at which the lines that the host has not answered were sent to it
	Load          float64   `json:"Load"`  // load that the host reported last
	Setup         float64   `json:"Setup"` // seconds from accepting the client until the flow was established
	AcceptedAt    float64   `json:"Since"` // Unix time at which the client was accepted
	BytesToHost   uint64    `json:"Sent"`
	BytesToClient uint64    `json:"Back"`
}

// beginTransfer begins to hand an established flow over to the successor. Nothing more is read from its connections, and
// the complete lines that were read are forwarded first.
func (n *Node) beginTransfer(f *flow) {
	if f.transferring || !f.established || f.ended {
		return
	}
	f.transferring = true
	f.transferStartedAt = n.now
	n.upgrade.transfers.add(f)
	for _, c := range []*connection{f.client, f.host} {
		if c.readPending {
			n.emit(StopReading{c.id})
		}
	}
}

// ending reports whether a flow has begun to end on either side, so that it is not transferred but ends in this process.
func (f *flow) ending() bool {
	farSidesOpen := f.client.inputState == StreamOpen && f.host.inputState == StreamOpen
	staysOpen := f.client.pendingClose == StreamOpen && f.host.pendingClose == StreamOpen
	return f.ended || !farSidesOpen || !staysOpen || f.finalWord != line.Other
}

// quiescent reports whether both connections of a flow are.
func (f *flow) quiescent() bool { return f.client.quiescent() && f.host.quiescent() }

// continueTransfers sends the flows that are ready for their transfer, up to maxTransfersInFlight at a time, and cancels the
// transfer of those that cannot be sent.
func (n *Node) continueTransfers() {
	for _, f := range n.upgrade.transfers.takeChanged() {
		n.checkTransfer(f)
	}
	n.sendReadyTransfers()
	n.cancelLateTransfers()
}

// checkTransfer notes that a flow is ready for its transfer, or cancels the transfer if the flow is ending.
func (n *Node) checkTransfer(f *flow) {
	switch {
	case !f.awaitsTransfer():
	case f.ending():
		n.cancelTransfer(f)
	case f.quiescent():
		n.upgrade.transfers.addReady(f)
	}
}

// sendReadyTransfers sends the flows that are ready, as long as fewer than maxTransfersInFlight are in transit.
func (n *Node) sendReadyTransfers() {
	transfers := &n.upgrade.transfers
	for len(transfers.ready) > 0 && transfers.inFlight < maxTransfersInFlight {
		f := transfers.takeReady()
		switch {
		case !f.awaitsTransfer():
		case f.ending():
			n.cancelTransfer(f)
		case f.quiescent():
			n.sendTransfer(f)
		}
	}
}

// cancelLateTransfers cancels the transfers of flows that have not become ready within transferFlushTimeout. Nothing is
// read from a flow while it is transferring, so if its output is blocked, its end would never be seen.
func (n *Node) cancelLateTransfers() {
	transfers := &n.upgrade.transfers
	for len(transfers.waiting) > 0 {
		f := transfers.waiting[0]
		inTime := f.transferReady || n.now-f.transferStartedAt <= transferFlushTimeout
		if f.awaitsTransfer() && inTime {
			return
		}
		transfers.waiting = transfers.waiting[1:]
		if f.awaitsTransfer() {
			n.cancelTransfer(f)
		}
	}
}

// sendTransfer sends a flow's connections to the successor.
func (n *Node) sendTransfer(f *flow) {
	f.inTransit = true
	n.upgrade.transfers.inFlight++
	f.client.clearDeadline()
	f.host.clearDeadline()
	n.emit(SendConnection{f.client.id, f.host.id, &ConnectionTransfer{
		OpeningLine:   string(f.openingLine),
		Host:          n.endpoints.hosts[f.hostIndex].name,
		FromClient:    f.client.buffer.Append(nil, 0, f.client.buffer.Len()),
		FromHost:      f.host.buffer.Append(nil, 0, f.host.buffer.Len()),
		SentAt:        sentTimes(f.unanswered),
		Load:          f.reportedLoad,
		Setup:         f.setupTime,
		AcceptedAt:    f.client.startedAt,
		BytesToHost:   f.host.bytesWritten,
		BytesToClient: f.client.bytesWritten,
	}})
}

// cancelTransfer keeps a flow in this process and resumes reading from its connections.
func (n *Node) cancelTransfer(f *flow) {
	n.upgrade.transfers.remove(f)
	n.shutdown.addEstablished(f)
	n.requestRead(f.client)
	n.requestRead(f.host)
	if !f.ended {
		n.awaitAnswer(f)
	}
}

// transferDone handles the result of a transfer. With ok, the successor has the connections; otherwise they stay here.
func (n *Node) transferDone(c *connection, ok bool) {
	f := c.flow
	f.inTransit = false
	n.upgrade.transfers.inFlight--
	if !ok {
		n.cancelTransfer(f)
		return
	}
	n.upgrade.transfers.remove(f)
	n.statistics.Open--
	f.ended = true
	n.endAttempt(f, placement.Canceled)
	c.endReason = HandedOver
	n.closeConnection(f.host, false)
	n.closeConnection(c, false)
}

// adoptConnection resumes a flow that the predecessor transferred. If this version of the program cannot handle the
// flow, its connections are closed.
func (n *Node) adoptConnection(id ConnID, transfer *ConnectionTransfer) {
	client := n.connections.add(id, clientRole, n.now)
	client.connected = true
	client.receivedInput = true
	client.startedAt = transfer.AcceptedAt
	client.bytesWritten = transfer.BytesToClient
	host := n.connections.addDialed(hostRole, n.now)
	host.connected = true
	host.hostIndex = n.endpoints.indexOf(transfer.Host)
	host.bytesWritten = transfer.BytesToHost
	n.emit(BindHostConnection{Conn: host.id, Client: id})
	n.connections.reserved = max(n.connections.reserved-descriptorsPerFlow, 0)

	opening, err := line.ParseOpening([]byte(transfer.OpeningLine))
	serviceType, known := n.serviceTypes[opening.Type]
	if err != nil || !known || len(transfer.FromClient) > bufferSize || len(transfer.FromHost) > bufferSize {
		client.endReason = UnknownType
		n.closeConnection(host, true)
		n.closeConnection(client, true)
		return
	}
	client.buffer = bufferWith(transfer.FromClient)
	host.buffer = bufferWith(transfer.FromHost)
	f := &flow{
		client:        client,
		host:          host,
		serviceType:   serviceType,
		opening:       opening,
		openingLine:   []byte(transfer.OpeningLine),
		hostIndex:     host.hostIndex,
		attemptActive: true,
		lineSent:      true,
		established:   true,
		setupTime:     transfer.Setup,
		reportedLoad:  transfer.Load,
		unanswered:    unansweredLines(transfer.SentAt),
	}
	client.flow = f
	host.flow = f
	n.resumeFlow(f)
}

// resumeFlow resumes a flow that was transferred to this process. If a successor serves the clients by now, the flow is
// transferred to that one.
func (n *Node) resumeFlow(f *flow) {
	n.flows.add(f)
	n.statistics.Open++
	n.balancer.RestoreFlow(n.now, f.index, n.arrivalOf(f), f.hostIndex)
	if f.reportedLoad > 0 {
		n.balancer.ReportLoad(f.index, f.reportedLoad)
	}
	n.notifySuccessor(HandoverUpdate{Established: n.describeConnection(f)})
	n.awaitAnswer(f)
	n.scanLines(f.client)
	n.scanLines(f.host)
	n.requestRead(f.client)
	n.requestRead(f.host)
	n.shutdown.addEstablished(f)
	if n.upgrade.clientsHandedOver {
		n.beginTransfer(f)
	}
}

// bufferWith returns an input buffer that contains data, which may have at most bufferSize bytes.
func bufferWith(data []byte) *ring.Ring {
	buffer := ring.New(bufferSize)
	buffer.Fill(copy(buffer.Space(), data))
	return buffer
}

// sentTimes returns when unanswered lines were sent.
func sentTimes(lines []unansweredLine) []float64 {
	var times []float64
	for _, line := range lines {
		times = append(times, line.sentAt)
	}
	return times
}

// unansweredLines returns the lines that were sent at the given times, and whose sizes the predecessor does not tell.
func unansweredLines(times []float64) []unansweredLine {
	var lines []unansweredLine
	for _, time := range times {
		lines = append(lines, unansweredLine{sentAt: time})
	}
	return lines
}
