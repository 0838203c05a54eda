package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// find returns the member with a name, which may be this node, or nil if it is not known.
func (m *Members) find(name string) *member {
	if name == m.self.Name {
		return m.self
	}
	return m.byName[name]
}

// Self returns this node as it announces itself.
func (m *Members) Self() Member { return m.self.Member }

// HealthScore returns the local health score of this node (Lifeguard), from 0 (healthy) to 8. The node's timeouts are
// multiplied by the score plus one.
func (m *Members) HealthScore() int { return m.healthScore }

// LiveCount returns the number of members that are alive or suspect, including this node.
func (m *Members) LiveCount() int { return m.liveCount }

// All returns all known members, sorted by name. They include this node, dead members and members that left.
func (m *Members) All() []Member {
	all := []Member{m.self.Member}
	for _, peer := range m.others {
		all = append(all, peer.Member)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// PendingUpdates returns the number of updates that wait to be gossiped with other messages.
func (m *Members) PendingUpdates() int { return len(m.pending) }

// Member returns the member with a name, which may be this node, and whether it is known.
func (m *Members) Member(name string) (Member, bool) {
	peer := m.find(name)
	if peer == nil {
		return Member{}, false
	}
	return peer.Member, true
}

// Digest returns a hash of the membership state. Two nodes return the same hash if they agree on the start, the incarnation
// and the liveness of the same members.
func (m *Members) Digest() uint64 {
	encoded := appendIdentity(nil, m.self)
	digest := xxhash.Sum64(encoded)
	for _, peer := range m.others {
		encoded = appendIdentity(encoded[:0], peer)
		digest ^= xxhash.Sum64(encoded)
	}
	return digest
}

// appendIdentity appends the part of a member's state that Digest covers: its name, whether it is gone, its start and its
// incarnation.
func appendIdentity(to []byte, peer *member) []byte {
	gone := byte(0)
	if peer.State.Gone() {
		gone = 1
	}
	to = append(to, peer.Name...)
	to = append(to, gone)
	to = binary.LittleEndian.AppendUint64(to, peer.Start)
	return binary.LittleEndian.AppendUint32(to, peer.Incarnation)
}
