package peers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"
)

const (
	sendTimeout   = 20 * time.Millisecond // for all datagrams of a call; what the system does not take by then is lost
	readErrorWait = sendTimeout           // after an error, before the next read
)

// ParseAddress parses the address of one node: an IP address and a port, as names are not looked up. An IPv4 address
// that is mapped to IPv6 counts as the IPv4 address.
func ParseAddress(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, err
	}
	if address.Port() == 0 || address.Addr().IsUnspecified() {
		return netip.AddrPort{}, fmt.Errorf("%q is not the address of a single node", text)
	}
	return unmap(address), nil
}

// unmap returns the IPv4 address in place of one that is mapped to IPv6.
func unmap(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// Socket carries datagrams among nodes. Its methods may be called from several goroutines.
type Socket struct{ conn *net.UDPConn }

// Open opens a node's own address. The caller closes the socket, unless it calls Serve with a context that ends.
func Open(ctx context.Context, own string) (*Socket, error) {
	if _, err := ParseAddress(own); err != nil {
		return nil, fmt.Errorf("own address: %w", err)
	}
	var config net.ListenConfig
	conn, err := config.ListenPacket(ctx, "udp", own)
	if err != nil {
		return nil, fmt.Errorf("open the socket for other nodes: %w", err)
	}
	return &Socket{conn: conn.(*net.UDPConn)}, nil
}

// Send sends each datagram to each address. One that cannot be sent is lost, as one that the network loses.
func (s *Socket) Send(datagrams [][]byte, to ...netip.AddrPort) {
	s.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	for _, datagram := range datagrams {
		for _, address := range to {
			s.conn.WriteToUDPAddrPort(datagram, address)
		}
	}
}

// Serve passes received datagrams to receive until the context ends or the socket is closed; where the context ends, it
// closes the socket. A datagram that is longer than maxBytes is cut to one byte more, which shows that it is too long.
// The datagram is valid until receive returns. Serve returns nil.
func (s *Socket) Serve(ctx context.Context, maxBytes int, receive func(datagram []byte, from netip.AddrPort)) error {
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	buffer := make([]byte, maxBytes+1)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err == nil {
			receive(buffer[:n], unmap(from))
			continue
		}
		// An earlier datagram did not reach anybody, which does not harm the socket.
		select {
		case <-time.After(readErrorWait):
		case <-ctx.Done():
			return nil
		}
	}
}

// Close closes the socket. It may be called at any time, and more than once.
func (s *Socket) Close() { s.conn.Close() }
