package fleet

import (
	"testing"

	"gorseledge/internal/membership"
)

func TestHandedOverProcessIsSilentUntilItTakesMembershipBack(t *testing.T) {
	first, second := startPair(t, nil)
	first.SetHandedOver(true)
	before := sumTraffic(first.Traffic())
	sent := sumTraffic(second.Traffic()).SentMessages
	eventually(t, "the second node sends", func() bool { return sumTraffic(second.Traffic()).SentMessages > sent+10 })
	after := sumTraffic(first.Traffic())
	// One datagram may have been read before the socket was closed.
	if after.SentMessages != before.SentMessages || after.ReceivedMessages > before.ReceivedMessages+1 {
		t.Errorf("after the hand-over %+v, before %+v", after, before)
	}
	first.SetHandedOver(false)
	eventually(t, "messages pass again", func() bool {
		return sumTraffic(first.Traffic()).ReceivedMessages > after.ReceivedMessages
	})
	eventually(t, "both are alive", func() bool {
		seenBySecond, _ := second.Member(first.Self().Name)
		return seenBySecond.State == membership.Alive && first.LiveCount() == 2
	})
}

func TestLeavingNodeIsSeenAsLeft(t *testing.T) {
	first, second := startPair(t, nil)
	first.Leave()
	eventually(t, "the second node sees it", func() bool {
		member, known := second.Member(first.Self().Name)
		return known && member.State == membership.Left
	})
}

func TestHandedOverProcessDoesNotAnnounceLeave(t *testing.T) {
	first, _ := startPair(t, nil)
	first.SetHandedOver(true)
	first.Leave()
	if self := first.Self(); self.State != membership.Alive {
		t.Errorf("it announces itself as %v, want alive", self.State)
	}
}
