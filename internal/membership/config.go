package membership

// Config is the configuration of a member. Times are in seconds. Period and ProbeTimeout must be positive.
type Config struct {
	Self             Member   // Name, Start, Address, Zone, Build and Ready of this node
	Join             []string // addresses of members to contact in order to join; may contain this node's own
	Seed             uint64   // seed of the random number generator
	Period           float64  // protocol period of SWIM: the time between two probes
	ProbeTimeout     float64  // time allowed for the answer to a direct probe; at most a third of Period
	IndirectProbes   int      // number of members asked to probe a target that did not answer; 0 counts as 1
	MaxMessageBytes  int      // size limit of an encoded message
	WithoutLifeguard bool     // disables Lifeguard's extensions, to compare them with plain SWIM
}

// Periods and factors of the protocol.
const (
	// suspicionPeriods, multiplied by the decimal logarithm of the fleet's size, is the shortest duration of a suspicion
	// in periods (SWIM, section 4.2).
	suspicionPeriods = 4.0
	// suspicionSpread is the ratio of the longest duration of a suspicion to the shortest (Lifeguard, section IV.B).
	suspicionSpread = 6.0
	// maxConfirmations is the number of confirmations, after the first report, that reduce a suspicion to its shortest
	// duration (Lifeguard, section IV.B).
	maxConfirmations = 3
	// maxHealthScore is the upper limit of the local health score (Lifeguard, section IV.A).
	maxHealthScore = 8
	// verifyingMembers is the expected number of members that probe a suspect themselves after another member reported it.
	verifyingMembers = 10
	// finalProbePeriods is the number of periods that a suspect has to answer the last probe before it is declared dead.
	finalProbePeriods = 2
	// leaveSuspicionPeriods and maxLeaveSuspicionPeriods are the shortest and the longest duration, in periods, of the
	// suspicion of a member that another member reports to have left.
	leaveSuspicionPeriods    = 1
	maxLeaveSuspicionPeriods = 2

	// startJitter is the fraction of a period within which a starting node begins its first period, at a random time.
	// It spreads the probes of a fleet whose nodes start together.
	startJitter = 0.25
	// pauseThreshold is the fraction of a period by which a tick must be late for the process to count as paused.
	pauseThreshold = 0.25

	// exchangePeriods is the mean number of periods between two exchanges of the full state. Each interval is this
	// number multiplied by a random factor between exchangeMin and exchangeMin+exchangeSpan.
	exchangePeriods = 8
	exchangeMin     = 0.75
	exchangeSpan    = 0.5

	// isolatedPeriods is the number of periods without any message after which a node counts as isolated.
	isolatedPeriods = 3.0
	// isolatedSlowing is the fraction of the elapsed time that does not count towards the end of a suspicion while this
	// node is isolated. It is below 1, so that suspicions still expire and the last survivor of a fleet declares the
	// others dead within minutes.
	isolatedSlowing = 0.97
	// suspectedPeriods is the number of periods for which a node counts as isolated after it learned that others
	// suspect it or consider it dead.
	suspectedPeriods = 4.0

	// transmissionFactor, multiplied by the decimal logarithm of the fleet's size, is the number of messages that an
	// update is sent with.
	transmissionFactor = 4.0
	// updatePeriods is the maximum number of periods for which an update is sent. Members that missed it receive it
	// with an exchange of the full state.
	updatePeriods = 30.0
	// badLinkPeriods is the minimum number of periods between two announcements of bad links.
	badLinkPeriods = 5
	// correctionPeriods is the minimum number of periods between two corrections sent to the same member.
	correctionPeriods = 0.5
)

// Limits on the work and memory that messages of other members can cause.
const (
	maxMembers        = 1 << 14 // number of members that a node stores
	maxBadLinks       = 4       // number of bad links that a member announces
	maxFactBytes      = 64      // length of a name, address, zone or build
	maxUpdates        = 64      // number of updates that are read from one message
	maxStateMessages  = 32      // number of messages with state that a node sends in one period
	maxIndirectProbes = 64      // number of concurrent probes at the request of other members

	// updateOverheadBytes is the maximum that protobuf adds to an encoded update in a message: the field's tag and length.
	updateOverheadBytes = 3
	// minUpdatesTried is the index of the last pending update that is skipped if it does not fit into a message. After
	// it, the first update that does not fit ends the search.
	minUpdatesTried = 8
)
