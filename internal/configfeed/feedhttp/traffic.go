package feedhttp

import (
	"context"
	"net"
	"sync/atomic"
)

// Traffic counts what went over the connections of one follower since its start. Bytes are those of the streams, with
// the heads of HTTP and without those of TCP.
type Traffic struct {
	Requests      uint64 `json:"requests"`
	Answers       uint64 `json:"answers"`
	BytesSent     uint64 `json:"bytes_sent"`
	BytesReceived uint64 `json:"bytes_received"`
}

// trafficCounter is a Traffic that is still being added to.
type trafficCounter struct{ requests, answers, sent, received atomic.Uint64 }

func (c *trafficCounter) read() Traffic {
	return Traffic{Requests: c.requests.Load(), Answers: c.answers.Load(),
		BytesSent: c.sent.Load(), BytesReceived: c.received.Load()}
}

// dial opens a connection whose bytes are counted.
func (c *trafficCounter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, counter: c}, nil
}

// countedConn is a connection that counts its bytes.
type countedConn struct {
	net.Conn
	counter *trafficCounter
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.sent.Add(uint64(n))
	return n, err
}
