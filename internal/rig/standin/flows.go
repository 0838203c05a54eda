package standin

import (
	"net"
	"strings"
)

// Flow gives the connection at a host that carries a flow, by the id of its first line; nil where there is none. What is
// written to it goes to the flow's client.
func (h *Hosts) Flow(id string) net.Conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.flows[id]
}

// Flows is how many flows the hosts carry.
func (h *Hosts) Flows() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.flows)
}

// begin notes which flow a connection carries, by its first line.
func (h *Hosts) begin(c net.Conn, first string) (id string) {
	if words := strings.Fields(first); len(words) > 1 {
		id = words[1]
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.flows[id] = c
	return id
}

// end forgets a flow, unless another connection carries it by now.
func (h *Hosts) end(c net.Conn, id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.flows[id] == c {
		delete(h.flows, id)
	}
}
