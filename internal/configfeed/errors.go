package configfeed

import "errors"

var (
	// ErrTooLarge is the error of a state beyond MaxStateBytes.
	ErrTooLarge = errors.New("too large")
	// ErrMismatch is the error of a state that does not have its digest or whose entries are not in order, and of a
	// delta that does not lead on from a state. A follower asks for a snapshot then.
	ErrMismatch = errors.New("does not fit")
	// ErrRevisionNotFound is the error for a version that a log does not hold: it is older than the log's base, or
	// there was no such version.
	ErrRevisionNotFound = errors.New("the log holds no such revision")
)
