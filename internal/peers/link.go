package peers

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
)

// Link exchanges load gossip with a fixed set of nodes. Its methods may be called from several goroutines.
type Link struct {
	socket *Socket
	nodes  map[netip.AddrPort]bool // the other nodes
}

// Listen opens a node's own address for load gossip with the nodes named, which may contain the node itself. Serve closes
// the socket. An error says which address it is about.
func Listen(ctx context.Context, own string, nodes []string) (*Link, error) {
	self, err := ParseAddress(own)
	if err != nil {
		return nil, fmt.Errorf("own address: %w", err)
	}
	others := map[netip.AddrPort]bool{}
	for _, text := range nodes {
		address, err := ParseAddress(text)
		if err != nil {
			return nil, fmt.Errorf("address of another node: %w", err)
		}
		if address != self {
			others[address] = true
		}
	}
	socket, err := Open(ctx, own)
	if err != nil {
		return nil, err
	}
	return &Link{socket: socket, nodes: others}, nil
}

// Send sends the loads to every other node, in as few messages as they fit into. Lost messages are not repeated: the
// others learn the same from their own health checks, later.
func (l *Link) Send(loads []HostLoad) {
	var messages [][]byte
	for batch := range slices.Chunk(loads, MaxLoads) {
		messages = append(messages, Append(nil, batch))
	}
	l.socket.Send(messages, slices.Collect(maps.Keys(l.nodes))...)
}

// Serve passes what the other nodes send to receive, until the context ends, and closes the socket then. Datagrams of
// other senders, and those that are not messages, are dropped. It returns nil.
func (l *Link) Serve(ctx context.Context, receive func([]HostLoad)) error {
	return l.socket.Serve(ctx, MaxMessageBytes, func(datagram []byte, from netip.AddrPort) {
		if !l.nodes[from] {
			return
		}
		if loads := Parse(datagram); len(loads) > 0 {
			receive(loads)
		}
	})
}
