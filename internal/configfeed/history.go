package configfeed

import (
	"slices"
	"sort"
)

// HistoryRevisions is the number of revisions that a server keeps. A follower that is further behind is sent a snapshot,
// and a retry of a proposal whose revision is no longer kept is not recognized as a retry.
const HistoryRevisions = 2048

// history holds the newest revisions.
type history struct {
	revisions      []Revision         // oldest first
	contiguousFrom int                // index from which revisions lead to the server's version without a gap
	proposals      map[string]Version // versions of the applied proposals, by ID
}

// newHistory returns the history of the revisions that were stored on disk with a state.
func newHistory(revisions []Revision, have State) *history {
	h := &history{proposals: map[string]Version{}}
	h.append(revisions, have)
	return h
}

// append adds revisions, which lead to the server's current state.
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

// drop removes the oldest revisions.
func (h *history) drop(count int) {
	for _, r := range h.revisions[:count] {
		if h.proposals[r.Proposal] == r.Delta.To {
			delete(h.proposals, r.Proposal)
		}
	}
	h.revisions = slices.Clone(h.revisions[count:])
	h.contiguousFrom = max(h.contiguousFrom-count, 0)
}

// contiguousStart returns the index from which the revisions before index end lead to a state without a gap.
func (h *history) contiguousStart(end int, have State) int {
	start := end
	version := have.Version
	for start > 0 {
		delta := h.revisions[start-1].Delta
		if delta.To != version {
			break
		}
		if start == end && delta.Digest != have.Digest {
			break
		}
		start--
		version = delta.From
	}
	return start
}

// revisionPath is the path from one version to the server's version, as far as the history has it.
type revisionPath struct {
	found      bool       // the history reaches back to the version
	revisions  []Revision // revisions that follow the version, oldest first
	sameDigest bool       // the version had the given digest in this history; also true if its digest is not known
}

// since returns the path from a version with the given digest to the server's version.
func (h *history) since(v Version, d Digest) revisionPath {
	contiguous := h.revisions[h.contiguousFrom:]
	start := sort.Search(len(contiguous), func(i int) bool { return contiguous[i].Delta.From.Compare(v) >= 0 })
	if start == len(contiguous) || contiguous[start].Delta.From != v {
		return revisionPath{sameDigest: true}
	}
	same := start == 0 || contiguous[start-1].Delta.Digest == d
	return revisionPath{found: true, revisions: contiguous[start:], sameDigest: same}
}
