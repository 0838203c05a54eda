package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"

	"gorseledge/internal/discovery/endpoint"
)

// firstHostNumber is the number in the name of the first host; further hosts are numbered from there.
const firstHostNumber = 100

// Hosts are backend hosts that accept every flow and echo every line. Use StartHosts; the zero value is not usable.
// The methods are safe for concurrent use.
type Hosts struct {
	listeners []net.Listener
	group     sync.WaitGroup // accept loops and connections

	mu          sync.Mutex // protects the fields below
	connections map[net.Conn]bool
	flows       map[string]net.Conn // by flow ID
}

// StartHosts starts count hosts, each with a listener of its own. The caller must close them.
func StartHosts(count int) (*Hosts, error) {
	h := &Hosts{connections: map[net.Conn]bool{}, flows: map[string]net.Conn{}}
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			h.Close()
			return nil, fmt.Errorf("starting host %d: %w", i, err)
		}
		h.listeners = append(h.listeners, listener)
		h.group.Go(func() { h.accept(i, listener) })
	}
	return h, nil
}

// EndpointList returns a complete endpoint list with all hosts serving in one zone.
func (h *Hosts) EndpointList(index int64) endpoint.List {
	list := endpoint.List{Index: index, Complete: true}
	for i, listener := range h.listeners {
		list.Hosts = append(list.Hosts, endpoint.Host{
			Name:    fmt.Sprintf("s-%08x", firstHostNumber+i),
			Address: listener.Addr().String(),
			Zone:    "a",
			Status:  "SERVING",
			Weight:  1,
		})
	}
	return list
}

// FlowConnection returns the host's connection that carries a flow, or nil if no host carries it. Data written to the
// connection is sent to the flow's client.
func (h *Hosts) FlowConnection(id string) net.Conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.flows[id]
}

// FlowCount returns the number of flows that the hosts carry.
func (h *Hosts) FlowCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.flows)
}

// Close closes the listeners and all connections and waits until their goroutines have ended.
func (h *Hosts) Close() {
	for _, listener := range h.listeners {
		listener.Close()
	}
	h.closeConnections()
	h.group.Wait()
}

// closeConnections closes the open connections. Their goroutines then remove them from the map.
func (h *Hosts) closeConnections() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for connection := range h.connections {
		connection.Close()
	}
}

// accept serves the connections to one host until its listener is closed.
func (h *Hosts) accept(host int, listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		h.addConnection(connection)
		h.group.Go(func() {
			defer h.removeConnection(connection)
			h.serve(host, connection)
		})
	}
}

// serve answers the lines of a connection until it ends. It accepts requests to open a flow, answers health checks and echoes
// all other lines.
func (h *Hosts) serve(host int, connection net.Conn) {
	defer connection.Close()
	in := bufio.NewReader(connection)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		switch {
		case strings.HasPrefix(line, "OPEN "):
			id := h.addFlow(connection, line)
			defer h.removeFlow(connection, id)
			line = fmt.Sprintf("UP h%d\r\n", host)
		case strings.HasPrefix(line, "PING"), strings.HasPrefix(line, "STATS"):
			line = "PONG\r\n"
		}
		if _, err := io.WriteString(connection, line); err != nil {
			return
		}
	}
}

func (h *Hosts) addConnection(connection net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.connections[connection] = true
}

func (h *Hosts) removeConnection(connection net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.connections, connection)
}

// addFlow records the flow that a connection carries and returns its ID, which is the second word of the opening line.
func (h *Hosts) addFlow(connection net.Conn, opening string) (id string) {
	if fields := strings.Fields(opening); len(fields) > 1 {
		id = fields[1]
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.flows[id] = connection
	return id
}

// removeFlow removes a flow unless it is now carried by another connection.
func (h *Hosts) removeFlow(connection net.Conn, id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.flows[id] == connection {
		delete(h.flows, id)
	}
}
