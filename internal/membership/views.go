package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// find returns a member by its name, including this node; nil where it is not known.
func (m *Members) find(name string) *member {
	if name == m.self.Name {
		return m.self
	}
	return m.byName[name]
}

// Self returns this node as it announces itself.
func (m *Members) Self() Member { return m.self.Member }

// HealthScore returns the local health score of this node (Lifeguard), 0 to 8. Its timeouts are longer by a factor of one more.
func (m *Members) HealthScore() int { return m.healthScore }

// Living returns the number of members that are alive or suspect, including this node.
func (m *Members) Living() int { return m.living }

// All returns all known members by name, including this node and those that are gone.
func (m *Members) All() []Member {
	all := []Member{m.self.Member}
	for _, x := range m.others {
		all = append(all, x.Member)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// PendingUpdates returns the number of members that this node still tells others of, with messages that it sends anyway.
func (m *Members) PendingUpdates() int { return len(m.news) }

// Member returns a member by its name, including this node; false where it is not known.
func (m *Members) Member(name string) (Member, bool) {
	if x := m.find(name); x != nil {
		return x.Member, true
	}
	return Member{}, false
}

// Digest returns a hash of the state, which is the same at two nodes that know the same about the same members.
func (m *Members) Digest() uint64 { return m.hash() }

// hash returns a hash of the state, which is the same at two nodes that know the same about the same members.
func (m *Members) hash() (sum uint64) {
	var buf []byte
	add := func(x *member) {
		gone := byte(0)
		if x.State.gone() {
			gone = 1
		}
		buf = append(append(buf[:0], x.Name...), gone)
		buf = binary.LittleEndian.AppendUint64(buf, x.Start)
		buf = binary.LittleEndian.AppendUint32(buf, x.Incarnation)
		sum ^= xxhash.Sum64(buf)
	}
	add(m.self)
	for _, x := range m.others {
		add(x)
	}
	return sum
}
