package fleet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"gorseledge/internal/fleet/view"
	"gorseledge/internal/membership"
)

const (
	// waitLimit is the timeout of eventually. It is long because tests may run on a busy machine.
	waitLimit = 30 * time.Second
	// testPeriod is the shortest period that a fleet file may have, in seconds.
	testPeriod = 0.05
	testKey    = "one key of sixteen"
)

// freeAddress returns a loopback address with an unused UDP port.
func freeAddress(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return conn.LocalAddr().String()
}

// startFleet starts nodes on loopback that join each other, and stops them when the test ends. The function prepare is
// called for each node before it runs; it may be nil.
func startFleet(t *testing.T, count int, prepare func(i int, f *Fleet)) []*Fleet {
	t.Helper()
	var addresses []string
	for range count {
		addresses = append(addresses, freeAddress(t))
	}
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	var nodes []*Fleet
	for i, own := range addresses {
		c := Config{Fleet: "lima", Address: own, Join: addresses, Period: testPeriod, keys: [][]byte{[]byte(testKey)},
			Key: fmt.Sprintf("%x", testKey)}
		f := New(c, view.Options{Name: fmt.Sprintf("n%d", i), Seed: uint64(i), ConfiguredNodes: count, Log: zerolog.Nop()})
		if prepare != nil {
			prepare(i, f)
		}
		nodes = append(nodes, f)
		group.Go(func() { f.Run(ctx) })
	}
	return nodes
}

// startPair starts two nodes and waits until they know each other.
func startPair(t *testing.T, prepare func(i int, f *Fleet)) (first, second *Fleet) {
	t.Helper()
	nodes := startFleet(t, 2, prepare)
	eventually(t, "both know each other", func() bool { return nodes[0].LiveCount() == 2 && nodes[1].LiveCount() == 2 })
	return nodes[0], nodes[1]
}

// eventually waits until a condition holds. If it does not hold within waitLimit, the test fails.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition does not hold within %v: %s", waitLimit, what)
		}
	}
}

// sumTraffic returns the sums of the counts of all kinds.
func sumTraffic(counts []view.Traffic) view.Traffic {
	var sum view.Traffic
	for _, c := range counts {
		sum.SentMessages += c.SentMessages
		sum.SentBytes += c.SentBytes
		sum.ReceivedMessages += c.ReceivedMessages
		sum.ReceivedBytes += c.ReceivedBytes
	}
	return sum
}

// testMembers returns the given number of members for which no node runs.
func testMembers(count int) []membership.Member {
	var members []membership.Member
	for i := range count {
		members = append(members, membership.Member{
			Name:    fmt.Sprintf("m%03d", i),
			Start:   uint64(time.Now().UnixMicro()),
			Zone:    "a",
			Address: fmt.Sprintf("127.0.9.%d:7000", i+1),
			Build:   "0123456789ab",
		})
	}
	return members
}

// newTestAuthenticator returns an authenticator of a fleet with the given keys.
func newTestAuthenticator(t *testing.T, fleet string, keys ...string) *authenticator {
	t.Helper()
	c := Config{Fleet: fleet}
	for _, key := range keys {
		c.keys = append(c.keys, []byte(key))
	}
	return newAuthenticator(c)
}
