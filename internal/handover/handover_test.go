package handover

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gorseledge/internal/node"
)

const testTimeout = 20 * time.Second

// newLinkPair returns both ends of a link that is connected through a socket at a path.
func newLinkPair(t *testing.T, path string) (predecessor, successor *Link) {
	t.Helper()
	listener, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return acceptLink(t, listener, path)
}

// acceptLink dials a path and returns both ends of the link. It fails the test unless listener accepts the connection.
func acceptLink(t *testing.T, listener *net.UnixListener, path string) (predecessor, successor *Link) {
	t.Helper()
	successor, err := Dial(t.Context(), path)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := listener.AcceptUnix()
	if err != nil {
		t.Fatal(err)
	}
	predecessor, err = NewLink(conn)
	if err != nil {
		t.Fatal(err)
	}
	for _, link := range []*Link{predecessor, successor} {
		link.SetReadTimeout(testTimeout)
		t.Cleanup(link.Close)
	}
	return predecessor, successor
}

// newTCPPair returns both ends of a TCP connection, and the listener that accepted near.
func newTCPPair(t *testing.T) (listener *net.TCPListener, near, far *net.TCPConn) {
	t.Helper()
	accepting, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepting.Close() })
	dialed, err := net.Dial("tcp", accepting.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialed.Close() })
	accepted, err := accepting.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return accepting.(*net.TCPListener), accepted.(*net.TCPConn), dialed.(*net.TCPConn)
}

// largeState returns a state whose message is longer than one read.
func largeState() *node.HandoverState {
	state := &node.HandoverState{Index: 7, EndedFlows: map[uint64]uint64{}}
	for i := range uint64(4000) {
		state.EndedFlows[i] = ^i
	}
	return state
}

// checkConnected checks that data written to near is read from far.
func checkConnected(t *testing.T, near, far net.Conn) {
	t.Helper()
	far.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(near, "M 1\n")
	if got, err := bufio.NewReader(far).ReadString('\n'); got != "M 1\n" {
		t.Errorf("read %q, %v; wanted %q", got, err, "M 1\n")
	}
}

// An upgrade would lose or mix up connections if sockets were matched to the wrong message, or closed together with the
// sender's copies. Messages arrive in order with their own sockets, which stay open when the sender closes its copies.
func TestMessagesArriveWithTheirSockets(t *testing.T) {
	for _, c := range []struct{ name, dir, listen string }{
		{"short path", "", "127.0.0.1:5000"},
		{"path that is too long for a socket", strings.Repeat("long/", 40), "[::1]:5000"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := Path(filepath.Join(t.TempDir(), c.dir), c.listen)
			if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
				t.Fatal(err)
			}
			predecessor, successor := newLinkPair(t, path)
			if err := successor.Send(Message{Request: RequestState}); err != nil {
				t.Fatal(err)
			}
			if m, err := predecessor.Receive(); err != nil || m.Request != RequestState {
				t.Fatalf("received %+v, %v; wanted a request for the state", m, err)
			}
			checkHandover(t, predecessor, successor)
		})
	}
}

// checkHandover sends a state with a listener, an update, and a transfer with its connections, all before anything is
// received. It checks that each message arrives with its own sockets.
func checkHandover(t *testing.T, predecessor, successor *Link) {
	t.Helper()
	listener, client, clientFar := newTCPPair(t)
	_, host, hostFar := newTCPPair(t)
	update := &node.HandoverUpdate{DisabledHost: "s-1"}
	transfer := &node.ConnectionTransfer{Host: "s-2", FromClient: []byte("M\x00 1")}
	for _, err := range []error{
		predecessor.SendSockets(listener),
		predecessor.Send(Message{State: largeState()}),
		predecessor.Send(Message{Update: update}),
		predecessor.SendSockets(client, host),
		predecessor.Send(Message{Transfer: transfer}),
	} {
		if err != nil {
			t.Fatal(err)
		}
	}
	m, err := successor.Receive()
	if err != nil || m.State == nil || m.State.Index != 7 || len(m.State.EndedFlows) != 4000 {
		t.Fatalf("received state %v, %v; wanted index 7 and 4000 ended flows", m.State, err)
	}
	receivedListener, err := successor.Listener()
	if err != nil {
		t.Fatal(err)
	}
	defer receivedListener.Close()
	m, err = successor.Receive()
	if err != nil || m.Update == nil || m.Update.DisabledHost != "s-1" {
		t.Fatalf("received %+v, %v; wanted an update about s-1", m, err)
	}
	m, err = successor.Receive()
	if err != nil || string(m.Transfer.FromClient) != "M\x00 1" {
		t.Fatalf("received %+v, %v; wanted a transfer with the client's input", m, err)
	}
	receivedClient, receivedHost := receiveConns(t, successor)
	listener.Close()
	client.Close()
	host.Close()
	checkConnected(t, receivedClient, clientFar)
	checkConnected(t, receivedHost, hostFar)
	dialed, err := net.Dial("tcp", receivedListener.Addr().String())
	if err != nil {
		t.Fatalf("dialing the received listener: %v", err)
	}
	dialed.Close()
}

