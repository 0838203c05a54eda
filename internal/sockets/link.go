package sockets

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"gorseledge/internal/node"
)

// link is one connection: a socket with a goroutine that reads and one that writes, each one buffer at a
// time.
type link struct {
	socket        *net.TCPConn // nil while it is dialed
	cancel        context.CancelFunc
	reads, writes chan []byte
	halted        bool // its reads end at once
}

// link starts the two goroutines of a connection that is up. The descriptor is free once both are done.
func (d *door) link(conn node.Conn, socket *net.TCPConn) {
	l := &link{socket: socket, reads: make(chan []byte, 1), writes: make(chan []byte, 1)}
	d.links[conn] = l
	var left atomic.Int32
	left.Store(2)
	done := func() error {
		if left.Add(-1) == 0 {
			d.send(node.Closed{Conn: conn})
		}
		return nil
	}
	d.group.Go(func() error {
		for into := range l.reads {
			n, err := socket.Read(into)
			d.send(node.Got{Conn: conn, N: n, End: endOf(err)})
		}
		return done()
	})
	d.group.Go(func() error {
		for data := range l.writes {
			n, err := socket.Write(data)
			d.send(node.Wrote{Conn: conn, N: n, Failed: err != nil})
		}
		return done()
	})
}

func endOf(err error) node.End {
	switch {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded): // halted
		return node.Open
	case errors.Is(err, io.EOF):
		return node.Ended
	}
	return node.Broken
}

// close frees what the link holds; the loop alone calls it, once.
func (l *link) close(reset bool) {
	if l.socket == nil {
		l.cancel()
		return
	}
	if reset {
		l.socket.SetLinger(0)
	}
	l.socket.Close()
	close(l.reads)
	close(l.writes)
}

func (d *door) dial(e node.Dial) {
	ctx, cancel := context.WithTimeout(d.ctx, time.Duration(e.Within*1e9))
	d.links[e.Conn] = &link{cancel: cancel}
	d.group.Go(func() error {
		defer cancel()
		var dialer net.Dialer
		c, err := dialer.DialContext(ctx, "tcp", e.Address)
		socket, _ := c.(*net.TCPConn)
		d.send(dialed{e.Conn, socket, err})
		return nil
	})
}
