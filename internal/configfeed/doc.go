// Package configfeed distributes the configuration of a fleet: a few control servers keep a log of its revisions in one
// order, and every node follows one of these servers.
//
// One server, the writer, accepts proposals and numbers the revisions. The other servers follow the writer and each
// other, so that a revision also reaches a server that cannot reach the writer. A follower keeps one long poll open at a
// server, if possible of its own region; the server answers when it has a newer version than the follower, or after the
// requested wait. A follower never replaces a version by an older one.
//
// The package implements two state machines, Server and Follower. It does no I/O, starts no goroutine and reads no clock:
// callers pass the time in seconds with every call, carry out the returned effects, and report the results. All random
// choices derive from a seed. Neither type is safe for concurrent use.
package configfeed

// Limits of the distributed data. A change has to reach every node within seconds on a small bandwidth budget, so both
// the complete state and a single change are bounded.
const (
	// MaxStateBytes is the maximum total size of the keys and values of a state, in bytes.
	MaxStateBytes = 1 << 20
	// MaxChangeBytes is the maximum total size of the keys and values that one revision sets or deletes, in bytes.
	MaxChangeBytes = 64 << 10
	// MaxNameBytes is the maximum length of the name of a server or follower, in bytes.
	MaxNameBytes = 64
	// MaxReasonBytes is the maximum length of the reason of a refusal, in bytes.
	MaxReasonBytes = 512
	// MaxEpoch is the highest epoch: JSON numbers represent all integers up to it exactly.
	MaxEpoch = 1 << 53
)
