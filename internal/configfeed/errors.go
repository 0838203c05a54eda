package configfeed

import "errors"

var (
	// ErrTooLarge is returned for a state that exceeds MaxStateBytes.
	ErrTooLarge = errors.New("too large")
	// ErrMismatch is returned for a state whose digest does not match its entries or whose entries are not sorted by
	// distinct keys, and for a delta that cannot be applied to a state. A follower that could not apply a delta asks for
	// a snapshot.
	ErrMismatch = errors.New("does not fit")
	// ErrRevisionNotFound is returned for a version that a log does not hold: the version is older than the log's base
	// state, or it never existed.
	ErrRevisionNotFound = errors.New("revision not found in the log")
)
