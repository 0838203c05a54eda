package emulator

import (
	"bytes"

	"gorseledge/internal/node"
)

// ignoringAccepts is a faulty node that ignores the connections that it has accepted.
type ignoringAccepts struct{ Core }

func (c *ignoringAccepts) Apply(now float64, in node.Input) []node.Effect {
	if _, ok := in.(node.Accepted); ok {
		return nil
	}
	return c.Core.Apply(now, in)
}

// answeringTwice is a faulty node that sends each client a rejection before the answer that establishes the connection.
type answeringTwice struct{ Core }

func (c *answeringTwice) Apply(now float64, in node.Input) []node.Effect {
	var out []node.Effect
	for _, e := range c.Core.Apply(now, in) {
		if w, ok := e.(node.Write); ok && bytes.HasPrefix(w.Data, []byte("UP ")) {
			e = node.Write{Conn: w.Conn, Data: append([]byte(busyLine), w.Data...)}
			c.Core = &correctedWriteCount{c.Core, w.Conn, len(w.Data)}
		}
		out = append(out, e)
	}
	return out
}

// correctedWriteCount reports to the core the length of the data that it wrote, without the rejection that answeringTwice put
// before it.
type correctedWriteCount struct {
	Core
	conn  node.ConnID
	count int
}

func (c *correctedWriteCount) Apply(now float64, in node.Input) []node.Effect {
	if w, ok := in.(node.WriteDone); ok && w.Conn == c.conn && w.Count == c.count+len(busyLine) {
		in = node.WriteDone{Conn: w.Conn, Count: c.count}
	}
	return c.Core.Apply(now, in)
}

// holdingAfterEnd is a faulty node that still holds a flow at the end of a run.
type holdingAfterEnd struct{ Core }

func (holdingAfterEnd) Held() (flows, conns, descriptors int) { return 1, 0, 0 }

// dialingTwice is a faulty node that sends some opening lines a second time, over another connection to the same host.
type dialingTwice struct {
	Core
	addresses map[node.ConnID]string // dialed addresses, by connection
	openings  map[node.ConnID][]byte // opening lines for second connections, by second connection
}

// secondConn is added to the ID of a connection for the ID of the second connection.
const secondConn = node.ConnID(1) << 40

func (c *dialingTwice) Apply(now float64, in node.Input) []node.Effect {
	switch in := in.(type) {
	case node.Dialed:
		if opening := c.openings[in.Conn]; opening != nil {
			if in.Err != nil {
				return nil
			}
			return []node.Effect{node.Write{Conn: in.Conn, Data: opening}}
		}
	case node.WriteDone:
		if c.openings[in.Conn] != nil {
			return nil
		}
	}
	out := c.Core.Apply(now, in)
	for _, e := range out {
		switch e := e.(type) {
		case node.Dial:
			c.addresses[e.Conn] = e.Address
		case node.Write:
			address := c.addresses[e.Conn]
			if address != "" && bytes.HasPrefix(e.Data, []byte("OPEN ")) && e.Conn%16 == 0 {
				c.openings[e.Conn+secondConn] = bytes.Clone(e.Data)
				out = append(out, node.Dial{Conn: e.Conn + secondConn, Address: address, Timeout: 1})
			}
		}
	}
	return out
}

// ignoringClientEnd is a faulty node that ignores that a client has closed or reset its connection.
type ignoringClientEnd struct{ Core }

func (c *ignoringClientEnd) Apply(now float64, in node.Input) []node.Effect {
	if done, ok := in.(node.ReadDone); ok && done.Conn%2 == 1 && done.State != node.StreamOpen {
		return nil
	}
	return c.Core.Apply(now, in)
}

// ignoringDrains is a faulty node that treats every host in the list as serving.
type ignoringDrains struct{ Core }

func (c *ignoringDrains) Apply(now float64, in node.Input) []node.Effect {
	if list, ok := in.(node.ListReceived); ok {
		list.List.Hosts = append(list.List.Hosts[:0:0], list.List.Hosts...)
		for i := range list.List.Hosts {
			list.List.Hosts[i].Status = statusServing
		}
		in = list
	}
	return c.Core.Apply(now, in)
}

// ignoringDisable is a faulty node that confirms that a host is disabled but continues to use it.
type ignoringDisable struct{ Core }

func (c *ignoringDisable) Apply(now float64, in node.Input) []node.Effect {
	if q, ok := in.(node.Query); ok && q.Question == node.DisableHost {
		return []node.Effect{node.Reply{OK: true}}
	}
	return c.Core.Apply(now, in)
}
