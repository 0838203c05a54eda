package sockets

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"gorseledge/internal/node"
)

// link is one connection: a socket with a goroutine that reads, and one that writes what the socket does not
// take at once, each one buffer at a time.
type link struct {
	socket *net.TCPConn // nil while it is dialed
	cancel context.CancelFunc
	raw    syscall.RawConn
	reads  chan []byte
	writes chan rest
	halted bool // its reads end at once
}

// rest is a buffer of which so many bytes are written.
type rest struct {
	data []byte
	done int
}

// link starts the two goroutines of a connection that is up. The descriptor is free once both are done.
func (d *door) link(conn node.Conn, socket *net.TCPConn) {
	l := &link{socket: socket, reads: make(chan []byte, 1), writes: make(chan rest, 1)}
	l.raw, _ = socket.SyscallConn() // fails for no socket at all
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
			d.send(node.ReadDone{Conn: conn, N: n, End: endOf(err)})
		}
		return done()
	})
	d.group.Go(func() error {
		for r := range l.writes {
			n, err := socket.Write(r.data[r.done:])
			d.send(node.WriteDone{Conn: conn, N: r.done + n, Failed: err != nil})
		}
		return done()
	})
}

// write writes what the socket takes at once; false says that the rest is on its way. A line is small and a
// socket nearly always takes it: handing each to a goroutine and hearing back of it cost an eighth of a
// line's CPU.
func (l *link) write(data []byte) (n int, failed, whole bool) {
	var err error
	if gone := l.raw.Write(func(fd uintptr) bool {
		for n < len(data) {
			var some int
			if some, err = syscall.Write(int(fd), data[n:]); err == syscall.EINTR {
				continue
			}
			if n += max(some, 0); err != nil {
				break
			}
		}
		return true
	}); gone != nil {
		return n, true, true
	}
	if err == syscall.EAGAIN {
		l.writes <- rest{data, n}
		return n, false, false
	}
	return n, err != nil, true
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

// left tells whether the far side has ended its sending, or broke the connection, also behind what is not read yet.
func (l *link) left() (yes bool) {
	err := l.raw.Control(func(fd uintptr) {
		at := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(at, 0)
		yes = err == nil && n > 0 && at[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err == nil && yes
}

func (d *door) dial(e node.Dial) {
	ctx, cancel := context.WithTimeout(d.ctx, time.Duration(e.Timeout*1e9))
	d.links[e.Conn] = &link{cancel: cancel}
	if whose := d.links[e.For]; whose != nil && whose.left() {
		cancel() // so nothing goes out
		d.next = append(d.next, node.ClientGone{Conn: e.For})
	}
	d.group.Go(func() error {
		defer cancel()
		var dialer net.Dialer
		c, err := dialer.DialContext(ctx, "tcp", e.Address)
		socket, _ := c.(*net.TCPConn)
		d.send(dialed{e.Conn, socket, err})
		return nil
	})
}
