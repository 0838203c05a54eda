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

// connectionGoroutines is the number of goroutines of a connection: a reader and a writer.
const connectionGoroutines = 2

// connection is a socket with two goroutines. One reads; the other writes what the socket did not accept at once. Each
// handles one buffer at a time.
type connection struct {
	socket  *net.TCPConn       // nil while the connection is being dialed
	cancel  context.CancelFunc // cancels the dial; nil for an established connection
	raw     syscall.RawConn
	reads   chan node.Read
	writes  chan partialWrite
	stopped bool // a read deadline in the past ends each read at once
}

// partialWrite is a write of which the first written bytes have already been passed to the kernel.
type partialWrite struct {
	node.Write
	written int
}

// writeResult is the result of a write that does not block.
type writeResult struct {
	written  int
	failed   bool
	complete bool // false if the connection's goroutine writes the rest and reports the result
}

// addConnection starts the goroutines of an established connection. Once both have ended, the connection's descriptor is
// free and the core is notified.
func (s *server) addConnection(conn node.ConnID, socket *net.TCPConn) {
	c := &connection{socket: socket, reads: make(chan node.Read, 1), writes: make(chan partialWrite, 1)}
	c.raw, _ = socket.SyscallConn() // fails only for a nil socket
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
		for read := range c.reads {
			n, err := socket.Read(read.Into)
			s.sendResult(node.ReadDone{Conn: conn, Count: n, State: streamState(err)}, read.LowPriority)
		}
		return done()
	})
	s.group.Go(func() error {
		for w := range c.writes {
			n, err := socket.Write(w.Data[w.written:])
			s.sendResult(node.WriteDone{Conn: conn, Count: w.written + n, Failed: err != nil}, w.LowPriority)
		}
		return done()
	})
}

// read has the connection's goroutine read once.
func (c *connection) read(e node.Read) {
	if c.stopped {
		c.stopped = false
		c.socket.SetReadDeadline(time.Time{})
	}
	c.reads <- e
}

// stopReading ends the read in progress, which reports the bytes it has read so far.
func (c *connection) stopReading() {
	c.stopped = true
	c.socket.SetReadDeadline(longPast)
}

// write writes as much as the socket accepts without blocking and leaves the rest to the connection's goroutine. Lines
// are short and the socket's buffer nearly always has room for them, so that usually no goroutine has to be woken.
func (c *connection) write(e node.Write) writeResult {
	written := 0
	var err error
	closed := c.raw.Write(func(fd uintptr) bool {
		written, err = writeAll(int(fd), e.Data)
		return true
	})
	if closed != nil {
		return writeResult{written: written, failed: true, complete: true}
	}
	if errors.Is(err, syscall.EAGAIN) {
		c.writes <- partialWrite{Write: e, written: written}
		return writeResult{written: written}
	}
	return writeResult{written: written, failed: err != nil, complete: true}
}

// writeAll writes to a non-blocking descriptor until all data is written or a write fails; the error is EAGAIN if the
// socket's buffer is full.
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

// streamState derives from a read's error whether the remote side may send more.
func streamState(err error) node.StreamState {
	switch {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded): // the latter after stopReading
		return node.StreamOpen
	case errors.Is(err, io.EOF):
		return node.StreamEnded
	}
	return node.StreamBroken
}

// close closes the connection's socket and ends its goroutines, or cancels its dial. With reset, the remote side gets a
// TCP reset. Only the loop calls it, once.
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

// remoteEnded reports whether the remote side has ended its stream or reset the connection, even if bytes that it sent
// before are not read yet.
func (c *connection) remoteEnded() bool {
	return pollEvents(c.raw, unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// pollEvents returns which of the events that poll(2) knows have occurred at a socket: those asked for, errors and the end
// of the connection. It returns none if the socket is closed.
func pollEvents(raw syscall.RawConn, events int16) (occurred int16) {
	raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: events}}
		if n, err := unix.Poll(polled, 0); err == nil && n > 0 {
			occurred = polled[0].Revents
		}
	})
	return occurred
}

// dial connects to a host in a goroutine of its own. If the client that the connection is for has disconnected, the dial
// is canceled before anything is sent.
func (s *server) dial(e node.Dial) {
	ctx, cancel := context.WithTimeout(s.ctx, seconds(e.Timeout))
	s.connections[e.Conn] = &connection{cancel: cancel}
	client := s.connections[e.Client]
	if client != nil && client.remoteEnded() {
		cancel()
		s.pending = append(s.pending, node.ClientDisconnected{Conn: e.Client})
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

// dialed handles the result of a dial in the loop. The socket is nil if err is not nil.
func (s *server) dialed(conn node.ConnID, socket *net.TCPConn, err error) node.Input {
	if s.connections[conn] == nil { // the core closed the connection during the dial
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

// isLocalFailure reports whether a dial failed because this machine lacks descriptors, memory or ports. Such a failure
// says nothing about the host.
func isLocalFailure(err error) bool {
	localErrors := []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}
	for _, localError := range localErrors {
		if errors.Is(err, localError) {
			return true
		}
	}
	return false
}

// seconds converts the core's seconds into a duration.
func seconds(s float64) time.Duration { return time.Duration(s * 1e9) }
