package node

import (
	"maps"
	"slices"

	"gorseledge/internal/generations"
	"gorseledge/internal/line"
)

// maxEndedIDs bounds the memory for ids. The ids of up to twice as many ended flows are kept, and up to this many
// inherited connections.
const maxEndedIDs = 4096

// flowIDs indexes flows by the id in their opening line. Clients choose a new id for every connection.
type flowIDs struct {
	open      map[string]*flow
	inherited map[string]*InheritedConnection // connections of the predecessor, by id

	ended generations.Map[uint64] // client keys by the hash of an ended flow's id
	ran   generations.Map[uint64] // client keys by the hash of the id of a RanFlow
}

// newFlowIDs returns an empty index.
func newFlowIDs() flowIDs {
	return flowIDs{
		open:      map[string]*flow{},
		inherited: map[string]*InheritedConnection{},
		ended:     generations.New[uint64](maxEndedIDs),
		ran:       generations.New[uint64](maxEndedIDs),
	}
}

// conflicts reports whether an opening line has the id of another client's flow. Hosts answer such a line with an
// error, which would count against them although the fault is the client's. The packets of a flow that changed its
// route carry the flow's own id and client key, and do not conflict.
func (ids *flowIDs) conflicts(opening line.Opening) bool {
	if f := ids.open[opening.ID]; f != nil {
		return !opening.MidFlow || opening.ClientKey != f.opening.ClientKey
	}
	if inherited := ids.inherited[opening.ID]; inherited != nil {
		return !opening.MidFlow || opening.ClientKey != inherited.ClientKey
	}
	key, ended := ids.ended.Get(line.Hash([]byte(opening.ID)))
	return ended && key != opening.ClientKey
}

// add adds a new flow, in place of an open one with the same id.
func (ids *flowIDs) add(f *flow) { ids.open[f.opening.ID] = f }

// remove removes a flow that has ended and remembers its id.
func (ids *flowIDs) remove(f *flow) {
	if ids.open[f.opening.ID] == f {
		delete(ids.open, f.opening.ID)
	}
	ids.rememberEnded(f.opening.ID, f.opening.ClientKey)
}

// rememberEnded stores the client key of an ended flow by the flow's id.
func (ids *flowIDs) rememberEnded(id string, key uint64) {
	ids.ended.Set(line.Hash([]byte(id)), key)
}

// inheritedIDs returns the ids of the predecessor's connections, sorted.
func (ids *flowIDs) inheritedIDs() []string {
	return slices.Sorted(maps.Keys(ids.inherited))
}
