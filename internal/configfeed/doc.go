// Package configfeed distributes the configuration of a fleet: a few control servers keep its revisions in one order,
// and every node follows one of them.
//
// One server, the writer, accepts proposals and numbers the revisions. The other servers follow it, and each other where
// it cannot be reached. A follower keeps one long poll open at a server of its region; the server answers when it has
// something newer than the follower, or after the requested wait. A follower never replaces a version by an older one.
//
// The package owns the two state machines, Server and Follower. It does no I/O, starts no goroutine and reads no clock:
// callers pass the time in seconds with every call, carry out the effects that are returned, and report the results. All
// random choices come from a seed. Neither type may be used by two goroutines at once.
package configfeed

// Limits of what is distributed. A change has to reach every node within seconds on a small budget of bytes, so both
// the complete state and one change are bounded.
const (
	// MaxStateBytes bounds the keys and values of a state, in bytes.
	MaxStateBytes = 1 << 20
	// MaxChangeBytes bounds the keys and values that one revision sets or deletes, in bytes.
	MaxChangeBytes = 64 << 10
	// MaxNameBytes bounds the name of a server or follower, in bytes.
	MaxNameBytes = 64
	// MaxReasonBytes bounds the reason of a refusal, in bytes.
	MaxReasonBytes = 512
	// MaxEpoch is the last epoch. It is the largest integer up to which JSON numbers are exact.
	MaxEpoch = 1 << 53
)
