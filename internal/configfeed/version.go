package configfeed

import (
	"cmp"
	"fmt"
)

// Version identifies a state; versions are ordered by epoch, then by revision. An operator begins a new epoch after a
// backup was restored or a disk was lost. Within an epoch the writer numbers the revisions from 1. The zero version is
// older than any other and means that there is no state yet.
type Version struct {
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"revision"`
}

// Compare returns -1 if v is older than other, 0 if they are equal, and 1 if v is newer.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Epoch, other.Epoch), cmp.Compare(v.Revision, other.Revision))
}

// String returns the version as shown to operators, in the form epoch.revision.
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Epoch, v.Revision) }

// newest returns the newer of a known version and a reported one. A reported epoch above MaxEpoch is ignored: since a new
// epoch has to be higher than any reported one, a faulty follower could otherwise exhaust the epochs.
func newest(known, reported Version) Version {
	if reported.Epoch > MaxEpoch {
		return known
	}
	if reported.Compare(known) <= 0 {
		return known
	}
	return reported
}
