package rig

// Death says when the other nodes learned of the death of a process. Times are seconds after it was killed.
type Death struct {
	Node  int
	First float64 // when the first other node declared it dead
	Last  float64 // when the last one did
	Known int     // number of other nodes that did
}

// Deaths returns the deaths of processes that were killed and stayed down for at least a third of the run, whatever
// other faults there were meanwhile.
func Deaths(s *Script, events []Event) (out []Death) {
	for _, f := range episodes(events) {
		if !faultKinds[f.Kind].staysDown || f.Duration > 0 && f.Duration < s.Duration/3 {
			continue
		}
		for _, node := range f.Nodes {
			d := Death{Node: node}
			informed := map[int]bool{}
			for _, e := range events {
				if e.Kind != eventMember || e.State != memberDead || nodeIndex(e.Member) != node || e.At < f.from || e.At > f.to ||
					informed[e.Node] {
					continue
				}
				informed[e.Node] = true
				if d.Known == 0 {
					d.First = e.At - f.from
				}
				d.Last = e.At - f.from
				d.Known++
			}
			out = append(out, d)
		}
	}
	return out
}
