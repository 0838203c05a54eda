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

// newLinkPair returns the two ends of a link that is made by way of a path.
func newLinkPair(t *testing.T, path string) (predecessor, successor *Link) {
	t.Helper()
	listener, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return acceptLink(t, listener, path)
}

// acceptLink dials a path and returns both ends of the link, of which listener has to accept one.
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

// newTCPPair returns both ends of a connection and the listener that accepted one of them.
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

// checkCarries checks that what is written to near is read from far.
func checkCarries(t *testing.T, near, far net.Conn) {
	t.Helper()
	far.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(near, "M 1\n")
	if got, err := bufio.NewReader(far).ReadString('\n'); got != "M 1\n" {
		t.Errorf("%q, %v", got, err)
	}
}

// Messages come in order, with the sockets that belong to them, which stay open when the sender's copies are closed.
func TestMessagesComeWithTheirSockets(t *testing.T) {
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
				t.Fatalf("%+v, %v", m, err)
			}
			checkHandsOver(t, predecessor, successor)
		})
	}
}

// checkHandsOver sends a state with a listener, an update and a transfer with its connections, all before anything is
// received, and checks that each message comes with its own sockets.
func checkHandsOver(t *testing.T, predecessor, successor *Link) {
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
		t.Fatalf("%v, %v", m.State, err)
	}
	receivedListener, err := successor.Listener()
	if err != nil {
		t.Fatal(err)
	}
	defer receivedListener.Close()
	m, err = successor.Receive()
	if err != nil || m.Update == nil || m.Update.DisabledHost != "s-1" {
		t.Fatalf("%+v, %v", m, err)
	}
	m, err = successor.Receive()
	if err != nil || string(m.Transfer.FromClient) != "M\x00 1" {
		t.Fatalf("%+v, %v", m, err)
	}
	receivedClient, receivedHost := receiveConns(t, successor)
	listener.Close()
	client.Close()
	host.Close()
	checkCarries(t, receivedClient, clientFar)
	checkCarries(t, receivedHost, hostFar)
	dialed, err := net.Dial("tcp", receivedListener.Addr().String())
	if err != nil {
		t.Fatalf("the listener is closed: %v", err)
	}
	dialed.Close()
}

// receiveConns returns the two connections that came, and checks that there is no third.
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
		t.Error("a socket that was not sent")
	}
	return client, host
}

// Anything that is not the protocol is an error.
func TestOddMessageIsAnError(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"half a message", `{"version":1,"legacy":{"Index":`, "parse"},
		{"nothing", "", "EOF"},
		{"another version", `{"version":2,"ask":"claim"}` + "\n", "another version"},
		{"no version", `{"ask":"claim"}` + "\n", "another version"},
		{"no JSON", "OPEN 1 2 c=chat\r\n", "parse"},
		{"no end", strings.Repeat("x", maxMessageBytes+1), "too long"},
	} {
		t.Run(c.name, func(t *testing.T) {
			predecessor, successor := newLinkPair(t, Path(t.TempDir(), "a:1"))
			go func() { // ends with the link, which the test closes
				io.WriteString(successor.conn, c.text)
				successor.conn.CloseWrite()
			}()
			if m, err := predecessor.Receive(); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%+v, %v", m, err)
			}
		})
	}
}

// Errors on which a caller acts are found by errors.Is.
func TestErrorsAreIdentified(t *testing.T) {
	predecessor, successor := newLinkPair(t, Path(t.TempDir(), "a:1"))
	io.WriteString(successor.conn, `{"version":2}`+"\n")
	if _, err := predecessor.Receive(); !errors.Is(err, ErrVersion) {
		t.Errorf("another version: %v", err)
	}
	successor.Close()
	if _, err := predecessor.Receive(); !errors.Is(err, io.EOF) {
		t.Errorf("a closed link: %v", err)
	}
}

// Receive does not wait for longer than the read timeout.
func TestReceiveTimesOut(t *testing.T) {
	predecessor, _ := newLinkPair(t, Path(t.TempDir(), "a:1"))
	predecessor.SetReadTimeout(time.Millisecond)
	if _, err := predecessor.Receive(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error(err)
	}
}

// A message that the far side could not receive is not sent.
func TestMessageWithoutBoundIsNotSent(t *testing.T) {
	_, successor := newLinkPair(t, Path(t.TempDir(), "a:1"))
	transfer := &node.ConnectionTransfer{OpeningLine: strings.Repeat("x", maxMessageBytes)}
	if err := successor.Send(Message{Transfer: transfer}); err == nil {
		t.Error("a message without bound was sent")
	}
}

// The process that listened last is found, and a socket that a killed process left behind is none.
func TestLastListenerIsFound(t *testing.T) {
	path := Path(t.TempDir(), "127.0.0.1:5000")
	if _, err := Dial(t.Context(), path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("no process: %v", err)
	}
	first, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("%v, %v", info.Mode(), err)
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
		t.Errorf("a stale socket: %v", err)
	}
	third, err := Listen(path) // in place of the stale socket
	if err != nil {
		t.Fatal(err)
	}
	acceptLink(t, third, path)
	third.Close()
}

// A path at which there cannot be a socket is an error.
func TestListenAtImpossiblePathFails(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "none")
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, dir string }{
		{"no such directory", missing},
		{"directory that takes no socket", "/proc"},
		{"directory that is a file", fmt.Sprint(file, "/x")},
	} {
		t.Run(c.name, func(t *testing.T) {
			listener, err := Listen(Path(c.dir, "a:1"))
			if err == nil {
				listener.Close()
				t.Error("it listens")
			}
		})
	}
}
