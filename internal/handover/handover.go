// Package handover joins the process of a node that serves, the predecessor, with the one that takes its place, the successor:
// a Unix socket, open to one user alone, that carries the listening socket and messages of one JSON object a line.
// What is in them and what comes of it is not decided here.
package handover

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"gorseledge/internal/node"
)

const (
	version     = 1
	longest     = 8 << 20 // bytes of one message
	longestPath = 100     // of a socket, less than the system's 108
	sendWithin  = time.Second
)

// What a message may ask for.
const (
	RequestState   = "claim" // what is known and the listening socket
	RequestClients = "take"  // the clients, and what is known by now
)

// Busy says that the predecessor hands over to another already, or has no clients to give yet.
const Busy = "busy"

// ErrVersion says that the other process speaks another version.
var ErrVersion = errors.New("another version of the hand-over")

// Message is one line.
type Message struct {
	Version  int                      `json:"version"`
	Ask      string                   `json:"ask,omitempty"`
	Refusal  string                   `json:"no,omitempty"` // why it is refused
	State    *node.HandoverState      `json:"legacy,omitempty"`
	Update   *node.HandoverUpdate     `json:"news,omitempty"`
	Transfer *node.ConnectionTransfer `json:"parcel,omitempty"` // comes with two sockets, the client's first
}

// Path is where the process that serves an address is found.
func Path(dir, listen string) string {
	return filepath.Join(dir, "gorseledge-"+strings.NewReplacer("/", "_", ":", "-").Replace(listen)+".sock")
}

// reach gives a path that the system takes as a socket's: a long one by way of its open folder. It holds until
// done is called.
func reach(path string) (short string, done func(), err error) {
	if len(path) < longestPath {
		return path, func() {}, nil
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)), func() { dir.Close() }, nil
}

// Listen listens for a successor, in place of whoever did so before.
func Listen(path string) (*net.UnixListener, error) {
	fresh := fmt.Sprintf("%s.%d", path, os.Getpid())
	short, done, err := reach(fresh)
	if err != nil {
		return nil, err
	}
	defer done()
	os.Remove(fresh)
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: short, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false) // the path may be another's by then
	err = os.Chmod(fresh, 0o600)
	if err == nil {
		err = os.Rename(fresh, path) // guards against a moment in which nobody is found there
	}
	if err != nil {
		ln.Close()
		os.Remove(fresh)
		return nil, err
	}
	return ln, nil
}

// Link is one end of the connection of two processes. Send and Receive may go on beside each other.
type Link struct {
	conn   *net.UnixConn
	lines  *bufio.Scanner
	passed []int // descriptors that came
}

// Dial finds the process that serves; there may be none.
func Dial(ctx context.Context, path string) (*Link, error) {
	short, done, err := reach(path)
	if err != nil {
		return nil, err
	}
	defer done()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "unix", short)
	if err != nil {
		return nil, err
	}
	return NewLink(conn.(*net.UnixConn))
}

// NewLink makes a link of a connection, if its far side belongs to the same user.
func NewLink(conn *net.UnixConn) (*Link, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		conn.Close()
		return nil, err
	}
	var who *syscall.Ucred
	var failed error
	err = raw.Control(func(fd uintptr) {
		who, failed = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	})
	if err = errors.Join(err, failed); err == nil && int(who.Uid) != os.Getuid() {
		err = errors.New("the far side of the hand-over belongs to another user")
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	l := &Link{conn: conn}
	l.lines = bufio.NewScanner(l)
	l.lines.Buffer(make([]byte, 0, 4096), longest)
	return l, nil
}

// Close ends the link.
func (l *Link) Close() { l.conn.Close() }

// SetReadTimeout bounds what is received from now on; zero lifts the bound.
func (l *Link) SetReadTimeout(d time.Duration) {
	if d == 0 {
		l.conn.SetReadDeadline(time.Time{})
		return
	}
	l.conn.SetReadDeadline(time.Now().Add(d))
}

// Read is the stream of lines; descriptors that come with it are kept.
func (l *Link) Read(p []byte) (int, error) {
	oob := make([]byte, syscall.CmsgSpace(4*4))
	n, extra, _, _, err := l.conn.ReadMsgUnix(p, oob)
	if extra > 0 {
		if messages, err := syscall.ParseSocketControlMessage(oob[:extra]); err == nil {
			for i := range messages {
				if fds, err := syscall.ParseUnixRights(&messages[i]); err == nil {
					l.passed = append(l.passed, fds...)
				}
			}
		}
	}
	return max(n, 0), err
}

// Receive gives the next message.
func (l *Link) Receive() (Message, error) {
	var m Message
	for more := true; more; more = len(l.lines.Bytes()) == 0 { // an empty line came with a descriptor
		if !l.lines.Scan() {
			return m, cmp.Or(l.lines.Err(), io.EOF)
		}
	}
	if err := json.Unmarshal(l.lines.Bytes(), &m); err != nil {
		return m, fmt.Errorf("a message that does not parse: %w", err)
	}
	if m.Version != version {
		return m, fmt.Errorf("%w: %d, this is %d", ErrVersion, m.Version, version)
	}
	return m, nil
}

// Send writes one message.
func (l *Link) Send(m Message) error {
	m.Version = version
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	if len(text) >= longest {
		return fmt.Errorf("a message of %d bytes", len(text))
	}
	l.conn.SetWriteDeadline(time.Now().Add(sendWithin))
	_, err = l.conn.Write(append(text, '\n'))
	return err
}

// SendSockets sends sockets, at most two; they come with the message that follows.
func (l *Link) SendSockets(all ...syscall.Conn) error {
	return l.pass(nil, all)
}

func (l *Link) pass(fds []int, all []syscall.Conn) error {
	if len(all) == 0 {
		l.conn.SetWriteDeadline(time.Now().Add(sendWithin))
		_, _, err := l.conn.WriteMsgUnix([]byte("\n"), syscall.UnixRights(fds...), nil)
		return err
	}
	raw, err := all[0].SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { // its mode stays as it is, which a copy would change for both processes
		failed = l.pass(append(fds, int(fd)), all[1:])
	})
	return errors.Join(err, failed)
}

// file takes the first of the descriptors that came.
func (l *Link) file() (*os.File, error) {
	if len(l.passed) == 0 {
		return nil, errors.New("a descriptor has not come")
	}
	file := os.NewFile(uintptr(l.passed[0]), "passed")
	l.passed = l.passed[1:]
	return file, nil
}

// Listener gives the listening socket that came.
func (l *Link) Listener() (*net.TCPListener, error) {
	file, err := l.file()
	if err != nil {
		return nil, err
	}
	defer file.Close()
	ln, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		ln.Close()
		return nil, errors.New("what came is no TCP listener")
	}
	return tcp, nil
}

// Conn gives the next connection that came.
func (l *Link) Conn() (*net.TCPConn, error) {
	file, err := l.file()
	if err != nil {
		return nil, err
	}
	defer file.Close()
	c, err := net.FileConn(file)
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		c.Close()
		return nil, errors.New("what came is no TCP connection")
	}
	return tcp, nil
}

// CloseReceived closes what came and was not taken.
func (l *Link) CloseReceived() {
	for _, fd := range l.passed {
		syscall.Close(fd)
	}
	l.passed = nil
}
