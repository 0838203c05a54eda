package node

import (
	"maps"
	"slices"

	"gorseledge/internal/line"
)

// maxEndedIDs bounds the memory for ids: of ended flows twice as many are kept, of inherited connections this many.
const maxEndedIDs = 4096

// flowIDs knows flows by the id in their opening line, which is new with every connection.
type flowIDs struct {
	open      map[string]*flow
	inherited map[string]*InheritedConnection // connections of the predecessor, by id

	// Client keys by the hash of an ended flow's id, in two generations: once recentlyEnded is full it takes the place
	// of previouslyEnded.
	recentlyEnded   map[uint64]uint64
	previouslyEnded map[uint64]uint64
}

// newFlowIDs returns ids of no flow.
func newFlowIDs() flowIDs {
	return flowIDs{
		open:          map[string]*flow{},
		inherited:     map[string]*InheritedConnection{},
		recentlyEnded: map[uint64]uint64{},
	}
}

// conflicts reports whether an opening line has the id of another client's flow. Hosts answer such a line with an
// error, which would count against them although the fault is the client's. Packets of a flow that arrive by another
// way now have the flow's id and its client key, and do not conflict.
func (ids *flowIDs) conflicts(opening line.Opening) bool {
	if f := ids.open[opening.ID]; f != nil {
		return !opening.MidFlow || opening.ClientKey != f.opening.ClientKey
	}
	if inherited := ids.inherited[opening.ID]; inherited != nil {
		return !opening.MidFlow || opening.ClientKey != inherited.ClientKey
	}
	hash := line.Hash([]byte(opening.ID))
	key, ended := ids.recentlyEnded[hash]
	if !ended {
		key, ended = ids.previouslyEnded[hash]
	}
	return ended && key != opening.ClientKey
}

// add notes that a flow has begun, in place of one with the same id.
func (ids *flowIDs) add(f *flow) { ids.open[f.opening.ID] = f }

// remove takes out a flow that is over and remembers its id.
func (ids *flowIDs) remove(f *flow) {
	if ids.open[f.opening.ID] == f {
		delete(ids.open, f.opening.ID)
	}
	ids.rememberEnded(f.opening.ID, f.opening.ClientKey)
}

// rememberEnded keeps the id of a flow that is over, with its client key.
func (ids *flowIDs) rememberEnded(id string, key uint64) {
	if len(ids.recentlyEnded) >= maxEndedIDs {
		ids.previouslyEnded = ids.recentlyEnded
		ids.recentlyEnded = map[uint64]uint64{}
	}
	ids.recentlyEnded[line.Hash([]byte(id))] = key
}

// endedKeys returns the client keys of all ended flows that are remembered, by the hash of the flow's id.
func (ids *flowIDs) endedKeys() map[uint64]uint64 {
	all := make(map[uint64]uint64, len(ids.recentlyEnded)+len(ids.previouslyEnded))
	maps.Copy(all, ids.previouslyEnded)
	maps.Copy(all, ids.recentlyEnded)
	return all
}

// restoreEnded replaces what is remembered of ended flows.
func (ids *flowIDs) restoreEnded(keys map[uint64]uint64) {
	ids.recentlyEnded = map[uint64]uint64{}
	ids.previouslyEnded = keys
}

// inheritedIDs returns the ids of the predecessor's connections, sorted.
func (ids *flowIDs) inheritedIDs() []string {
	return slices.Sorted(maps.Keys(ids.inherited))
}
