package membership

import (
	"cmp"
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"gorseledge/internal/membership/wire"
)

// pendingUpdate is an update about a member that still has to be gossiped with other messages. The update itself is built
// from the current view when it is sent.
type pendingUpdate struct {
	name          string  // name of the member
	transmissions int     // number of messages that the update was sent with
	queuedAt      float64 // time of enqueueing in seconds
}

// enqueueUpdate queues an update about a member, to be sent with the next messages. It replaces a queued update about the
// same member.
func (m *Members) enqueueUpdate(peer *member) {
	m.pending = slices.DeleteFunc(m.pending, func(p pendingUpdate) bool { return p.name == peer.Name })
	m.pending = append(m.pending, pendingUpdate{name: peer.Name, queuedAt: m.now})
}

// send adds a Send effect for a message, with as many pending updates as fit. Updates with the fewest transmissions are
// sent first.
func (m *Members) send(to string, msg *wire.Message) {
	if to == "" || to == m.self.Address {
		return
	}
	msg.From = m.self.Name
	msg.Start = m.self.Start
	m.addPendingUpdates(msg)
	m.effects = append(m.effects, Send{To: to, Message: msg})
}

// addPendingUpdates adds pending updates to a message and removes those from the queue that were sent maxTransmissions
// times or are older than updatePeriods.
func (m *Members) addPendingUpdates(msg *wire.Message) {
	available := m.config.MaxMessageBytes - proto.Size(msg)
	slices.SortStableFunc(m.pending, func(a, b pendingUpdate) int { return cmp.Compare(a.transmissions, b.transmissions) })
	maxTransmissions := m.maxTransmissions()
	kept := m.pending[:0]
	for i, p := range m.pending {
		peer := m.find(p.name)
		if peer == nil {
			continue
		}
		u := peer.update()
		size := proto.Size(u) + updateOverheadBytes
		if size > available && i > minUpdatesTried {
			kept = append(kept, m.pending[i:]...)
			break
		}
		if size <= available {
			available -= size
			msg.Updates = append(msg.Updates, u)
			p.transmissions++
		}
		if p.transmissions < maxTransmissions && m.now-p.queuedAt < updatePeriods*m.config.Period {
			kept = append(kept, p)
		}
	}
	m.pending = kept
}

// maxTransmissions returns the number of messages that an update is sent with, for the current size of the fleet.
func (m *Members) maxTransmissions() int {
	return int(math.Ceil(transmissionFactor * math.Log10(float64(m.liveCount+1))))
}
