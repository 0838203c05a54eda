// Package discoverytest stands in for discovery in tests of what follows the endpoint list. Pipes take the place of the
// network, so that the test's clock decides what is late.
package discoverytest

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
)

// Dialer gives connections to a stand-in for discovery, each served by a handler of its own server. The servers and
// connections are closed at the end of the test.
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

// singleListener is a listener of one connection.
type singleListener struct {
	conn   net.Conn // nil once it is accepted
	closed chan struct{}
	once   sync.Once // closes closed
}

// Accept gives the connection, and net.ErrClosed once the listener is closed. One goroutine may call it.
func (l *singleListener) Accept() (net.Conn, error) {
	if conn := l.conn; conn != nil {
		l.conn = nil
		return conn, nil
	}
	<-l.closed
	return nil, net.ErrClosed
}

// Close ends Accept.
func (l *singleListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr gives an empty address.
func (l *singleListener) Addr() net.Addr { return &net.TCPAddr{} }
