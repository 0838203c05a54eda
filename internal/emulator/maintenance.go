package emulator

import "gorseledge/internal/node"

// setHostDisabled administratively disables a host, or enables it again, on every running node. From its confirmation on,
// the checker requires a node to send no flow to the disabled host, regardless of what discovery delivers.
func (s *simulation) setHostDisabled(h *host, disabled bool) {
	question := node.EnableHost
	if disabled {
		question = node.DisableHost
	}
	for _, n := range s.processes() {
		if reply := n.query(node.Query{Question: question, Host: h.name}); !reply.OK {
			continue
		}
		if !disabled {
			delete(n.disabledAt, h.name)
			continue
		}
		if _, known := n.disabledAt[h.name]; !known {
			n.disabledAt[h.name] = s.Now
		}
	}
}

// disableForMaintenance disables a host, restarts it after half of the given duration, and enables it again at the end.
func (s *simulation) disableForMaintenance(h *host, duration float64) {
	if h.state != serving || !h.running {
		return
	}
	s.setHostDisabled(h, true)
	s.After(duration/2, func() {
		if h.state == serving && h.running {
			h.crash()
			s.restartHost(h)
		}
	})
	s.After(duration, func() { s.setHostDisabled(h, false) })
}
