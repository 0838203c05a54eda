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
	nodes  map[netip.AddrPort]bool // addresses of the other nodes
}

// Listen opens a socket at the address own for load gossip with the nodes at the given addresses, which may include own.
// Serve closes the socket. An error names the invalid address.
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

// Send sends the loads to every other node in as few messages as possible. Lost messages are not sent again, because the
// other nodes later learn the loads from their own health checks.
func (l *Link) Send(loads []HostLoad) {
	var messages [][]byte
	for batch := range slices.Chunk(loads, MaxLoads) {
		messages = append(messages, Append(nil, batch))
	}
	l.socket.Send(messages, slices.Collect(maps.Keys(l.nodes))...)
}

// Serve passes the loads that the other nodes send to receive until the context ends, and then closes the socket. Datagrams
// from other addresses and invalid messages are dropped. It always returns nil.
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
