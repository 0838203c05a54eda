package members

// Cut cuts the link from one node to another, or restores it. The other direction stays as it is.
func (s *Simulation) Cut(from, to int, cut bool) {
	if cut {
		s.cutLinks[link{from, to}] = true
		return
	}
	delete(s.cutLinks, link{from, to})
}

// Kill ends a process without a message to the others.
func (s *Simulation) Kill(i int) { s.nodes[i].ended = true }

// Leave has a node announce that it leaves, and ends it.
func (s *Simulation) Leave(i int) {
	s.apply(i, s.nodes[i].Members.Leave(s.Now))
	s.nodes[i].ended = true
}

// Pause stops a process until Resume. What it receives meanwhile is queued, up to a limit.
func (s *Simulation) Pause(i int) { s.nodes[i].paused = true }

// Resume has a paused process go on: its timer is late, and it receives what was queued.
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
