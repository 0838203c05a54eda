package node

import (
	"maps"

	"gorseledge/internal/line"
)

const mostSpent = 4096 // ids of ended flows that are kept, twice: a bound on memory

// ids knows the flows by the id of their first line, which is new with every connection.
type ids struct {
	open map[string]*flow
	sits map[string]*InheritedConnection // connections of the node's other process
	// Client keys by the hash of an ended flow's id; half of them outlive each turn.
	spent, older map[uint64]uint64
}

func newIDs() ids {
	return ids{open: map[string]*flow{}, sits: map[string]*InheritedConnection{}, spent: map[uint64]uint64{}}
}

// stray tells whether a first line has the id of another client's flow. Guards against errors at every host
// that are the client's own: they closed the gate for all others. Packets of a flow that come by another way
// now have its id, and its key.
func (s *ids) stray(o line.Opening) bool {
	if f := s.open[o.ID]; f != nil {
		return !o.MidFlow || o.Key != f.opening.Key
	}
	if there := s.sits[o.ID]; there != nil {
		return !o.MidFlow || o.Key != there.ClientKey
	}
	id := line.Hash([]byte(o.ID))
	key, ended := s.spent[id]
	if !ended {
		key, ended = s.older[id]
	}
	return ended && key != o.Key
}

func (s *ids) begin(f *flow) { s.open[f.opening.ID] = f }

func (s *ids) end(f *flow) {
	if s.open[f.opening.ID] == f {
		delete(s.open, f.opening.ID)
	}
	s.remember(f.opening.ID, f.opening.Key)
}

// remember keeps the id of a flow that is over.
func (s *ids) remember(id string, key uint64) {
	if len(s.spent) >= mostSpent {
		s.older, s.spent = s.spent, map[uint64]uint64{}
	}
	s.spent[line.Hash([]byte(id))] = key
}

// ended gives all that are remembered.
func (s *ids) ended() map[uint64]uint64 {
	all := make(map[uint64]uint64, len(s.spent)+len(s.older))
	maps.Copy(all, s.older)
	maps.Copy(all, s.spent)
	return all
}
