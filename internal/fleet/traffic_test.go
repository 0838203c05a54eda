package fleet

import (
	"net/netip"
	"sync/atomic"
	"testing"

	"gorseledge/internal/fleet/view"
	"gorseledge/internal/membership/wire"
)

// Each message that one of two nodes sends is counted there as sent and at the other as received, with its bytes, by its
// kind.
func TestTrafficIsCountedAtBothEnds(t *testing.T) {
	first, second := startPair(t, nil)
	eventually(t, "they have probed", func() bool { return sumTraffic(first.Traffic()).SentMessages > 20 })
	first.SetHandedOver(true) // sends nothing from here on
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

func TestUnknownKindIsCountedAsNone(t *testing.T) {
	var counts trafficCounts
	counts.received(wire.Message_Kind(messageKinds), 10)
	counts.received(-1, 5)
	got := counts.nonZero()
	if len(got) != 1 || got[0].Kind != "none" || got[0].ReceivedMessages != 2 || got[0].ReceivedBytes != 15 {
		t.Errorf("%+v", got)
	}
}

func TestFilterDropsDatagramsBothWaysUncounted(t *testing.T) {
	var closed atomic.Bool
	first, second := startPair(t, func(i int, f *Fleet) {
		if i == 0 {
			f.Filter(func(netip.AddrPort) bool { return closed.Load() })
		}
	})
	closed.Store(true)
	before := sumTraffic(first.Traffic())
	sent := sumTraffic(second.Traffic()).SentMessages // the second node goes on sending and receives nothing more
	eventually(t, "the second node sends", func() bool { return sumTraffic(second.Traffic()).SentMessages > sent+20 })
	after := sumTraffic(first.Traffic())
	if after.SentMessages > before.SentMessages+1 || after.ReceivedMessages > before.ReceivedMessages+1 {
		t.Errorf("through a closed filter: %+v, before %+v", after, before)
	}
	closed.Store(false)
	eventually(t, "messages pass again", func() bool {
		return sumTraffic(first.Traffic()).ReceivedMessages > after.ReceivedMessages
	})
}
