package peers

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// local opens a socket on loopback and tells its address.
func local(t *testing.T) (*net.UDPConn, string) {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c, c.LocalAddr().String()
}

// Words go to the nodes named and come from them alone, whatever else the network brings; nothing runs on after.
func TestLink(t *testing.T) {
	defer goleak.VerifyNone(t)
	peer, at := local(t)
	stranger, _ := local(t)
	own, self := local(t)
	own.Close()
	ctx, cancel := context.WithCancel(t.Context())
	l, err := Listen(ctx, self, []string{at, self})
	if err != nil {
		t.Fatal(err)
	}
	heard, served := make(chan []HostLoad, 8), make(chan error, 1)
	go func() { served <- l.Serve(ctx, func(words []HostLoad) { heard <- words }) }()
	words := make([]HostLoad, MaxLoads+2)
	for i := range words {
		words[i] = HostLoad{uint32(i), 0.5}
	}
	l.Send(words)
	buf := make([]byte, 2*MaxMessageBytes)
	var got []HostLoad
	for len(got) < len(words) {
		peer.SetReadDeadline(time.Now().Add(10 * time.Second))
		n, err := peer.Read(buf)
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, Parse(buf[:n])...)
	}
	if !slices.Equal(got, words) {
		t.Errorf("the other node got %v", got)
	}
	to := l.socket.conn.LocalAddr().(*net.UDPAddr)
	for _, m := range []struct {
		from *net.UDPConn
		text []byte
	}{
		{stranger, Append(nil, []HostLoad{{1, 1}})}, {peer, nil}, {peer, []byte{messageVersion + 1, 0, 0, 0, 1, 64}},
		{peer, make([]byte, MaxMessageBytes+5)}, {peer, Append(nil, []HostLoad{{7, 1}})},
	} {
		if _, err := m.from.WriteToUDP(m.text, to); err != nil {
			t.Fatal(err)
		}
	}
	if words := <-heard; !slices.Equal(words, []HostLoad{{7, 1}}) {
		t.Errorf("heard %v", words)
	}
	cancel()
	if err := <-served; err != nil || len(heard) > 0 {
		t.Errorf("ended with %v, %d more heard", err, len(heard))
	}
}

func TestListenFails(t *testing.T) {
	taken, at := local(t)
	defer taken.Close()
	for _, c := range []struct {
		own   string
		nodes []string
	}{{at, nil}, {"127.0.0.1:0", nil}, {"n1:5", nil}, {"127.0.0.1:1", []string{"n2"}}} {
		if _, err := Listen(t.Context(), c.own, c.nodes); err == nil {
			t.Errorf("%+v: it listens", c)
		}
	}
}
