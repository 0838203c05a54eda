// Package discoverytest lets tests of whoever follows the list stand in for discovery.
package discoverytest

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
)

// Dialer gives connections to a stand-in for discovery, each served by handle until the test is over. Pipes stand
// in for the network, so that the clock of the test decides what is late.
func Dialer(t *testing.T, handle http.HandlerFunc) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		server := &http.Server{Handler: handle}
		ln := &single{far: far, done: make(chan struct{})}
		go server.Serve(ln)
		t.Cleanup(func() { ln.Close(); server.Close(); near.Close() })
		return near, nil
	}
}

// single is a listener of one connection.
type single struct {
	far  net.Conn
	done chan struct{}
	once sync.Once
}

func (s *single) Accept() (net.Conn, error) {
	if far := s.far; far != nil {
		s.far = nil
		return far, nil
	}
	<-s.done
	return nil, net.ErrClosed
}

func (s *single) Close() error {
	s.once.Do(func() { close(s.done) })
	return nil
}

func (s *single) Addr() net.Addr { return &net.TCPAddr{} }
