package fleet

import (
	"testing"

	"gorseledge/internal/membership"
)

// Guards against two processes of a node that send messages under the same name after a handover, and against a process
// that does not become a member again after its successor has ended.
func TestHandedOverProcessSendsNothingUntilItIsMemberAgain(t *testing.T) {
	first, second := startPair(t, nil)
	first.SetHandedOver(true)
	before := sumTraffic(first.Traffic())
	sent := sumTraffic(second.Traffic()).SentMessages
	eventually(t, "the second node sends", func() bool { return sumTraffic(second.Traffic()).SentMessages > sent+10 })
	after := sumTraffic(first.Traffic())
	// One datagram may have been read before the socket was closed.
	if after.SentMessages != before.SentMessages || after.ReceivedMessages > before.ReceivedMessages+1 {
		t.Errorf("traffic %+v some time after the handover, %+v right after it", after, before)
	}
	first.SetHandedOver(false)
	eventually(t, "the first node receives messages again", func() bool {
		return sumTraffic(first.Traffic()).ReceivedMessages > after.ReceivedMessages
	})
	eventually(t, "both nodes are alive", func() bool {
		seenBySecond, _ := second.Member(first.Self().Name)
		return seenBySecond.State == membership.Alive && first.LiveCount() == 2
	})
}

// Guards against a node that stops in an orderly way but is suspected and declared dead by the others.
func TestLeavingNodeIsSeenAsLeft(t *testing.T) {
	first, second := startPair(t, nil)
	first.Leave()
	eventually(t, "the second node considers the first one left", func() bool {
		member, known := second.Member(first.Self().Name)
		return known && member.State == membership.Left
	})
}

// Guards against a predecessor that ends and announces that the node leaves, although its successor is the member.
func TestHandedOverProcessDoesNotAnnounceLeave(t *testing.T) {
	first, _ := startPair(t, nil)
	first.SetHandedOver(true)
	first.Leave()
	if self := first.Self(); self.State != membership.Alive {
		t.Errorf("handed-over process announces the state %v, want alive", self.State)
	}
}
