package configfeed

// Refusal reports that a follower could not put a version in force, and why. The follower keeps the version that it has.
type Refusal struct {
	Version Version `json:"version"`
	Reason  string  `json:"reason"` // at most MaxReasonBytes
}

// Poll is a follower's request for a version newer than the one that it has.
type Poll struct {
	// Follower is the name of the follower, 1 to MaxNameBytes long.
	Follower string `json:"follower"`
	// Server is set if the follower is a control server itself.
	Server bool `json:"server,omitempty"`
	// Region is the region in which the follower runs. It is only shown to operators.
	Region string `json:"region,omitempty"`
	// Have is the version in force at the follower, or the zero version if there is none.
	Have Version `json:"have"`
	// Digest is the digest of the entries of Have.
	Digest Digest `json:"digest,string"`
	// Refused is the follower's refusal of a version newer than Have, or nil.
	Refused *Refusal `json:"refused,omitempty"`
	// NeedsSnapshot asks for the complete state. It is set after a delta that could not be applied to the state of Have.
	NeedsSnapshot bool `json:"whole,omitempty"`
	// Newest is the newest version that has been reported to the follower, whether or not it has that version.
	Newest Version `json:"newest,omitzero"`
	// Wait is how long the server may hold the poll while it has nothing newer, in seconds; zero asks for an immediate
	// answer. Servers limit it to maxPollWait.
	Wait float64 `json:"wait_s"`
}

// UpdateKind is the kind of an Update.
type UpdateKind string

// The kinds of an Update.
const (
	// Unchanged means that the server has the follower's version.
	Unchanged UpdateKind = "unchanged"
	// Changes means that the update carries the deltas or revisions that follow the follower's version, in order.
	Changes UpdateKind = "changes"
	// Snapshot means that the update carries the complete state.
	Snapshot UpdateKind = "snapshot"
	// Behind means that the server has an older version than the follower.
	Behind UpdateKind = "behind"
	// Diverged means that the server's history contains the follower's version with different entries: the disk of one
	// of the two was restored from a backup.
	Diverged UpdateKind = "diverged"
)

// Update answers a Poll.
type Update struct {
	Kind UpdateKind `json:"kind"`
	// Server is the name of the answering server.
	Server string `json:"server"`
	// Version is the newest version that the server has.
	Version Version `json:"version"`
	// Isolated is set if the server cannot reach a majority of the servers.
	Isolated bool `json:"isolated,omitempty"`
	// Deltas lead from the follower's version to Version, if Kind is Changes and the follower is a node.
	Deltas []Delta `json:"deltas,omitempty"`
	// Revisions replace Deltas if the follower is a server, which also needs the history.
	Revisions []Revision `json:"revisions,omitempty"`
	// State is the complete state, if Kind is Snapshot.
	State *State `json:"state,omitempty"`
}

// FollowerStatus is what a server knows about a follower that polls it.
type FollowerStatus struct {
	Name      string   `json:"name"`
	Server    bool     `json:"server,omitempty"` // the follower is a control server itself
	Region    string   `json:"region,omitempty"`
	Have      Version  `json:"have"`              // version in the last poll
	HaveSince float64  `json:"since_s"`           // Unix seconds of the first poll with Have
	LastHeard float64  `json:"heard_s"`           // Unix seconds of the last poll
	Refused   *Refusal `json:"refused,omitempty"` // refusal in the last poll, or nil
}
