package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// known gives a member by its name, this one included.
func (m *Members) known(name string) *member {
	if name == m.self.Name {
		return m.self
	}
	return m.byName[name]
}

// Self is this member as it tells of itself.
func (m *Members) Self() Member { return m.self.Member }

// Doubt is this node's doubt of itself, 0 to 8: its times are that many times longer, plus one.
func (m *Members) Doubt() int { return m.doubt }

// Living is how many members live or are only suspected, this one included.
func (m *Members) Living() int { return m.living }

// All gives every member that is known, this one included, by name.
func (m *Members) All() []Member {
	all := []Member{m.self.Member}
	for _, x := range m.others {
		all = append(all, x.Member)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// hash is the same at two nodes that know the same of the same members.
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