// receiveConns returns the two connections that were received, and checks that there is no third.
func receiveConns(t *testing.T, link *Link) (client, host *net.TCPConn) {
	t.Helper()
	client, err := link.Conn()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	host, err = link.Conn()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { host.Close() })
	if _, err := link.Conn(); err == nil {
		t.Error("received a third socket, which was not sent")
	}
	return client, host
}

// A process must not act on messages that it cannot understand, such as those of another program or another protocol
// version, or of a peer that died while it was sending. Receive returns an error for each of them.
func TestInvalidMessageIsRejected(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"truncated message", `{"version":1,"legacy":{"Index":`, "parsing a handover message"},
		{"end of stream", "", "EOF"},
		{"another version", `{"version":2,"ask":"claim"}` + "\n", "unsupported handover protocol version: got 2, want 1"},
		{"no version", `{"ask":"claim"}` + "\n", "unsupported handover protocol version: got 0, want 1"},
		{"not JSON", "OPEN 1 2 c=chat\r\n", "parsing a handover message"},
		{"line without end", strings.Repeat("x", maxMessageBytes+1), "too long"},
	} {
		t.Run(c.name, func(t *testing.T) {
			predecessor, successor := newLinkPair(t, Path(t.TempDir(), "a:1"))
			go func() { // ends with the link, which the test closes
				io.WriteString(successor.conn, c.text)
				successor.conn.CloseWrite()
			}()
			if m, err := predecessor.Receive(); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("received %+v, %v; wanted an error that contains %q", m, err, c.want)
			}
		})
	}
}

// Callers handle another protocol version and a closed link differently from other errors, which fails if Receive hides
// these errors. errors.Is finds both.
func TestErrorsAreIdentified(t *testing.T) {
	predecessor, successor := newLinkPair(t, Path(t.TempDir(), "a:1"))
	io.WriteString(successor.conn, `{"version":2}`+"\n")
	if _, err := predecessor.Receive(); !errors.Is(err, ErrVersion) {
		t.Errorf("message of another version: %v", err)
	}
	successor.Close()
	if _, err := predecessor.Receive(); !errors.Is(err, io.EOF) {
		t.Errorf("closed link: %v", err)
	}
}

// A peer that hangs would block an upgrade for ever. Receive returns an error after the read timeout.
func TestReceiveTimesOut(t *testing.T) {
	predecessor, _ := newLinkPair(t, Path(t.TempDir(), "a:1"))
	predecessor.SetReadTimeout(time.Millisecond)
	if _, err := predecessor.Receive(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("Receive returned %v, wanted os.ErrDeadlineExceeded", err)
	}
}

// A message over the receiver's limit would end the link in the middle of an upgrade. Send returns an error instead.
func TestTooLongMessageIsNotSent(t *testing.T) {
	_, successor := newLinkPair(t, Path(t.TempDir(), "a:1"))
	transfer := &node.ConnectionTransfer{OpeningLine: strings.Repeat("x", maxMessageBytes)}
	if err := successor.Send(Message{Transfer: transfer}); err == nil {
		t.Error("Send accepted a message that is too long")
	}
}

// A successor must reach the process that serves now, even though earlier processes, which may have been killed, used the
// same path. Dial finds the process that listened last, and a socket that a process left behind counts as no process.
func TestLastListenerIsFound(t *testing.T) {
	path := Path(t.TempDir(), "127.0.0.1:5000")
	if _, err := Dial(t.Context(), path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("dialing without a process: %v", err)
	}
	first, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("socket has mode %v, %v; wanted 0600", info.Mode(), err)
	}
	second, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	acceptLink(t, second, path)
	first.Close()
	acceptLink(t, second, path)
	second.Close()
	if _, err := Dial(t.Context(), path); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dialing a stale socket: %v", err)
	}
	third, err := Listen(path) // replaces the stale socket
	if err != nil {
		t.Fatal(err)
	}
	acceptLink(t, third, path)
	third.Close()
}

// A process that could not listen but reported no error would never be found by a successor. Listen returns an error for
// a path at which no socket can be created.
func TestListenAtImpossiblePathFails(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "none")
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, dir string }{
		{"no such directory", missing},
		{"directory in which no socket can be created", "/proc"},
		{"directory that is a file", fmt.Sprint(file, "/x")},
	} {
		t.Run(c.name, func(t *testing.T) {
			listener, err := Listen(Path(c.dir, "a:1"))
			if err == nil {
				listener.Close()
				t.Error("Listen returned no error")
			}
		})
	}
}
