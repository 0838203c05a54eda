package handover

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	descriptorBytes       = 4 // bytes of one descriptor in a control message
	maxDescriptorsPerRead = 4 // a peer sends at most two at a time
)

var (
	errNoDescriptor = errors.New("no descriptor received")
	errNotTCP       = errors.New("received descriptor is not a TCP socket of the expected kind")
)

// Read reads from the stream of lines, and keeps the descriptors that are received with the data. It is meant for the
// link's own scanner.
func (l *Link) Read(p []byte) (int, error) {
	control := make([]byte, syscall.CmsgSpace(maxDescriptorsPerRead*descriptorBytes))
	count, controlBytes, _, _, err := l.conn.ReadMsgUnix(p, control)
	if controlBytes > 0 {
		l.keepDescriptors(control[:controlBytes])
	}
	return max(count, 0), err
}

// keepDescriptors keeps the descriptors of a control message. Anything else in it is ignored.
func (l *Link) keepDescriptors(control []byte) {
	messages, err := syscall.ParseSocketControlMessage(control)
	if err != nil {
		return
	}
	for i := range messages {
		if descriptors, err := syscall.ParseUnixRights(&messages[i]); err == nil {
			l.descriptors = append(l.descriptors, descriptors...)
		}
	}
}

// SendSockets sends at most two sockets, within a second. The peer receives them before the message that is sent next.
// The caller keeps its own descriptors of the sockets.
func (l *Link) SendSockets(sockets ...syscall.Conn) error {
	if err := l.sendDescriptors(nil, sockets); err != nil {
		return fmt.Errorf("sending sockets to the peer process: %w", err)
	}
	return nil
}

// sendDescriptors sends descriptors and, after them, those of the remaining sockets. It calls itself within Control, which
// keeps each socket from being closed until its descriptor is sent. A copy made by File would instead set the socket to
// blocking mode, for both processes.
func (l *Link) sendDescriptors(descriptors []int, remaining []syscall.Conn) error {
	if len(remaining) == 0 {
		l.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
		_, _, err := l.conn.WriteMsgUnix([]byte("\n"), syscall.UnixRights(descriptors...), nil)
		return err
	}
	raw, err := remaining[0].SyscallConn()
	if err != nil {
		return err
	}
	var sendErr error
	err = raw.Control(func(descriptor uintptr) {
		sendErr = l.sendDescriptors(append(descriptors, int(descriptor)), remaining[1:])
	})
	return errors.Join(err, sendErr)
}

// takeFile returns the oldest received descriptor as a file, and removes it from the link.
func (l *Link) takeFile() (*os.File, error) {
	if len(l.descriptors) == 0 {
		return nil, errNoDescriptor
	}
	file := os.NewFile(uintptr(l.descriptors[0]), "received")
	l.descriptors = l.descriptors[1:]
	return file, nil
}

// takeSocket returns the oldest received descriptor as a socket, which must be of the type TCP.
func takeSocket[Socket io.Closer, TCP any](link *Link, open func(*os.File) (Socket, error)) (TCP, error) {
	var none TCP
	file, err := link.takeFile()
	if err != nil {
		return none, err
	}
	defer file.Close()
	socket, err := open(file)
	if err != nil {
		return none, err
	}
	tcp, ok := any(socket).(TCP)
	if !ok {
		socket.Close()
		return none, fmt.Errorf("%w: got a %T", errNotTCP, socket)
	}
	return tcp, nil
}

// Listener returns the oldest received socket, which must be a TCP listener. The caller closes it.
func (l *Link) Listener() (*net.TCPListener, error) {
	listener, err := takeSocket[net.Listener, *net.TCPListener](l, net.FileListener)
	if err != nil {
		return nil, fmt.Errorf("receiving the listener: %w", err)
	}
	return listener, nil
}

// Conn returns the oldest received socket, which must be a TCP connection. The caller closes it.
func (l *Link) Conn() (*net.TCPConn, error) {
	conn, err := takeSocket[net.Conn, *net.TCPConn](l, net.FileConn)
	if err != nil {
		return nil, fmt.Errorf("receiving a connection: %w", err)
	}
	return conn, nil
}

// CloseReceived closes the received descriptors that neither Listener nor Conn has returned.
func (l *Link) CloseReceived() {
	for _, descriptor := range l.descriptors {
		syscall.Close(descriptor)
	}
	l.descriptors = nil
}
