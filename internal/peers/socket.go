package peers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"
)

const sendTimeout = 20 * time.Millisecond // what the system will not take by then is lost

// ParseAddress reads a node's address: numeric, as there are no names to look up.
func ParseAddress(text string) (netip.AddrPort, error) {
	at, err := netip.ParseAddrPort(text)
	if err == nil && (at.Port() == 0 || at.Addr().IsUnspecified()) {
		err = fmt.Errorf("%q is no address of one node", text)
	}
	return netip.AddrPortFrom(at.Addr().Unmap(), at.Port()), err
}

// Socket carries datagrams among nodes.
type Socket struct{ conn *net.UDPConn }

// Open opens a node's own address.
func Open(ctx context.Context, own string) (*Socket, error) {
	if _, err := ParseAddress(own); err != nil {
		return nil, err
	}
	var lc net.ListenConfig
	conn, err := lc.ListenPacket(ctx, "udp", own)
	if err != nil {
		return nil, err
	}
	return &Socket{conn.(*net.UDPConn)}, nil
}

// Send sends each text to each address. One that cannot be sent is lost, as on the way.
func (s *Socket) Send(texts [][]byte, to ...netip.AddrPort) {
	s.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	for _, text := range texts {
		for _, at := range to {
			s.conn.WriteToUDPAddrPort(text, at)
		}
	}
}

// Serve hands on what comes, of which it reads most bytes and one more that shows what is too long, until the context
// ends or the socket is closed. The text holds until hear returns.
func (s *Socket) Serve(ctx context.Context, most int, hear func(text []byte, from netip.AddrPort)) error {
	defer context.AfterFunc(ctx, s.Close)()
	buf := make([]byte, most+1)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // an earlier message reached nobody; the socket is as good as before
			select {
			case <-time.After(sendTimeout):
			case <-ctx.Done():
				return nil
			}
			continue
		}
		hear(buf[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

// Close ends the socket, at any time.
func (s *Socket) Close() { s.conn.Close() }
