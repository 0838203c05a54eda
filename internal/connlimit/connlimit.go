// Package connlimit limits the connections of an HTTP server whose callers have not proved yet that they are worth one. At the
// limit a connection that has been silent makes room for a new one, so that callers that send nothing, or a part of a call,
// cannot lock out others.
package connlimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// settleTime is how long a connection is kept after its last bytes before it may be closed in favor of a new one. Unless
	// the machine is busy, a normal caller sends something within that time.
	settleTime = 25 * time.Millisecond

	// maxUnfinishedAge is how long a connection is kept whose caller sends on without end, before it may be closed in favor of
	// a new one.
	maxUnfinishedAge = 500 * time.Millisecond
)

// Listener is a listener with a limited number of connections. At the limit it closes the connection that has been silent
// longest, to accept the next one, or else one that has been open for too long. Connections for which Protect was called are
// not closed, and those for which Exempt was called do not count. Use New.
type Listener struct {
	net.Listener
	maxConnections int

	mu          sync.Mutex
	changed     *sync.Cond // signals that a connection has closed, or may be closed by now
	connections map[*connection]bool
}

// connection is a connection of a Listener, whose mutex protects its fields.
type connection struct {
	net.Conn
	listener     *Listener
	acceptedAt   time.Time
	lastReceived time.Time // when the caller last sent anything
	protected    bool
}

// New returns a listener that has at most maxConnections connections at once, and at least 1. The server on it must use
// ConnContext and the listener's ConnState.
func New(listener net.Listener, maxConnections int) *Listener {
	l := &Listener{Listener: listener, maxConnections: max(maxConnections, 1), connections: map[*connection]bool{}}
	l.changed = sync.NewCond(&l.mu)
	return l
}

// Accept returns the next connection, once there are fewer than maxConnections.
func (l *Listener) Accept() (net.Conn, error) {
	l.makeRoom()
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	c := &connection{Conn: accepted, listener: l, acceptedAt: now, lastReceived: now}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections[c] = true
	return c, nil
}

// makeRoom waits until there are fewer than maxConnections connections. For that it closes one that is not protected, as soon
// as it may. If all are protected, it waits until one of them ends.
func (l *Listener) makeRoom() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.connections) >= l.maxConnections {
		first, at := l.firstToClose()
		if first == nil {
			l.changed.Wait()
			continue
		}
		if wait := time.Until(at); wait > 0 {
			wake := time.AfterFunc(wait, l.changed.Broadcast)
			l.changed.Wait()
			wake.Stop()
			continue
		}
		delete(l.connections, first)
		first.Conn.Close()
	}
}

// firstToClose returns the connection that may be closed first in favor of a new one, and from when on. It returns nil if all
// are protected.
func (l *Listener) firstToClose() (first *connection, at time.Time) {
	for c := range l.connections {
		if c.protected {
			continue
		}
		if closable := c.closableAt(); first == nil || closable.Before(at) {
			first, at = c, closable
		}
	}
	return first, at
}

// closableAt returns from when on a connection may be closed in favor of a new one.
func (c *connection) closableAt() time.Time {
	silent := c.lastReceived.Add(settleTime)
	if old := c.acceptedAt.Add(maxUnfinishedAge); old.Before(silent) {
		return old
	}
	return silent
}

// Read records when the caller last sent anything.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.listener.mu.Lock()
		c.lastReceived = time.Now()
		c.listener.mu.Unlock()
	}
	return n, err
}

// connectionKey is the context key of a call's connection.
type connectionKey struct{}

// ConnContext is the http.Server.ConnContext of a server on a Listener: it stores the connection in the context of its calls.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// Protect says that the caller of a call with this context has sent a complete call. Its connection still counts, but is no
// longer closed in favor of others.
func Protect(ctx context.Context) {
	if c, ok := ctx.Value(connectionKey{}).(*connection); ok {
		c.listener.mu.Lock()
		c.protected = true
		c.listener.mu.Unlock()
	}
}

// Exempt says that the caller of a call with this context is known. Its connection no longer counts, and is no longer closed in
// favor of others.
func Exempt(ctx context.Context) {
	if c, ok := ctx.Value(connectionKey{}).(*connection); ok {
		c.listener.remove(c)
	}
}

// ConnState is the http.Server.ConnState of a server on this listener: it removes connections that end, so that others can be
// accepted.
func (l *Listener) ConnState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*connection); ok && (state == http.StateClosed || state == http.StateHijacked) {
		l.remove(c)
	}
}

func (l *Listener) remove(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connections, c)
	l.changed.Broadcast()
}
