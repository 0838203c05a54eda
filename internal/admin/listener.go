package admin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// settleTime is how long a connection is kept after its last bytes before it may be closed in favor of a new one. Unless
// the machine is busy, a normal caller sends something within that time.
const settleTime = 25 * time.Millisecond

// limitedListener is a listener with a limited number of connections. At the limit it closes the connection that has
// been silent longest, to accept the next one, except for connections whose callers have sent a complete call.
type limitedListener struct {
	net.Listener
	maxConnections int

	mu          sync.Mutex
	changed     *sync.Cond // signals that a connection has closed or has been silent for settleTime
	connections map[*connection]bool
}

// connection is a connection of a limitedListener, whose mutex protects its fields.
type connection struct {
	net.Conn
	listener     *limitedListener
	lastReceived time.Time // when the caller last sent anything
	complete     bool      // the caller has sent a complete call
}

// limit returns a listener that has at most maxConnections connections at once, and at least 1.
func limit(listener net.Listener, maxConnections int) *limitedListener {
	l := &limitedListener{Listener: listener, maxConnections: max(maxConnections, 1), connections: map[*connection]bool{}}
	l.changed = sync.NewCond(&l.mu)
	return l
}

// Accept returns the next connection, once there are fewer than maxConnections.
func (l *limitedListener) Accept() (net.Conn, error) {
	l.makeRoom()
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: accepted, listener: l, lastReceived: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections[c] = true
	return c, nil
}

// makeRoom waits until there are fewer than maxConnections connections. For that it closes the one that has been silent
// longest, once that has been silent for settleTime. If all callers have sent complete calls, it waits until one of them
// is answered, which takes at most a second.
func (l *limitedListener) makeRoom() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.connections) >= l.maxConnections {
		oldest := l.longestSilent()
		if oldest == nil {
			l.changed.Wait()
			continue
		}
		if silent := time.Since(oldest.lastReceived); silent < settleTime {
			wake := time.AfterFunc(settleTime-silent, l.changed.Broadcast)
			l.changed.Wait()
			wake.Stop()
			continue
		}
		delete(l.connections, oldest)
		oldest.Conn.Close()
	}
}

// longestSilent returns the connection that has been silent longest among those without a complete call, or nil if there
// is none.
func (l *limitedListener) longestSilent() *connection {
	var oldest *connection
	for c := range l.connections {
		if c.complete {
			continue
		}
		if oldest == nil || c.lastReceived.Before(oldest.lastReceived) {
			oldest = c
		}
	}
	return oldest
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

// withConnection is the http.Server.ConnContext of a server on a limitedListener: it stores the connection in the
// context of its calls.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// markComplete records that the caller has sent its complete call, so that makeRoom no longer closes the connection.
func markComplete(ctx context.Context) {
	if c, ok := ctx.Value(connectionKey{}).(*connection); ok {
		c.listener.mu.Lock()
		c.complete = true
		c.listener.mu.Unlock()
	}
}

// connectionState is the http.Server.ConnState of a server on a limitedListener: it removes connections that end, so that
// others can be accepted.
func (l *limitedListener) connectionState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*connection)
	if !ok || state != http.StateClosed && state != http.StateHijacked {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connections, c)
	l.changed.Broadcast()
}
