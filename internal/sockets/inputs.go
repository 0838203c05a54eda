package sockets

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"

	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/node"
	"gorseledge/internal/node/live"
)

// dialed brings a socket to the loop, spoke and unwatched what became of a watch, reloaded what of the config when
// it was read again, and reconfigure a revision of the live settings, whose answer is taken at once.
type (
	dialed struct {
		conn   node.Conn
		socket *net.TCPConn
		err    error
	}
	spoke struct {
		watch  context.Context
		within bool // a line that has not ended
	}
	listed struct {
		watch context.Context
		list  endpoint.List
	}
	unwatched struct {
		watch context.Context
		why   string
	}
	reloaded struct {
		config Config
		err    error
	}
	reconfigure struct {
		revision live.Revision
		answer   chan<- node.SettingsApplied
	}
)

// arrived takes the sockets out of what goroutines hand in.
func (d *door) arrived(what any) node.Input {
	switch what := what.(type) {
	case dialed:
		l := d.links[what.conn]
		if l == nil { // given up meanwhile
			if what.socket != nil {
				what.socket.Close()
			}
			return node.Closed{Conn: what.conn}
		}
		if what.err == nil {
			d.link(what.conn, what.socket)
		}
		return node.Dialed{Conn: what.conn, Err: what.err, LocalFailure: own(what.err)}
	case spoke:
		if what.watch.Err() != nil { // called off meanwhile: it says nothing of the watch that took its place
			return nil
		}
		d.calls = slices.DeleteFunc(d.calls, func(c call) bool {
			if c.ctx != what.watch {
				c.end(errOutpaced)
			}
			return c.ctx != what.watch
		})
		return node.WatchAlive{MidLine: what.within}
	case listed:
		// What a watch said before it was given up as silent counts. Guards against an older list after the newer one
		// of the call beside it.
		if context.Cause(what.watch) == errOutpaced {
			return nil
		}
		return node.ListReceived{List: what.list}
	case unwatched:
		if what.watch.Err() != nil {
			return nil
		}
		d.calls = slices.DeleteFunc(d.calls, func(c call) bool {
			if c.ctx == what.watch {
				c.end(nil)
			}
			return c.ctx == what.watch
		})
		if len(d.calls) > 0 { // one beside it waits still
			return nil
		}
		return node.WatchFailed{Reason: what.why}
	case reloaded:
		return d.reload(what.config, what.err)
	case reconfigure:
		d.configured = what.answer
		return node.SettingsReceived{Revision: what.revision}
	case fromPeerProcess:
		return d.hear(what)
	case bound:
		if what.ln != nil {
			d.ln = what.ln
		}
		d.mayOpen = !d.opened
		return nil
	}
	return what.(node.Input)
}

// own tells whether a dial failed for what this machine lacks.
func own(err error) bool {
	for _, lack := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EADDRNOTAVAIL} {
		if errors.Is(err, lack) {
			return true
		}
	}
	return false
}
