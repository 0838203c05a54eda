package configfeed

import (
	"slices"
	"sort"
)

// HistoryRevisions is how many revisions a server keeps. A follower that is further behind gets a snapshot, and a
// proposal that is repeated after so many others is not recognised.
const HistoryRevisions = 2048

// history holds the newest revisions, oldest first. Those from index chain on lead to the server's version without a
// gap.
type history struct {
	revisions      []Revision
	contiguousFrom int
	proposals      map[string]Version // by the ID of the proposal
}

// newHistory takes the revisions that the disk held beside a state.
func newHistory(revisions []Revision, have State) *history {
	h := &history{proposals: map[string]Version{}}
	h.append(revisions, have)
	return h
}

// append adds revisions and finds out how far back they lead to the state that the server has now.
func (h *history) append(revisions []Revision, have State) {
	h.revisions = append(h.revisions, revisions...)
	for _, r := range revisions {
		if r.Proposal != "" {
			h.proposals[r.Proposal] = r.Delta.To
		}
	}
	h.contiguousFrom = h.contiguousStart(len(h.revisions), have)
	if excess := len(h.revisions) - HistoryRevisions; excess > 0 {
		h.drop(excess)
	}
}

// drop forgets the oldest revisions.
func (h *history) drop(count int) {
	for _, r := range h.revisions[:count] {
		if h.proposals[r.Proposal] == r.Delta.To {
			delete(h.proposals, r.Proposal)
		}
	}
	h.revisions = slices.Clone(h.revisions[count:])
	h.contiguousFrom = max(h.contiguousFrom-count, 0)
}

// contiguousStart returns the index from which the revisions before the end lead to a state without a gap.
func (h *history) contiguousStart(end int, have State) int {
	v, d := have.Version, have.Digest
	at := end
	for at > 0 && h.revisions[at-1].Delta.To == v && (at < end || h.revisions[at-1].Delta.Digest == d) {
		at--
		v = h.revisions[at].Delta.From
	}
	return at
}

// since returns the revisions that lead from a version to the server's, and whether there are such. same tells whether
// that version had the given digest here; it is true where that is not known.
func (h *history) since(v Version, d Digest) (revisions []Revision, same, found bool) {
	chain := h.revisions[h.contiguousFrom:]
	at := sort.Search(len(chain), func(i int) bool { return chain[i].Delta.From.Compare(v) >= 0 })
	if at == len(chain) || chain[at].Delta.From != v {
		return nil, true, false
	}
	same = at == 0 || chain[at-1].Delta.Digest == d
	return chain[at:], same, true
}
