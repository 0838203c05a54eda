package peers

import (
	"context"
	"maps"
	"net/netip"
	"slices"
)

// Link is a node's socket for words.
type Link struct {
	socket *Socket
	nodes  map[netip.AddrPort]bool // the others
}

// Listen opens a node's own address for messages to the nodes named, itself left out, and from them.
func Listen(ctx context.Context, own string, nodes []string) (*Link, error) {
	self, err := ParseAddress(own)
	if err != nil {
		return nil, err
	}
	l := &Link{nodes: map[netip.AddrPort]bool{}}
	for _, text := range nodes {
		at, err := ParseAddress(text)
		if err != nil {
			return nil, err
		}
		if at != self {
			l.nodes[at] = true
		}
	}
	if l.socket, err = Open(ctx, own); err != nil {
		return nil, err
	}
	return l, nil
}

// Send sends the words to every other node, in as few messages as they take. One that cannot be sent is lost: the
// others learn the same by their own probes, later.
func (l *Link) Send(words []HostLoad) {
	var texts [][]byte
	for ; len(words) > 0; words = words[min(len(words), MaxLoads):] {
		texts = append(texts, Append(nil, words))
	}
	l.socket.Send(texts, slices.Collect(maps.Keys(l.nodes))...)
}

// Serve hands on what the other nodes say, until the context ends; what nobody else may say is dropped.
func (l *Link) Serve(ctx context.Context, hear func([]HostLoad)) error {
	return l.socket.Serve(ctx, MaxMessageBytes, func(text []byte, from netip.AddrPort) {
		if words := Parse(text); l.nodes[from] && len(words) > 0 {
			hear(words)
		}
	})
}
