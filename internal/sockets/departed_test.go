package sockets

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"gorseledge/internal/discovery"
	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/node"
	"gorseledge/internal/settings"
	"gorseledge/placement"
)

// halted is a node whose loop the test turns by hand, one input at a time, with a client and a host on loopback sockets.
type halted struct {
	*testing.T
	*door
	host   *net.TCPListener
	client *net.TCPConn
}

func halt(t *testing.T) *halted {
	listen := func() *net.TCPListener {
		ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		return ln
	}
	host, front := listen(), listen()
	ctx, cancel := context.WithCancel(t.Context())
	group, ctx := errgroup.WithContext(ctx)
	began := time.Now()
	d := &door{log: zerolog.Nop(), group: group, ctx: ctx, inputs: make(chan any, waiting), links: map[node.Conn]*link{},
		began: began, base: float64(began.UnixNano()) / 1e9, timer: time.NewTimer(time.Hour),
		roster: discovery.Through(func(ctx context.Context, _, _ string) (net.Conn, error) { // never up
			<-ctx.Done()
			return nil, ctx.Err()
		}, "discovery")}
	d.core = node.New(d.now(), node.Start{MaxDescriptors: 100, Listener: settings.ListenerSettings{ServiceTypes: []string{"chat"}},
		Settings:   placement.Settings{Nodes: 1, MaxAttempts: 1, ServiceTypes: []placement.ServiceType{{Idempotency: placement.Idempotent}}},
		CachedList: endpoint.List{Hosts: []endpoint.Host{{Name: "s-1", Address: host.Addr().String(), Status: "SERVING"}}}})
	t.Cleanup(func() {
		for _, l := range d.links {
			l.close(false)
		}
		cancel()
		group.Wait()
	})
	client, err := net.DialTCP("tcp", nil, front.Addr().(*net.TCPAddr))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	accepted, err := front.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	d.link(1, accepted)
	d.apply(node.Accepted{Conn: 1})
	return &halted{t, d, host, client}
}

// input waits for the next thing that a goroutine hands to the loop.
func (h *halted) input() any {
	select {
	case in := <-h.inputs:
		return in
	case <-time.After(10 * time.Second):
		h.Fatal("nothing came")
		return nil
	}
}

// A client that goes after its first line was read, while the loop is busy with others: nothing is dialed for it,
// however it goes and whatever of it is not read yet. Guards against attempts that begin for one who left (its going
// waits in the kernel, where the loop looks only once the line before it is handled).
func TestDeparted(t *testing.T) {
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
		h := halt(t)
		fmt.Fprint(h.client, "OPEN 1 a1 c=chat,d=5000\r\n")
		first := h.input() // the line is read, and waits for the loop
		c.leave(h.client)
		if !c.dials {
			waitFor(t, h.links[1]) // it has reached the node's machine
		}
		h.apply(first.(node.ReadDone))
		flows, conns, _ := h.core.Usage()
		if !c.dials {
			if flows != 0 || conns != 0 {
				t.Errorf("%s: %d flows and %d connections are held", c.name, flows, conns)
			}
			h.host.SetDeadline(time.Now()) // a connect would have been there before: loopback takes it in the call
			if got, err := h.host.Accept(); err == nil {
				got.Close()
				t.Errorf("%s: its host was dialed", c.name)
			}
			continue
		}
		got, err := h.host.Accept()
		if err != nil {
			t.Fatalf("%s: its host was not dialed: %v", c.name, err)
		}
		got.Close()
		if flows != 1 {
			t.Errorf("%s: %d flows", c.name, flows)
		}
	}
}

// waitFor waits until the kernel has the news that the far side of a link has ended its sending, which is told apart
// from what the code under test asks: by the state of the connection.
func waitFor(t *testing.T, l *link) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		established := true
		if err := l.raw.Control(func(fd uintptr) {
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				established = info.State == 1 // TCP_ESTABLISHED
			}
		}); err != nil || !established {
			return
		}
	}
	t.Fatal("the client's going never came")
}

// No small write is held back by the system, to clients or to hosts, so that none goes down with a close.
func TestNoDelay(t *testing.T) {
	h := halt(t)
	fmt.Fprint(h.client, "OPEN 1 a1 c=chat,d=5000\r\n")
	h.apply(h.input().(node.ReadDone))
	up, err := h.host.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer up.Close()
	h.apply(h.arrived(h.input()))
	if len(h.links) != 2 {
		t.Fatalf("%d connections", len(h.links))
	}
	for conn, l := range h.links {
		var set int
		if err := l.raw.Control(func(fd uintptr) {
			set, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NODELAY)
		}); err != nil || set == 0 {
			t.Errorf("connection %d: TCP_NODELAY is %d, %v", conn, set, err)
		}
	}
}
