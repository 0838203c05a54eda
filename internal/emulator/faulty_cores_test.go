package emulator

import (
	"bytes"

	"gorseledge/internal/node"
)

// ignoringAccepts is a node that accepts connections and does not handle them.
type ignoringAccepts struct{ Core }

func (c *ignoringAccepts) Apply(now float64, in node.Input) []node.Effect {
	if _, ok := in.(node.Accepted); ok {
		return nil
	}
	return c.Core.Apply(now, in)
}

// answeringTwice is a node that rejects each client before it establishes its connection.
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

// correctedWriteCount gives the core the count of the write that it asked for, before one was added to it.
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

// holdingAfterEnd is a node that holds a flow to the end.
type holdingAfterEnd struct{ Core }

func (holdingAfterEnd) Held() (flows, conns, descriptors int) { return 1, 0, 0 }

// dialingTwice is a node that sends some first lines over a second connection as well.
type dialingTwice struct {
	Core
	addresses map[node.ConnID]string // that were dialed
	openings  map[node.ConnID][]byte // first lines of second connections
}

// secondConn is the distance of the number of a second connection from the first.
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

// ignoringClientEnd is a node that does not notice that a client has left.
type ignoringClientEnd struct{ Core }

func (c *ignoringClientEnd) Apply(now float64, in node.Input) []node.Effect {
	if done, ok := in.(node.ReadDone); ok && done.Conn%2 == 1 && done.State != node.StreamOpen {
		return nil
	}
	return c.Core.Apply(now, in)
}

// ignoringDrains is a node that takes every host in the list as serving.
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

// ignoringDisable is a node that confirms that a host is disabled and goes on using it.
type ignoringDisable struct{ Core }

func (c *ignoringDisable) Apply(now float64, in node.Input) []node.Effect {
	if q, ok := in.(node.Query); ok && q.Question == node.DisableHost {
		return []node.Effect{node.Reply{OK: true}}
	}
	return c.Core.Apply(now, in)
}
