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
	sendTimeout   = 20 * time.Millisecond // time limit of a call of Send; datagrams not sent by then are dropped
	readErrorWait = sendTimeout           // delay between a read error and the next read
)

// ParseAddress parses the address of a single node: a numeric IP address and a port. Host names are not resolved. An IPv4
// address that is mapped to IPv6 is returned as the IPv4 address.
func ParseAddress(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, err
	}
	if address.Port() == 0 || address.Addr().IsUnspecified() {
		return netip.AddrPort{}, fmt.Errorf("%q must have a specific IP address and a port other than 0", text)
	}
	return unmap(address), nil
}

// unmap returns an address with IPv4 mapped to IPv6 replaced by plain IPv4.
func unmap(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// Socket is a UDP socket for datagrams between nodes. Its methods may be called from several goroutines.
type Socket struct{ conn *net.UDPConn }

// Open opens a socket at a node's own address. The caller must close the socket, unless it calls Serve and then ends the
// context.
func Open(ctx context.Context, own string) (*Socket, error) {
	if _, err := ParseAddress(own); err != nil {
		return nil, fmt.Errorf("own address: %w", err)
	}
	var config net.ListenConfig
	conn, err := config.ListenPacket(ctx, "udp", own)
	if err != nil {
		return nil, fmt.Errorf("open the socket for messages between nodes: %w", err)
	}
	return &Socket{conn: conn.(*net.UDPConn)}, nil
}

// Send sends each datagram to each address. A datagram that cannot be sent is dropped, like one that the network loses.
func (s *Socket) Send(datagrams [][]byte, to ...netip.AddrPort) {
	s.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	for _, datagram := range datagrams {
		for _, address := range to {
			s.conn.WriteToUDPAddrPort(datagram, address)
		}
	}
}

// Serve passes received datagrams to receive until the context ends or the socket is closed. It closes the socket when the
// context ends. A datagram that is longer than maxBytes is truncated to maxBytes+1 bytes, so that receive can recognise it.
// The slice datagram is valid until receive returns. Serve always returns nil.
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
		// The error means that an earlier datagram could not be delivered. The socket is still usable.
		select {
		case <-time.After(readErrorWait):
		case <-ctx.Done():
			return nil
		}
	}
}

// Close closes the socket. It may be called at any time, and more than once.
func (s *Socket) Close() { s.conn.Close() }
