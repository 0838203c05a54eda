package node

import (
	"gorseledge/internal/line"
	"gorseledge/internal/ring"
	"gorseledge/placement"
)

const (
	mostPassing = 8   // open connections that are on their way to the successor at once: both processes hold them then
	liftWithin  = 0.5 // for what was read to go out; a far side that takes nothing keeps its connection here
)

// ConnectionTransfer is an open connection as it goes over to the successor, beside its two descriptors.
type ConnectionTransfer struct {
	OpeningLine   string    `json:"First"` // the client's first line
	Host          string    `json:"Host"`
	FromClient    []byte    `json:"Up"`   // read from the client and from the host, and not yet passed on: less than a line
	FromHost      []byte    `json:"Down"` // read from the client and from the host, and not yet passed on: less than a line
	SentAt        []float64 `json:"Waits"`
	Load          float64   `json:"Load"`
	Setup         float64   `json:"Setup"`
	AcceptedAt    float64   `json:"Since"`
	BytesToHost   uint64    `json:"Sent"` // bytes passed on to the host and to the client
	BytesToClient uint64    `json:"Back"` // bytes passed on to the host and to the client
}

// lift begins to hand an open connection to the successor: nothing more is read of it, and what is read goes out first.
func (n *Node) lift(f *flow) {
	if f.lifting || !f.established || f.over {
		return
	}
	f.lifting, f.liftAt = true, n.now
	n.lifts = append(n.lifts, f)
	for _, c := range []*conn{f.client, f.host} {
		if c.reading {
			n.ask(StopReading{c.id})
		}
	}
}

// still tells whether nothing is under way on a connection, and nothing of it is left to be passed on.
func (c *conn) still() bool {
	return c.up && !c.reading && c.writing == 0 && c.ready == 0 && len(c.own) == 0 && !c.closed
}

// liftOn sends on what is ready to go, a few at a time. Whose end has begun meanwhile ends here.
func (n *Node) liftOn() {
	left := n.lifts[:0]
	for _, f := range n.lifts {
		c, h := f.client, f.host
		switch {
		case f.passing:
		case !f.lifting:
			continue
		case f.over || c.ended != Open || h.ended != Open || c.finish != Open || h.finish != Open || f.last != line.Other:
			n.unlift(f)
			continue
		case n.now-f.liftAt > liftWithin && n.passing < mostPassing && !(c.still() && h.still()):
			n.unlift(f) // guards against an end that is never seen, as nothing is read any more
			continue
		case n.passing < mostPassing && c.still() && h.still():
			f.passing = true
			n.passing++
			c.calm()
			h.calm()
			n.ask(SendConnection{c.id, h.id, &ConnectionTransfer{OpeningLine: string(f.first), Host: n.hosts[f.on].name, FromClient: c.in.Append(nil, 0, c.in.Len()),
				FromHost: h.in.Append(nil, 0, h.in.Len()), SentAt: f.waits, Load: f.load, Setup: f.setup, AcceptedAt: c.since,
				BytesToHost: h.passed, BytesToClient: c.passed}})
		}
		left = append(left, f)
	}
	n.lifts = left
}

// unlift goes on with a connection here.
func (n *Node) unlift(f *flow) {
	f.lifting = false
	for _, c := range []*conn{f.client, f.host} {
		n.read(c)
	}
	if !f.over && len(f.waits) > 0 {
		n.wait(f.host, max(f.waits[0]+quietAfter-n.now, 0))
	}
}

// passed takes the news that a connection is the successor's, or that it could not be sent.
func (n *Node) passed(c *conn, ok bool) {
	f := c.flow
	f.passing = false
	n.passing--
	if !ok {
		n.unlift(f)
		return
	}
	f.lifting = false
	n.figures.Open--
	f.over, f.out = true, false
	n.module.AttemptEnded(n.now, f.id, f.try, placement.Canceled, true)
	n.touched = append(n.touched, f.id)
	c.reason = HandedOver
	n.close(f.host, false)
	n.close(c, false)
}

// adopt goes on with an open connection of the predecessor's.
func (n *Node) adopt(id Conn, p *ConnectionTransfer) {
	c := n.newConn(id, client)
	c.up, c.heard, c.since, c.passed = true, true, p.AcceptedAt, p.BytesToClient
	n.dialed += 2
	h := n.newConn(n.dialed, server)
	h.up, h.host, h.passed = true, n.host(p.Host), p.BytesToHost
	n.ask(BindHostConnection{Conn: h.id, Client: id})
	n.lent = max(n.lent-2, 0)
	o, err := line.ParseOpening([]byte(p.OpeningLine))
	kind, known := n.types[o.Type]
	if err != nil || !known || len(p.FromClient) > ringSize || len(p.FromHost) > ringSize { // the settings changed with the version
		c.reason = UnknownType
		n.close(h, true)
		n.close(c, true)
		return
	}
	f := &flow{client: c, host: h, kind: kind, opening: o, first: []byte(p.OpeningLine), on: h.host, out: true, sent: true,
		established: true, setup: p.Setup, load: p.Load, waits: p.SentAt}
	c.flow, h.flow = f, f
	c.in, h.in = filled(p.FromClient), filled(p.FromHost)
	n.place(f)
	n.figures.Open++
	a := n.arrival(f)
	n.module.RestoreFlow(n.now, f.id, a, f.on)
	if f.load > 0 {
		n.module.ReportLoad(f.id, f.load)
	}
	n.tellSuccessor(HandoverUpdate{Established: n.sitting(f)})
	if len(f.waits) > 0 {
		n.wait(h, max(f.waits[0]+quietAfter-n.now, 0))
	}
	n.scan(c)
	n.scan(h)
	n.read(c)
	n.read(h)
	if n.given {
		n.lift(f)
	}
}

func filled(with []byte) *ring.Ring {
	r := ring.New(ringSize)
	r.Fill(copy(r.Space(), with))
	return r
}
