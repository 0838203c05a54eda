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

// joined gives the two ends of a link, made by way of a path.
func joined(t *testing.T, path string) (predecessor, successor *Link) {
	t.Helper()
	ln, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return meet(t, ln, path)
}

func meet(t *testing.T, ln *net.UnixListener, path string) (predecessor, successor *Link) {
	t.Helper()
	successor, err := Dial(t.Context(), path)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := ln.AcceptUnix()
	if err == nil {
		predecessor, err = NewLink(conn)
	}
	if err != nil {
		t.Fatal(err)
	}
	for _, l := range []*Link{predecessor, successor} {
		l.SetReadTimeout(20 * time.Second)
		t.Cleanup(l.Close)
	}
	return predecessor, successor
}

func tcp(t *testing.T) (ln *net.TCPListener, near, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	a, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close(); c.Close(); a.Close() })
	return l.(*net.TCPListener), a.(*net.TCPConn), c.(*net.TCPConn)
}

// Messages come in order, with the sockets that belong to them, which live on when the sender's copies are closed.
func TestPass(t *testing.T) {
	for _, path := range []string{Path(t.TempDir(), "127.0.0.1:5000"),
		Path(filepath.Join(t.TempDir(), strings.Repeat("long/", 40)), "[::1]:5000")} {
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		predecessor, successor := joined(t, path)
		ln, near, far := tcp(t)
		_, host, box := tcp(t)
		if err := successor.Send(Message{Ask: RequestState}); err != nil {
			t.Fatal(err)
		}
		if m, err := predecessor.Receive(); err != nil || m.Ask != RequestState {
			t.Fatalf("%+v, %v", m, err)
		}
		// All is sent before anything is received: what belongs together has to come together all the same.
		big := &node.HandoverState{Index: 7, EndedFlows: map[uint64]uint64{}}
		for i := range uint64(4000) {
			big.EndedFlows[i] = ^i
		}
		for _, step := range []func() error{
			func() error { return predecessor.SendSockets(ln) },
			func() error { return predecessor.Send(Message{State: big}) },
			func() error { return predecessor.Send(Message{Update: &node.HandoverUpdate{DisabledHost: "s-1"}}) },
			func() error { return predecessor.SendSockets(near, host) },
			func() error {
				return predecessor.Send(Message{Transfer: &node.ConnectionTransfer{Host: "s-2", FromClient: []byte("M\x00 1")}})
			},
		} {
			if err := step(); err != nil {
				t.Fatal(err)
			}
		}
		m, err := successor.Receive()
		if err != nil || m.State == nil || m.State.Index != 7 || len(m.State.EndedFlows) != 4000 {
			t.Fatalf("%v, %v", m.State, err)
		}
		door, err := successor.Listener()
		if err != nil {
			t.Fatal(err)
		}
		defer door.Close()
		if m, err = successor.Receive(); err != nil || m.Update == nil || m.Update.DisabledHost != "s-1" {
			t.Fatalf("%+v, %v", m, err)
		}
		if m, err = successor.Receive(); err != nil || string(m.Transfer.FromClient) != "M\x00 1" {
			t.Fatalf("%+v, %v", m, err)
		}
		client, err := successor.Conn()
		if err != nil {
			t.Fatal(err)
		}
		stream, err := successor.Conn()
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		defer stream.Close()
		if _, err := successor.Conn(); err == nil {
			t.Error("a socket that nobody sent")
		}
		ln.Close()
		near.Close()
		host.Close()
		for far, near := range map[net.Conn]net.Conn{far: client, box: stream} { // neither is ended by that
			far.SetDeadline(time.Now().Add(20 * time.Second))
			io.WriteString(near, "M 1\n")
			if got, err := bufio.NewReader(far).ReadString('\n'); got != "M 1\n" {
				t.Errorf("%q, %v", got, err)
			}
		}
		if c, err := net.Dial("tcp", door.Addr().String()); err != nil {
			t.Errorf("the door is closed: %v", err)
		} else {
			c.Close()
		}
	}
}

// What a far side may say that is not the protocol.
func TestOddMessages(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"half a message", `{"version":1,"legacy":{"Index":`, "parse"},
		{"nothing", "", "EOF"},
		{"another version", `{"version":2,"ask":"claim"}` + "\n", "another version"},
		{"no version", `{"ask":"claim"}` + "\n", "another version"},
		{"no JSON", "OPEN 1 2 c=chat\r\n", "parse"},
		{"no end", strings.Repeat("x", maxMessageBytes+1), "too long"},
	} {
		predecessor, successor := joined(t, Path(t.TempDir(), "a:1"))
		go func() {
			io.WriteString(successor.conn, c.text)
			successor.conn.CloseWrite()
		}()
		if m, err := predecessor.Receive(); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %+v, %v", c.name, m, err)
		}
		predecessor.Close()
	}
	predecessor, successor := joined(t, Path(t.TempDir(), "a:1"))
	predecessor.SetReadTimeout(time.Millisecond) // nothing comes: that is no hang
	if _, err := predecessor.Receive(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error(err)
	}
	if err := successor.Send(Message{Transfer: &node.ConnectionTransfer{OpeningLine: strings.Repeat("x", maxMessageBytes)}}); err == nil {
		t.Error("a message without bound was sent")
	}
}

// Who offers last is found; a socket that a killed process left is nobody; a path that cannot be is an error.
func TestOffer(t *testing.T) {
	path := Path(t.TempDir(), "127.0.0.1:5000")
	if _, err := Dial(t.Context(), path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("nobody: %v", err)
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
	meet(t, second, path)
	first.Close()
	meet(t, second, path)
	second.Close()
	if _, err := Dial(t.Context(), path); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a stale socket: %v", err)
	}
	third, err := Listen(path) // which is in nobody's way
	if err != nil {
		t.Fatal(err)
	}
	meet(t, third, path)
	third.Close()
	for _, dir := range []string{filepath.Join(t.TempDir(), "none"), "/proc", fmt.Sprint(path, "/x")} {
		if ln, err := Listen(Path(dir, "a:1")); err == nil {
			ln.Close()
			t.Errorf("%s: offered", dir)
		}
	}
}
