package peers

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"go.uber.org/goleak"
)

const receiveTimeout = 10 * time.Second

// listenLoopback opens a socket on loopback and returns its address as well.
func listenLoopback(t *testing.T) (*net.UDPConn, string) {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn, conn.LocalAddr().String()
}

// testLink is a link that is served until the test ends.
type testLink struct {
	*Link
	received chan []HostLoad
	served   chan error // has the result of Serve
	stop     context.CancelFunc
}

// startLink starts a link to the nodes named.
func startLink(t *testing.T, nodes ...string) *testLink {
	t.Helper()
	free, own := listenLoopback(t)
	free.Close()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	link, err := Listen(ctx, own, append(nodes, own))
	if err != nil {
		t.Fatal(err)
	}
	l := &testLink{Link: link, received: make(chan []HostLoad, 8), served: make(chan error, 1), stop: cancel}
	go func() { l.served <- l.Serve(ctx, func(loads []HostLoad) { l.received <- loads }) }()
	return l
}

// close ends the link and checks that it has received nothing more and that no goroutine is left.
func (l *testLink) close(t *testing.T) {
	t.Helper()
	l.stop()
	if err := <-l.served; err != nil || len(l.received) > 0 {
		t.Errorf("ended with %v, %d more received", err, len(l.received))
	}
	goleak.VerifyNone(t)
}

func TestLinkSendsAllLoadsToTheOtherNodes(t *testing.T) {
	peer, peerAddress := listenLoopback(t)
	link := startLink(t, peerAddress)
	loads := make([]HostLoad, MaxLoads+2)
	for i := range loads {
		loads[i] = HostLoad{uint32(i), 0.5}
	}
	link.Send(loads)
	buffer := make([]byte, 2*MaxMessageBytes)
	var got []HostLoad
	for len(got) < len(loads) {
		peer.SetReadDeadline(time.Now().Add(receiveTimeout))
		n, err := peer.Read(buffer)
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, Parse(buffer[:n])...)
	}
	if !slices.Equal(got, loads) {
		t.Errorf("the other node got %v", got)
	}
	link.close(t)
}

func TestLinkReceivesOnlyMessagesOfTheOtherNodes(t *testing.T) {
	peer, peerAddress := listenLoopback(t)
	stranger, _ := listenLoopback(t)
	link := startLink(t, peerAddress)
	to := link.socket.conn.LocalAddr().(*net.UDPAddr)
	for _, datagram := range []struct {
		from *net.UDPConn
		text []byte
	}{
		{stranger, Append(nil, []HostLoad{{1, 1}})},
		{peer, nil},
		{peer, []byte{messageVersion + 1, 0, 0, 0, 1, 64}},
		{peer, make([]byte, MaxMessageBytes+5)},
		{peer, Append(nil, []HostLoad{{7, 1}})},
	} {
		if _, err := datagram.from.WriteToUDP(datagram.text, to); err != nil {
			t.Fatal(err)
		}
	}
	if loads := <-link.received; !slices.Equal(loads, []HostLoad{{7, 1}}) {
		t.Errorf("received %v", loads)
	}
	link.close(t)
}

func TestListenFails(t *testing.T) {
	_, taken := listenLoopback(t)
	for _, c := range []struct {
		name, own string
		nodes     []string
	}{
		{"address in use", taken, nil},
		{"no port", "127.0.0.1:0", nil},
		{"own address not numeric", "n1:5", nil},
		{"other address not numeric", "127.0.0.1:1", []string{"n2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := Listen(t.Context(), c.own, c.nodes); err == nil {
				t.Errorf("%+v: it listens", c)
			}
		})
	}
}

func TestParseAddress(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"127.0.0.1:7000", "127.0.0.1:7000"},
		{"[::ffff:127.0.0.1]:7000", "127.0.0.1:7000"},
		{"[::1]:7000", "[::1]:7000"},
		{"127.0.0.1:0", ""},
		{"0.0.0.0:7000", ""},
		{"[::]:7000", ""},
		{"127.0.0.1", ""},
		{"n1:7000", ""},
	} {
		t.Run(c.text, func(t *testing.T) {
			address, err := ParseAddress(c.text)
			if valid := c.want != ""; valid != (err == nil) || valid && address.String() != c.want {
				t.Errorf("%v, %v, want %q", address, err, c.want)
			}
		})
	}
}
