package feedhttp

import (
	"context"
	"net"
	"sync/atomic"
)

// Traffic counts what one follower has sent and received since its start. Byte counts include HTTP headers, but not TCP
// headers.
type Traffic struct {
	Requests      uint64 `json:"requests"`
	Answers       uint64 `json:"answers"`
	BytesSent     uint64 `json:"bytes_sent"`
	BytesReceived uint64 `json:"bytes_received"`
}

// trafficCounter counts traffic. It is safe for concurrent use; the zero value is ready to use.
type trafficCounter struct{ requests, answers, sent, received atomic.Uint64 }

// read returns the counts so far.
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

// countedConn is a connection that counts the bytes read and written.
type countedConn struct {
	net.Conn
	counter *trafficCounter
}

// Read reads from the connection and counts the bytes.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received.Add(uint64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.sent.Add(uint64(n))
	return n, err
}
