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

// tcpEstablished is the kernel's number of a connection's state, as TCP_INFO gives it.
const tcpEstablished = 1

// A client that goes after its first line was read, while the loop is busy with others, has nothing dialed for it,
// however it goes and whatever of it is not read yet: its going waits in the kernel, where the loop looks only once the
// line before it is handled.
func TestNothingIsDialedForAClientThatHasGone(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(c *net.TCPConn)
		dials bool
	}{
		{"stays", func(*net.TCPConn) {}, true},
		{"closes", func(c *net.TCPConn) { c.Close() }, false},
		{"ends its sending", func(c *net.TCPConn) { c.CloseWrite() }, false},
		{"breaks off", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, false},
		{"says more and closes", func(c *net.TCPConn) { io.WriteString(c, "x y z\r\n"); c.Close() }, false},
		{"says more and ends its sending", func(c *net.TCPConn) { io.WriteString(c, "x"); c.CloseWrite() }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startStepped(t)
			fmt.Fprint(s.client, "OPEN 1 a1 c=chat,d=5000\r\n")
			first := s.nextEvent().input.(node.ReadDone) // the line is read, and waits for the loop
			c.leave(s.client)
			if !c.dials {
				waitUntilNotEstablished(t, s.connections[1]) // its going has reached the node's machine
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
		t.Fatalf("its host was not dialed: %v", err)
	}
	got.Close()
	if flows := s.core.Usage().Flows; flows != 1 {
		t.Errorf("%d flows", flows)
	}
}

func checkNotDialed(t *testing.T, s *steppedServer) {
	t.Helper()
	if usage := s.core.Usage(); usage.Flows != 0 || usage.Connections != 0 {
		t.Errorf("%d flows and %d connections are held", usage.Flows, usage.Connections)
	}
	s.host.SetDeadline(time.Now()) // an attempt would have been there before: loopback takes it in the call
	if got, err := s.host.Accept(); err == nil {
		got.Close()
		t.Error("its host was dialed")
	}
}

// waitUntilNotEstablished waits until the kernel knows that the far side of a connection has ended its sending. It goes
// by the state of the connection, which is not what the code under test asks for.
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
	t.Fatal("the client's going never came")
}

// The system holds no small write back, to clients or to hosts, so that none is lost with a close.
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
		t.Fatalf("%d connections", len(s.connections))
	}
	for conn, c := range s.connections {
		var set int
		if err := c.raw.Control(func(fd uintptr) {
			set, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NODELAY)
		}); err != nil || set == 0 {
			t.Errorf("connection %d: TCP_NODELAY is %d, %v", conn, set, err)
		}
	}
}
