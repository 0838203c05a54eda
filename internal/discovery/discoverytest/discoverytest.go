// Package discoverytest provides a discovery service for tests of code that watches the endpoint list. Pipes replace the
// network, so that delays depend only on the fake clock of the test.
package discoverytest

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
)

// Dialer returns a dial function for a discovery service that handle implements. Each connection has an HTTP server of
// its own. The servers and connections are closed at the end of the test.
func Dialer(t *testing.T, handle http.HandlerFunc) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		server := &http.Server{Handler: handle}
		listener := &singleListener{conn: far, closed: make(chan struct{})}
		go server.Serve(listener) // until the listener is closed
		t.Cleanup(func() {
			listener.Close()
			server.Close()
			near.Close()
		})
		return near, nil
	}
}

// singleListener is a listener that accepts one connection.
type singleListener struct {
	conn   net.Conn // nil once it has been accepted
	closed chan struct{}
	once   sync.Once // closes closed
}

// Accept returns the connection the first time. After that it waits until the listener is closed and returns
// net.ErrClosed. Only one goroutine may call it.
func (l *singleListener) Accept() (net.Conn, error) {
	if conn := l.conn; conn != nil {
		l.conn = nil
		return conn, nil
	}
	<-l.closed
	return nil, net.ErrClosed
}

// Close ends a call of Accept.
func (l *singleListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns an empty address.
func (l *singleListener) Addr() net.Addr { return &net.TCPAddr{} }
