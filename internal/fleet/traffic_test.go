package fleet

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"gorseledge/internal/fleet/view"
	"gorseledge/internal/membership"
	"gorseledge/internal/membership/wire"
)

const patience = 30 * time.Second // for what comes at once on an idle machine

// freeAddress gives an address on loopback at which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}

// startFleet starts nodes on loopback that join the first one, and ends them with the test.
func startFleet(t *testing.T, nodes int, period float64, prepare func(i int, f *Fleet)) (out []*Fleet) {
	t.Helper()
	var addresses []string
	for range nodes {
		addresses = append(addresses, freeAddress(t))
	}
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	for i, own := range addresses {
		c := Config{Fleet: "lima", Address: own, Join: addresses, Period: period, keys: [][]byte{[]byte("one key of sixteen")},
			Key: fmt.Sprintf("%x", "one key of sixteen")}
		f := New(c, view.Options{Name: fmt.Sprintf("n%d", i), Seed: uint64(i), ConfiguredNodes: nodes, Log: zerolog.Nop()})
		if prepare != nil {
			prepare(i, f)
		}
		out = append(out, f)
		group.Go(func() { f.Run(ctx) })
	}
	return out
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", patience, what)
		}
	}
}

func sum(of []view.Traffic) (s view.Traffic) {
	for _, t := range of {
		s.SentMessages += t.SentMessages
		s.SentBytes += t.SentBytes
		s.ReceivedMessages += t.ReceivedMessages
		s.ReceivedBytes += t.ReceivedBytes
	}
	return s
}

// Each message that one of two nodes sends is counted there as sent and at the other as received, with its bytes, by
// its kind.
func TestTrafficIsCountedAtBothEnds(t *testing.T) {
	nodes := startFleet(t, 2, 0.05, nil)
	eventually(t, "both know each other and have probed", func() bool {
		return nodes[0].Living() == 2 && nodes[1].Living() == 2 && sum(nodes[0].Traffic()).SentMessages > 20
	})
	nodes[0].SetHandedOver(true) // sends nothing from here on
	nodes[1].SetHandedOver(true)
	a, b := nodes[0].View().Traffic, nodes[1].View().Traffic
	byKind := map[string]view.Traffic{}
	for _, k := range b {
		byKind[k.Kind] = k
	}
	for _, k := range a {
		if k.SentMessages == 0 {
			continue
		}
		if got := byKind[k.Kind]; got.ReceivedMessages > k.SentMessages || got.ReceivedMessages < k.SentMessages-3 ||
			got.ReceivedBytes > k.SentBytes {
			t.Errorf("%s: %+v sent, %+v received", k.Kind, k, got)
		}
	}
	if ping := byKind["ping"]; ping.ReceivedMessages == 0 || ping.ReceivedBytes < 40*ping.ReceivedMessages {
		t.Errorf("pings: %+v", ping)
	}
}

// A filter keeps datagrams from and to an address away, and counts none of them.
func TestFilterDropsBothWays(t *testing.T) {
	var on atomic.Bool
	nodes := startFleet(t, 2, 0.05, func(i int, f *Fleet) {
		if i == 0 {
			f.Filter(func(netip.AddrPort) bool { return on.Load() })
		}
	})
	eventually(t, "both know each other", func() bool { return nodes[0].Living() == 2 && nodes[1].Living() == 2 })
	on.Store(true)
	before := sum(nodes[0].Traffic())
	// The other goes on sending and hears nothing more.
	sent := sum(nodes[1].Traffic()).SentMessages
	eventually(t, "the other sends on", func() bool { return sum(nodes[1].Traffic()).SentMessages > sent+20 })
	after := sum(nodes[0].Traffic())
	if after.SentMessages > before.SentMessages+1 || after.ReceivedMessages > before.ReceivedMessages+1 {
		t.Errorf("through a closed filter: %+v, before %+v", after, before)
	}
	on.Store(false)
	eventually(t, "messages pass again", func() bool { return sum(nodes[0].Traffic()).ReceivedMessages > after.ReceivedMessages })
}

// A node that was told of members by an introduction knows all of them, and one with another key none.
func TestIntroduceTellsAllMembers(t *testing.T) {
	nodes := startFleet(t, 2, 0.05, nil)
	eventually(t, "both know each other", func() bool { return nodes[0].Living() == 2 && nodes[1].Living() == 2 })
	const more = 50
	var all []membership.Member
	for i := range more {
		all = append(all, membership.Member{Name: fmt.Sprintf("m%03d", i), Start: uint64(time.Now().UnixMicro()), Zone: "a",
			Address: fmt.Sprintf("127.0.9.%d:7000", i+1), Build: "0123456789ab"})
	}
	c := Config{Fleet: "lima", Address: freeAddress(t), Key: fmt.Sprintf("%x", "another key, as long")}
	if err := Introduce(t.Context(), c, all, []string{nodes[0].Self().Address}, 0); err != nil {
		t.Fatal(err)
	}
	refused := func() (n int) {
		for _, k := range nodes[0].View().Rejected {
			n += k
		}
		return n
	}
	eventually(t, "strangers are refused", func() bool { return refused() == len(introductions(all, 1)) })
	if n := len(nodes[0].View().Members); n != 2 {
		t.Fatalf("%d members by a stranger's word", n)
	}
	c.Key = fmt.Sprintf("%x", "one key of sixteen")
	if err := Introduce(t.Context(), c, all, []string{nodes[0].Self().Address}, 0); err != nil {
		t.Fatal(err)
	}
	eventually(t, "all are known", func() bool { return len(nodes[0].View().Members) == more+2 })
}

// Introductions fit into a message each and name every member once.
func TestIntroductionsFit(t *testing.T) {
	var all []membership.Member
	for i := range 100 {
		all = append(all, membership.Member{Name: fmt.Sprintf("n%04d", i), Start: 1 << 50, Address: "127.100.100.100:7000", Zone: "a",
			Build: "0123456789ab"})
	}
	seen := map[string]bool{}
	for _, m := range introductions(all, 1<<50) {
		if size := proto.Size(m); size > maxMessageBytes {
			t.Errorf("%d bytes, and %d do", size, maxMessageBytes)
		}
		for _, u := range m.Updates {
			seen[u.Name] = true
		}
	}
	if len(seen) != len(all) {
		t.Errorf("%d of %d members", len(seen), len(all))
	}
}

// DatagramBytes is the size of what is sent.
func TestDatagramBytesIsTheSize(t *testing.T) {
	s := newAuthenticator(Config{Fleet: "lima", keys: [][]byte{[]byte("one key of sixteen")}})
	s.count = 1 << 13
	for _, about := range []string{"n2", "a name that makes the message longer than one byte of length can tell, as some are, so that " +
		"the length itself takes two bytes: it goes on a little"} {
		m := &wire.Message{Kind: wire.Message_PING, From: "n1", Start: 5, About: about}
		text, err := s.sign(m)
		if err != nil {
			t.Fatal(err)
		}
		if got := DatagramBytes(proto.Size(m)); got != len(text) {
			t.Errorf("%d bytes, and the datagram has %d", got, len(text))
		}
	}
}
