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

var errOtherUser = errors.New("the far side of the handover belongs to another user")

// Link is one end of the connection between two processes. One goroutine may send while another receives; what is
// received belongs to the latter.
type Link struct {
	conn        *net.UnixConn
	lines       *bufio.Scanner
	descriptors []int // received and not taken yet, oldest first
}

// NewLink makes a link of a connection, which it owns from then on. The connection is closed if its far side does not
// belong to the same user.
func NewLink(conn *net.UnixConn) (*Link, error) {
	if err := checkPeerUser(conn); err != nil {
		conn.Close()
		return nil, fmt.Errorf("checking the user of the other process: %w", err)
	}
	link := &Link{conn: conn}
	link.lines = bufio.NewScanner(link)
	link.lines.Buffer(make([]byte, 0, initialBufferBytes), maxMessageBytes)
	return link, nil
}

// checkPeerUser returns an error unless the far side of a connection belongs to the same user.
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

// Close ends the link. Descriptors that were received and not taken stay open, see CloseReceived.
func (l *Link) Close() { l.conn.Close() }

// SetReadTimeout bounds the time of all that is received from now on; zero lifts the bound.
func (l *Link) SetReadTimeout(timeout time.Duration) {
	if timeout == 0 {
		l.conn.SetReadDeadline(time.Time{})
		return
	}
	l.conn.SetReadDeadline(time.Now().Add(timeout))
}

// Receive returns the next message. The error is io.EOF once the far side has closed the link, os.ErrDeadlineExceeded
// after the read timeout, and ErrVersion for a message of another version.
func (l *Link) Receive() (Message, error) {
	var message Message
	text, err := l.receiveLine()
	if err != nil {
		return message, err
	}
	if err := json.Unmarshal(text, &message); err != nil {
		return message, fmt.Errorf("a message that does not parse: %w", err)
	}
	if message.Version != protocolVersion {
		return message, fmt.Errorf("%w: %d, this is %d", ErrVersion, message.Version, protocolVersion)
	}
	return message, nil
}

// receiveLine returns the next line that is not empty. Empty ones come with descriptors.
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
		return fmt.Errorf("a handover message of %d bytes is over %d", len(text), maxMessageBytes)
	}
	l.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	if _, err := l.conn.Write(append(text, '\n')); err != nil {
		return fmt.Errorf("sending a handover message: %w", err)
	}
	return nil
}
