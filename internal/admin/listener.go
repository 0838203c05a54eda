package admin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// settleTime is the time by which a usual caller has sent something, unless the machine is busy.
const settleTime = 25 * time.Millisecond

// limitedListener is a listener whose connections are limited in number. The one that has been silent longest makes
// room for the next, unless its caller has sent a complete call.
type limitedListener struct {
	net.Listener
	maxConnections int

	mu          sync.Mutex
	changed     *sync.Cond // a connection has closed or settled
	connections map[*connection]bool
}

// connection is one of a limitedListener's. The listener's mutex guards its fields.
type connection struct {
	net.Conn
	listener  *limitedListener
	lastHeard time.Time // when its caller last sent anything
	complete  bool      // its caller has sent a complete call
}

// limit makes a listener one of at most that many connections at once, 1 at least.
func limit(listener net.Listener, maxConnections int) *limitedListener {
	l := &limitedListener{Listener: listener, maxConnections: max(maxConnections, 1), connections: map[*connection]bool{}}
	l.changed = sync.NewCond(&l.mu)
	return l
}

// Accept takes the next connection, once there is room for it.
func (l *limitedListener) Accept() (net.Conn, error) {
	l.makeRoom()
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: accepted, listener: l, lastHeard: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections[c] = true
	return c, nil
}

// makeRoom closes the connection that has been silent longest, once it is settled. Where all callers have sent complete
// calls it waits for one of them to be answered, which takes a second at the most.
func (l *limitedListener) makeRoom() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.connections) >= l.maxConnections {
		oldest := l.longestSilent()
		if oldest == nil {
			l.changed.Wait()
			continue
		}
		if silent := time.Since(oldest.lastHeard); silent < settleTime {
			wake := time.AfterFunc(settleTime-silent, l.changed.Broadcast)
			l.changed.Wait()
			wake.Stop()
			continue
		}
		delete(l.connections, oldest)
		oldest.Conn.Close()
	}
}

// longestSilent gives the connection that has been silent longest of those without a complete call; nil for none.
func (l *limitedListener) longestSilent() *connection {
	var oldest *connection
	for c := range l.connections {
		if c.complete {
			continue
		}
		if oldest == nil || c.lastHeard.Before(oldest.lastHeard) {
			oldest = c
		}
	}
	return oldest
}

// Read notes that the caller is not silent.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.listener.mu.Lock()
		c.lastHeard = time.Now()
		c.listener.mu.Unlock()
	}
	return n, err
}

// connectionKey is the key of a call's connection in its context.
type connectionKey struct{}

// withConnection is the ConnContext of a server on a limitedListener.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// markComplete notes that a call's connection has sent the complete call: from here on it makes no room for another.
func markComplete(ctx context.Context) {
	if c, ok := ctx.Value(connectionKey{}).(*connection); ok {
		c.listener.mu.Lock()
		c.complete = true
		c.listener.mu.Unlock()
	}
}

// connectionState is the ConnState of a server on a limitedListener: it frees the places of connections that end.
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
