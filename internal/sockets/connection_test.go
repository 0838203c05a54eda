package sockets

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"gorseledge/internal/node"
)

// tcpEstablished is the TCP state ESTABLISHED in the kernel's TCP_INFO.
const tcpEstablished = 1

// A host must not be dialed for a client that leaves after its opening line was read but before the loop handles that
// line. The loop has then not read the client's end, nor any bytes sent before it: both are still in the kernel. The dial
// must find this out, in whichever way the client leaves.
func TestNoDialForClientThatHasGone(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(c *net.TCPConn)
		dials bool
	}{
		{"stays", func(*net.TCPConn) {}, true},
		{"closes", func(c *net.TCPConn) { c.Close() }, false},
		{"closes its write side", func(c *net.TCPConn) { c.CloseWrite() }, false},
		{"resets the connection", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, false},
		{"sends more and closes", func(c *net.TCPConn) { io.WriteString(c, "x y z\r\n"); c.Close() }, false},
		{"sends more and closes its write side", func(c *net.TCPConn) { io.WriteString(c, "x"); c.CloseWrite() }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startStepped(t)
			fmt.Fprint(s.client, "OPEN 1 a1 c=chat,d=5000\r\n")
			first := s.nextEvent().input.(node.ReadDone) // the opening line has been read and waits for the loop
			c.leave(s.client)
			if !c.dials {
				waitUntilNotEstablished(t, s.connections[1]) // the node's kernel has received the end of the stream
			}
			s.apply(first)
			if c.dials {
				checkDialed(t, s)
			} else {
				checkNotDialed(t, s)
			}
		})
	}
}

func checkDialed(t *testing.T, s *steppedServer) {
	t.Helper()
	got, err := s.host.Accept()
	if err != nil {
		t.Fatalf("the host was not dialed: %v", err)
	}
	got.Close()
	if flows := s.core.Usage().Flows; flows != 1 {
		t.Errorf("%d flows, want 1", flows)
	}
}

func checkNotDialed(t *testing.T, s *steppedServer) {
	t.Helper()
	if usage := s.core.Usage(); usage.Flows != 0 || usage.Connections != 0 {
		t.Errorf("%d flows and %d connections are still open, want none", usage.Flows, usage.Connections)
	}
	s.host.SetDeadline(time.Now()) // loopback connects within the call to dial, so an attempt would already be in the backlog
	if got, err := s.host.Accept(); err == nil {
		got.Close()
		t.Error("the host was dialed")
	}
}

// waitUntilNotEstablished waits until the kernel has received the end of the remote side's stream. It reads the TCP state
// of the connection, so that it does not depend on the call that the code under test uses.
func waitUntilNotEstablished(t *testing.T, c *connection) {
	t.Helper()
	for end := time.Now().Add(eventTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		established := true
		err := c.raw.Control(func(fd uintptr) {
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				established = info.State == tcpEstablished
			}
		})
		if err != nil || !established {
			return
		}
	}
	t.Fatalf("the end of the client's stream did not arrive within %v", eventTimeout)
}

// Without TCP_NODELAY the kernel may hold back a small write, which is lost if the connection is then closed. The option
// must be set on the connections to clients and to hosts.
func TestConnectionsSendWithoutDelay(t *testing.T) {
	s := startStepped(t)
	fmt.Fprint(s.client, "OPEN 1 a1 c=chat,d=5000\r\n")
	s.apply(s.nextEvent().input.(node.ReadDone))
	accepted, err := s.host.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	s.apply(s.nextEvent().resolve())
	if len(s.connections) != 2 {
		t.Fatalf("%d connections, want 2", len(s.connections))
	}
	for conn, c := range s.connections {
		var set int
		if err := c.raw.Control(func(fd uintptr) {
			set, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NODELAY)
		}); err != nil || set == 0 {
			t.Errorf("connection %d: TCP_NODELAY is %d, error %v", conn, set, err)
		}
	}
}
