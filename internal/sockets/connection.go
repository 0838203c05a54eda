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

// connectionGoroutines is how many goroutines a connection has.
const connectionGoroutines = 2

// connection is a socket with two goroutines: one reads, and one writes what the socket does not take at once, each
// one buffer at a time.
type connection struct {
	socket  *net.TCPConn       // nil while it is dialed
	cancel  context.CancelFunc // of the dial; nil for a connection that is up
	raw     syscall.RawConn
	reads   chan []byte
	writes  chan partialWrite
	stopped bool // reads end at once
}

// partialWrite is a buffer of which the first written bytes are with the system.
type partialWrite struct {
	data    []byte
	written int
}

// writeResult is what came of a write that was attempted at once.
type writeResult struct {
	written  int
	failed   bool
	complete bool // false if a goroutine writes the rest and reports it
}

// addConnection starts the goroutines of a connection that is up. Its descriptor is free once both are done.
func (s *server) addConnection(conn node.ConnID, socket *net.TCPConn) {
	c := &connection{socket: socket, reads: make(chan []byte, 1), writes: make(chan partialWrite, 1)}
	c.raw, _ = socket.SyscallConn() // fails only for no socket at all
	s.connections[conn] = c
	var running atomic.Int32
	running.Store(connectionGoroutines)
	done := func() error {
		if running.Add(-1) == 0 {
			s.send(node.Closed{Conn: conn})
		}
		return nil
	}
	s.group.Go(func() error {
		for into := range c.reads {
			n, err := socket.Read(into)
			s.send(node.ReadDone{Conn: conn, Count: n, State: endOf(err)})
		}
		return done()
	})
	s.group.Go(func() error {
		for w := range c.writes {
			n, err := socket.Write(w.data[w.written:])
			s.send(node.WriteDone{Conn: conn, Count: w.written + n, Failed: err != nil})
		}
		return done()
	})
}

// read has the connection's goroutine fill some of a buffer.
func (c *connection) read(into []byte) {
	if c.stopped {
		c.stopped = false
		c.socket.SetReadDeadline(time.Time{})
	}
	c.reads <- into
}

// stopReading ends the read under way with what it has.
func (c *connection) stopReading() {
	c.stopped = true
	c.socket.SetReadDeadline(longPast)
}

// write writes what the socket takes at once and leaves the rest to the connection's goroutine. A line is small and a
// socket nearly always takes it, and so no goroutine has to be woken for it.
func (c *connection) write(data []byte) writeResult {
	written := 0
	var err error
	closed := c.raw.Write(func(fd uintptr) bool {
		written, err = writeAll(int(fd), data)
		return true
	})
	if closed != nil {
		return writeResult{written: written, failed: true, complete: true}
	}
	if errors.Is(err, syscall.EAGAIN) {
		c.writes <- partialWrite{data: data, written: written}
		return writeResult{written: written}
	}
	return writeResult{written: written, failed: err != nil, complete: true}
}

// writeAll writes to a descriptor until all is written or it fails, which is EAGAIN for one that takes no more now.
func writeAll(fd int, data []byte) (written int, err error) {
	for written < len(data) {
		n, err := syscall.Write(fd, data[written:])
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		written += max(n, 0)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// endOf tells from a read's error how the far side's sending stands.
func endOf(err error) node.StreamState {
	switch {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded): // the latter after stopReading
		return node.StreamOpen
	case errors.Is(err, io.EOF):
		return node.StreamEnded
	}
	return node.StreamBroken
}

// close frees what the connection holds, and cancels its dial; reset breaks it off. The loop alone calls it, once.
func (c *connection) close(reset bool) {
	if c.socket == nil {
		c.cancel()
		return
	}
	if reset {
		c.socket.SetLinger(0)
	}
	c.socket.Close()
	close(c.reads)
	close(c.writes)
}

// farSideEnded tells whether the far side has ended its sending or broken the connection, also behind bytes that are
// not read yet.
func (c *connection) farSideEnded() bool {
	ended := false
	err := c.raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(polled, 0)
		ended = err == nil && n > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err == nil && ended
}

// dial opens a connection to a host beside the loop. Where the client that it is for has gone meanwhile, it is canceled
// before anything is sent.
func (s *server) dial(e node.Dial) {
	ctx, cancel := context.WithTimeout(s.ctx, seconds(e.Timeout))
	s.connections[e.Conn] = &connection{cancel: cancel}
	client := s.connections[e.For]
	if client != nil && client.farSideEnded() {
		cancel()
		s.pending = append(s.pending, node.ClientGone{Conn: e.For})
	}
	s.group.Go(func() error {
		defer cancel()
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", e.Address)
		socket, _ := conn.(*net.TCPConn)
		s.do(func() node.Input { return s.dialed(e.Conn, socket, err) })
		return nil
	})
}

// dialed takes the result of a dial; socket is nil if err is not.
func (s *server) dialed(conn node.ConnID, socket *net.TCPConn, err error) node.Input {
	if s.connections[conn] == nil { // closed meanwhile
		if socket != nil {
			socket.Close()
		}
		return node.Closed{Conn: conn}
	}
	if err == nil {
		s.addConnection(conn, socket)
	}
	return node.Dialed{Conn: conn, Err: err, LocalFailure: isLocalFailure(err)}
}

// isLocalFailure tells whether a dial failed because this machine lacks something, which says nothing about the host.
func isLocalFailure(err error) bool {
	lacks := []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}
	for _, lack := range lacks {
		if errors.Is(err, lack) {
			return true
		}
	}
	return false
}

// seconds turns the core's seconds into a duration.
func seconds(s float64) time.Duration { return time.Duration(s * 1e9) }
