package membership

// Config is the configuration of a member. Times are in seconds. Period and ProbeTimeout have to be positive.
type Config struct {
	Self             Member   // Name, Start, Address, Zone, Build and Ready of this node
	Join             []string // addresses of some members, to find the others by; may contain this node's own
	Seed             uint64   // of all random choices
	Period           float64  // protocol period of SWIM: the time between two probes
	ProbeTimeout     float64  // for the answer to a direct probe; at most a third of the period
	IndirectProbes   int      // number of members that are asked to probe one that did not answer; 0 counts as 1
	MaxMessageBytes  int      // size limit of an encoded message
	WithoutLifeguard bool     // plain SWIM, to measure what Lifeguard's extensions change
}

// Periods and factors of the protocol.
const (
	// suspicionPeriods times the logarithm of the fleet's size is the shortest suspicion in periods (SWIM, section 4.2).
	suspicionPeriods = 4.0
	// suspicionSpread is the longest duration of a suspicion over the shortest (Lifeguard, section IV.B).
	suspicionSpread = 6.0
	// maxConfirmations is the number of confirmations, after the first suspicion, that shorten it to its shortest
	// duration (Lifeguard, section IV.B).
	maxConfirmations = 3
	// maxHealthScore bounds the local health score (Lifeguard, section IV.A).
	maxHealthScore = 8
	// verifyingMembers is the expected number of members that probe a reported suspect themselves.
	verifyingMembers = 10
	// finalProbePeriods is the time in periods for the answer to the probe that precedes a death.
	finalProbePeriods = 2
	// leaveSuspicionPeriods and maxLeaveSuspicionPeriods are the shortest and the longest duration in periods of a
	// suspicion of a member that is reported to have left.
	leaveSuspicionPeriods    = 1
	maxLeaveSuspicionPeriods = 2

	// startJitter is the part of a period within which a node that starts begins its first period. It spreads the
	// probes of a fleet whose nodes start together.
	startJitter = 0.25
	// pauseThreshold is the part of a period by which a tick has to be late for the process to count as paused.
	pauseThreshold = 0.25

	// exchangePeriods is the mean number of periods between two exchanges of the full state. The time between two of
	// them is drawn from exchangeMin to exchangeMin+exchangeSpan times that.
	exchangePeriods = 8
	exchangeMin     = 0.75
	exchangeSpan    = 0.5

	// isolatedPeriods is the number of periods without any message after which a node counts as isolated.
	isolatedPeriods = 3.0
	// isolatedSlowing is the part of the time that suspicions do not count while this node is isolated. They still
	// expire, so that the last survivor of a fleet declares the others dead within minutes.
	isolatedSlowing = 0.97
	// suspectedPeriods is the number of periods for which a node counts as isolated after it learned that others
	// suspect it or consider it dead.
	suspectedPeriods = 4.0

	// transmissionFactor times the logarithm of the fleet's size is how often an update is sent.
	transmissionFactor = 4.0
	// updatePeriods is the number of periods for which an update is sent at most. Members that missed it learn it by an
	// exchange of the full state.
	updatePeriods = 30.0
	// badLinkPeriods is the number of periods between two announcements of bad links.
	badLinkPeriods = 5
	// correctionPeriods is the number of periods between two corrections of the same sender.
	correctionPeriods = 0.5
)

// Limits that bound the work and memory that messages of others can cause.
const (
	maxMembers        = 1 << 14 // members that a node knows
	maxBadLinks       = 4       // bad links that a member announces
	maxFactBytes      = 64      // of a name, address, zone or build
	maxUpdates        = 64      // updates that are read from a message
	maxStateMessages  = 32      // messages with state that a node sends in a period
	maxIndirectProbes = 64      // concurrent probes at the request of others

	// updateOverheadBytes is the most that protobuf adds to an encoded update in a message: the field's tag and length.
	updateOverheadBytes = 3
	// minUpdatesTried is the number of pending updates that are tried for a message, beyond which the first that does
	// not fit ends the search.
	minUpdatesTried = 8
)
