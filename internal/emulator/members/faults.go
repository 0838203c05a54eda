package members

// Cut cuts or restores one direction of the link between two nodes. The other direction is not changed.
func (s *Simulation) Cut(from, to int, cut bool) {
	if cut {
		s.cutLinks[link{from, to}] = true
		return
	}
	delete(s.cutLinks, link{from, to})
}

// Kill ends a process without notifying the others.
func (s *Simulation) Kill(i int) { s.nodes[i].ended = true }

// Leave makes a node announce that it leaves, and ends its process.
func (s *Simulation) Leave(i int) {
	s.apply(i, s.nodes[i].Members.Leave(s.Now))
	s.nodes[i].ended = true
}

// Pause suspends a process until Resume. Messages that arrive in between are queued, up to a limit.
func (s *Simulation) Pause(i int) { s.nodes[i].paused = true }

// Resume continues a paused process, which first handles its overdue timer and then the queued messages.
func (s *Simulation) Resume(i int) {
	n := s.nodes[i]
	if n.ended || !n.paused {
		return
	}
	n.paused = false
	queued := n.queued
	n.queued = nil
	s.apply(i, n.Tick(s.Now))
	for _, msg := range queued {
		s.apply(i, n.Receive(s.Now, msg))
	}
	s.schedule(i)
}
