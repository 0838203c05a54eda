package standin

import (
	"net"
	"strings"
)

// FlowConnection gives the connection at a host that carries a flow, by the id of its first line; nil where there is none. What is
// written to it goes to the flow's client.
func (h *Hosts) FlowConnection(id string) net.Conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.flows[id]
}

// FlowCount is how many flows the hosts carry.
func (h *Hosts) FlowCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.flows)
}

// addFlow notes which flow a connection carries, by its first line.
func (h *Hosts) addFlow(c net.Conn, first string) (id string) {
	if words := strings.Fields(first); len(words) > 1 {
		id = words[1]
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.flows[id] = c
	return id
}

// removeFlow forgets a flow, unless another connection carries it by now.
func (h *Hosts) removeFlow(c net.Conn, id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.flows[id] == c {
		delete(h.flows, id)
	}
}
