package handover

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	sendTimeout        = time.Second
	initialBufferBytes = 4096
)

var errOtherUser = errors.New("the peer process belongs to another user")

// Link is one end of the connection between two processes. One goroutine may send while another receives; only the
// receiving goroutine may use the received descriptors.
type Link struct {
	conn        *net.UnixConn
	lines       *bufio.Scanner
	descriptors []int // received descriptors that have not been returned yet, oldest first
}

// NewLink returns a link over a connection, which it owns from then on. If the peer process does not run as the same
// user, it closes the connection and returns an error.
func NewLink(conn *net.UnixConn) (*Link, error) {
	if err := checkPeerUser(conn); err != nil {
		conn.Close()
		return nil, fmt.Errorf("checking the user of the peer process: %w", err)
	}
	link := &Link{conn: conn}
	link.lines = bufio.NewScanner(link)
	link.lines.Buffer(make([]byte, 0, initialBufferBytes), maxMessageBytes)
	return link, nil
}

// checkPeerUser returns an error unless the peer process of a connection runs as the same user.
func checkPeerUser(conn *net.UnixConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var credentials *syscall.Ucred
	var optionErr error
	err = raw.Control(func(descriptor uintptr) {
		credentials, optionErr = syscall.GetsockoptUcred(int(descriptor), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	})
	if err := errors.Join(err, optionErr); err != nil {
		return err
	}
	if int(credentials.Uid) != os.Getuid() {
		return errOtherUser
	}
	return nil
}

// Close closes the link's connection. Received descriptors stay open, see CloseReceived.
func (l *Link) Close() { l.conn.Close() }

// SetReadTimeout makes Receive fail once the timeout has passed, counted from now; zero removes the limit.
func (l *Link) SetReadTimeout(timeout time.Duration) {
	if timeout == 0 {
		l.conn.SetReadDeadline(time.Time{})
		return
	}
	l.conn.SetReadDeadline(time.Now().Add(timeout))
}

// Receive returns the next message. The error is io.EOF once the peer has closed the link, os.ErrDeadlineExceeded after
// the read timeout, and ErrVersion for a message of another protocol version.
func (l *Link) Receive() (Message, error) {
	var message Message
	text, err := l.receiveLine()
	if err != nil {
		return message, err
	}
	if err := json.Unmarshal(text, &message); err != nil {
		return message, fmt.Errorf("parsing a handover message: %w", err)
	}
	if message.Version != protocolVersion {
		return message, fmt.Errorf("%w: got %d, want %d", ErrVersion, message.Version, protocolVersion)
	}
	return message, nil
}

// receiveLine returns the next line that is not empty. Empty lines only carry descriptors.
func (l *Link) receiveLine() ([]byte, error) {
	for l.lines.Scan() {
		if text := l.lines.Bytes(); len(text) > 0 {
			return text, nil
		}
	}
	return nil, cmp.Or(l.lines.Err(), io.EOF)
}

// Send writes one message, within a second.
func (l *Link) Send(message Message) error {
	message.Version = protocolVersion
	text, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("encoding a handover message: %w", err)
	}
	if len(text) >= maxMessageBytes {
		return fmt.Errorf("encoded handover message has %d bytes, must have fewer than %d", len(text), maxMessageBytes)
	}
	l.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	if _, err := l.conn.Write(append(text, '\n')); err != nil {
		return fmt.Errorf("sending a handover message: %w", err)
	}
	return nil
}
