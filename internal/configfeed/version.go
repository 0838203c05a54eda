package configfeed

import (
	"cmp"
	"fmt"
)

// Version orders states. An operator begins an epoch after a backup was restored or a disk was lost; within an epoch
// the writer counts revisions up from 1. The zero version is older than any other and stands for "nothing yet".
type Version struct {
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"revision"`
}

// Compare returns -1, 0 or 1 as v is older than, equal to or newer than other.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Epoch, other.Epoch), cmp.Compare(v.Revision, other.Revision))
}

// String returns the form in which operators see a version: epoch.revision.
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Epoch, v.Revision) }

// newest returns the newer of a known version and a reported one. A reported epoch beyond MaxEpoch is ignored, so that a
// broken follower cannot use up the epochs.
func newest(known, reported Version) Version {
	if reported.Epoch > MaxEpoch {
		return known
	}
	if reported.Compare(known) <= 0 {
		return known
	}
	return reported
}
