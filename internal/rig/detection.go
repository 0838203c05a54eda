package rig

// Death describes how the other nodes detected the death of a process. Times are in seconds after the process was killed.
type Death struct {
	Node  int     // index of the node whose process was killed
	First float64 // when the first other node declared it dead
	Last  float64 // when the last node that did so declared it dead
	Known int     // number of other nodes that declared it dead
}

// Deaths returns the deaths of processes that were killed and stayed down for at least a third of the run. Other faults
// during that time make no difference.
func Deaths(s *Script, events []Event) (out []Death) {
	for _, f := range activeFaults(events) {
		if !faultKinds[f.Kind].staysDown || f.Duration > 0 && f.Duration < s.Duration/3 {
			continue
		}
		for _, node := range f.Nodes {
			d := Death{Node: node}
			declared := map[int]bool{}
			for _, e := range events {
				if e.Kind != eventMember || e.State != memberDead || nodeIndex(e.Member) != node || e.At < f.from || e.At > f.to ||
					declared[e.Node] {
					continue
				}
				declared[e.Node] = true
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
