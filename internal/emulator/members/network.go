package members

import (
	"gorseledge/internal/membership"
	"gorseledge/internal/membership/wire"
)

// maxQueuedMessages is the number of messages for which the socket buffer of a paused process has room. Further ones are lost.
const maxQueuedMessages = 200

// apply carries out the effects of a node's core.
func (s *Simulation) apply(i int, effects []membership.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case membership.Send:
			s.send(i, e.To, e.Message)
		case membership.Changed:
			s.Events = append(s.Events, Event{At: s.Now, Node: i, Changed: e})
		case membership.Replaced:
			s.nodes[i].replaced = true
		}
	}
}

// send counts a message and delivers it, unless the network loses it.
func (s *Simulation) send(from int, address string, msg *wire.Message) {
	size := s.Size(msg)
	s.SentBytes[from] += size
	s.SentMessages[from]++
	s.LargestMessage = max(s.LargestMessage, size)
	to, found := s.byAddress[address]
	if !found || s.cutLinks[link{from, to}] || s.random.Float64() < s.Loss {
		return
	}
	copies := 1
	if s.random.Float64() < s.Duplicate {
		copies = 2
	}
	for range copies {
		delay := s.Delay * (0.5 + s.random.Float64())
		s.After(delay, func() { s.receive(to, msg) })
	}
}

// receive delivers a message to a node. For a paused node it is queued, as in the buffer of a real socket.
func (s *Simulation) receive(i int, msg *wire.Message) {
	n := s.nodes[i]
	if n.ended {
		return
	}
	if !n.paused {
		s.apply(i, n.Receive(s.Now, msg))
		s.schedule(i)
		return
	}
	if len(n.queued) < maxQueuedMessages {
		n.queued = append(n.queued, msg)
	}
}

// Inject delivers a message to a node unchanged, regardless of the sender that it names.
func (s *Simulation) Inject(to int, msg *wire.Message) {
	s.After(0, func() { s.receive(to, msg) })
}
