package node

import (
	"gorseledge/internal/line"
	"gorseledge/internal/ring"
	"gorseledge/placement"
)

const (
	maxTransfersInFlight = 8   // connections on their way to the successor at once, as both processes hold them then
	transferFlushTimeout = 0.5 // seconds for what was read to go out; a blocked connection stays here
)

// ConnectionTransfer is an open connection as it goes over to the successor, beside its two descriptors. The JSON names
// are those of the handover between versions.
type ConnectionTransfer struct {
	OpeningLine   string    `json:"First"`
	Host          string    `json:"Host"`  // by name
	FromClient    []byte    `json:"Up"`    // read from the client and not forwarded yet: less than a line
	FromHost      []byte    `json:"Down"`  // read from the host and not forwarded yet: less than a line
	SentAt        []float64 `json:"Waits"` // when lines went to the host that had none back yet, as Unix times
	Load          float64   `json:"Load"`  // reported by the host
	Setup         float64   `json:"Setup"` // seconds until the flow was established
	AcceptedAt    float64   `json:"Since"` // Unix time
	BytesToHost   uint64    `json:"Sent"`
	BytesToClient uint64    `json:"Back"`
}

// beginTransfer begins to hand an open connection over to the successor: nothing more is read of it, and what was read
// goes out first.
func (n *Node) beginTransfer(f *flow) {
	if f.transferring || !f.established || f.over {
		return
	}
	f.transferring = true
	f.transferStartedAt = n.now
	n.upgrade.transfers = append(n.upgrade.transfers, f)
	for _, c := range []*connection{f.client, f.host} {
		if c.readPending {
			n.emit(StopReading{c.id})
		}
	}
}

// ending reports whether a flow has begun to end on either side, so that it ends here.
func (f *flow) ending() bool {
	farSidesOpen := f.client.farEnd == StreamOpen && f.host.farEnd == StreamOpen
	staysOpen := f.client.closeAs == StreamOpen && f.host.closeAs == StreamOpen
	return f.over || !farSidesOpen || !staysOpen || f.finalWord != line.Other
}

// continueTransfers sends the transfers that are ready, a few at a time, and cancels those that cannot go over.
func (n *Node) continueTransfers() {
	remaining := n.upgrade.transfers[:0]
	for _, f := range n.upgrade.transfers {
		if n.continueTransfer(f) {
			remaining = append(remaining, f)
		}
	}
	n.upgrade.transfers = remaining
}

// continueTransfer goes on with one transfer and reports whether it is to be looked at again. A connection whose output
// is blocked is not read, so its end would never be seen: its transfer is canceled in time.
func (n *Node) continueTransfer(f *flow) bool {
	switch {
	case f.inTransit:
		return true
	case !f.transferring:
		return false
	case f.ending():
		n.cancelTransfer(f)
		return false
	case n.upgrade.transfersInFlight >= maxTransfersInFlight:
		return true
	case f.client.quiescent() && f.host.quiescent():
		n.sendTransfer(f)
		return true
	case n.now-f.transferStartedAt > transferFlushTimeout:
		n.cancelTransfer(f)
		return false
	}
	return true
}

// sendTransfer sends a flow's connections to the successor.
func (n *Node) sendTransfer(f *flow) {
	f.inTransit = true
	n.upgrade.transfersInFlight++
	f.client.clearDeadline()
	f.host.clearDeadline()
	n.emit(SendConnection{f.client.id, f.host.id, &ConnectionTransfer{
		OpeningLine:   string(f.openingLine),
		Host:          n.endpoints.hosts[f.hostIndex].name,
		FromClient:    f.client.buffer.Append(nil, 0, f.client.buffer.Len()),
		FromHost:      f.host.buffer.Append(nil, 0, f.host.buffer.Len()),
		SentAt:        f.unansweredSince,
		Load:          f.reportedLoad,
		Setup:         f.setupTime,
		AcceptedAt:    f.client.startedAt,
		BytesToHost:   f.host.bytesWritten,
		BytesToClient: f.client.bytesWritten,
	}})
}

// cancelTransfer goes on with a connection here.
func (n *Node) cancelTransfer(f *flow) {
	f.transferring = false
	n.requestRead(f.client)
	n.requestRead(f.host)
	if !f.over {
		n.awaitAnswer(f)
	}
}

// transferDone handles the result of a transfer: the connection is the successor's, or it could not be sent.
func (n *Node) transferDone(c *connection, ok bool) {
	f := c.flow
	f.inTransit = false
	n.upgrade.transfersInFlight--
	if !ok {
		n.cancelTransfer(f)
		return
	}
	f.transferring = false
	n.figures.Open--
	f.over = true
	n.endAttempt(f, placement.Canceled)
	c.endReason = HandedOver
	n.closeConnection(f.host, false)
	n.closeConnection(c, false)
}

// adoptConnection goes on with an open connection of the predecessor's. One that the settings of this version do not
// allow is closed.
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
		client:          client,
		host:            host,
		serviceType:     serviceType,
		opening:         opening,
		openingLine:     []byte(transfer.OpeningLine),
		hostIndex:       host.hostIndex,
		attemptActive:   true,
		lineSent:        true,
		established:     true,
		setupTime:       transfer.Setup,
		reportedLoad:    transfer.Load,
		unansweredSince: transfer.SentAt,
	}
	client.flow = f
	host.flow = f
	n.resumeFlow(f)
}

// resumeFlow goes on with an adopted flow. If a successor has the clients by now, it goes on to that.
func (n *Node) resumeFlow(f *flow) {
	n.flows.add(f)
	n.figures.Open++
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
	if n.upgrade.clientsHandedOver {
		n.beginTransfer(f)
	}
}

// bufferWith returns an input buffer that holds data, of at most bufferSize bytes.
func bufferWith(data []byte) *ring.Ring {
	buffer := ring.New(bufferSize)
	buffer.Fill(copy(buffer.Space(), data))
	return buffer
}
