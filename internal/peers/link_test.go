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

// listenLoopback opens a UDP socket on loopback and returns it and its address.
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
	received chan []HostLoad // loads that Serve passed on
	served   chan error      // result of Serve
	stop     context.CancelFunc
}

// startLink starts a link to the nodes at the given addresses.
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

// close ends the link and checks that Serve returned no error, that no more loads were received, and that no goroutine is
// left.
func (l *testLink) close(t *testing.T) {
	t.Helper()
	l.stop()
	if err := <-l.served; err != nil || len(l.received) > 0 {
		t.Errorf("Serve returned %v, and %d more messages were received; want nil and 0", err, len(l.received))
	}
	goleak.VerifyNone(t)
}

// Guards against loads that are lost when they do not fit into a single message.
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
		t.Errorf("the other node received %v, want %v", got, loads)
	}
	link.close(t)
}

// Guards against loads from unknown senders, and against invalid datagrams that are passed on or stop the link.
func TestLinkReceivesOnlyMessagesOfTheOtherNodes(t *testing.T) {
	peer, peerAddress := listenLoopback(t)
	unknownSender, _ := listenLoopback(t)
	link := startLink(t, peerAddress)
	to := link.socket.conn.LocalAddr().(*net.UDPAddr)
	for _, datagram := range []struct {
		from *net.UDPConn
		text []byte
	}{
		{unknownSender, Append(nil, []HostLoad{{1, 1}})},
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
		t.Errorf("received %v, want only the last message of the other node", loads)
	}
	link.close(t)
}

// Guards against a link that seems to work although its own address or that of another node cannot be used.
func TestListenFails(t *testing.T) {
	_, usedAddress := listenLoopback(t)
	for _, c := range []struct {
		name, own string
		nodes     []string
	}{
		{"address in use", usedAddress, nil},
		{"port 0", "127.0.0.1:0", nil},
		{"own address not numeric", "n1:5", nil},
		{"other address not numeric", "127.0.0.1:1", []string{"n2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := Listen(t.Context(), c.own, c.nodes); err == nil {
				t.Errorf("%+v: no error, want one", c)
			}
		})
	}
}

// Guards against addresses that do not name a single node, and against two forms of the same address that compare as
// different, so that datagrams of a known node are dropped.
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
