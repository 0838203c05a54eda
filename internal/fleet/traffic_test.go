package fleet

import (
	"net/netip"
	"sync/atomic"
	"testing"

	"gorseledge/internal/fleet/view"
	"gorseledge/internal/membership/wire"
)

// Guards against messages that are counted under the wrong kind, with the wrong size, or not at all: what one of two nodes
// counts as sent, the other must count as received.
func TestTrafficIsCountedAtBothEnds(t *testing.T) {
	first, second := startPair(t, nil)
	eventually(t, "the first node has sent some probes", func() bool { return sumTraffic(first.Traffic()).SentMessages > 20 })
	first.SetHandedOver(true) // sends nothing any more
	second.SetHandedOver(true)
	receivedByKind := map[string]view.Traffic{}
	for _, counts := range second.View().Traffic {
		receivedByKind[counts.Kind] = counts
	}
	for _, sent := range first.View().Traffic {
		if sent.SentMessages == 0 {
			continue
		}
		received := receivedByKind[sent.Kind]
		if received.ReceivedMessages > sent.SentMessages || received.ReceivedMessages < sent.SentMessages-3 ||
			received.ReceivedBytes > sent.SentBytes {
			t.Errorf("%s: %+v sent, %+v received", sent.Kind, sent, received)
		}
	}
	if ping := receivedByKind["ping"]; ping.ReceivedMessages == 0 || ping.ReceivedBytes < 40*ping.ReceivedMessages {
		t.Errorf("pings: %+v", ping)
	}
}

// Guards against a panic when a node of a newer version sends a kind of message that this version does not know.
func TestUnknownKindIsCountedAsNone(t *testing.T) {
	var counts trafficCounts
	counts.received(wire.Message_Kind(messageKinds), 10)
	counts.received(-1, 5)
	got := counts.nonZero()
	if len(got) != 1 || got[0].Kind != "none" || got[0].ReceivedMessages != 2 || got[0].ReceivedBytes != 15 {
		t.Errorf("%+v", got)
	}
}

// Guards against a simulated partition that lets datagrams pass in one direction, or counts dropped ones as traffic.
func TestFilterDropsDatagramsInBothDirectionsUncounted(t *testing.T) {
	var dropping atomic.Bool
	first, second := startPair(t, func(i int, f *Fleet) {
		if i == 0 {
			f.Filter(func(netip.AddrPort) bool { return dropping.Load() })
		}
	})
	dropping.Store(true)
	before := sumTraffic(first.Traffic())
	sent := sumTraffic(second.Traffic()).SentMessages // the second node keeps sending but receives nothing
	eventually(t, "the second node sends", func() bool { return sumTraffic(second.Traffic()).SentMessages > sent+20 })
	after := sumTraffic(first.Traffic())
	if after.SentMessages > before.SentMessages+1 || after.ReceivedMessages > before.ReceivedMessages+1 {
		t.Errorf("traffic %+v after the filter dropped all datagrams for a while, %+v before", after, before)
	}
	dropping.Store(false)
	eventually(t, "the first node receives messages again", func() bool {
		return sumTraffic(first.Traffic()).ReceivedMessages > after.ReceivedMessages
	})
}
