package membership

import "gorseledge/internal/membership/wire"

const (
	suspicionPeriods = 4.0  // shortest suspicion in periods, times the logarithm of the fleet's size (SWIM, section 4.2)
	suspicionSpread  = 6.0  // longest suspicion over the shortest (Lifeguard, section IV.B)
	confirmations    = 3    // after the first suspicion, that shorten it to its least (Lifeguard)
	maxHealthScore   = 8    // bound of the local health score (Lifeguard, section IV.A)
	verifyingMembers = 10   // expected number of nodes that probe a suspect themselves
	maxBadLinks      = 4    // bad links that a member announces
	exchangePeriods  = 8    // between two exchanges of the whole state
	maxStateMessages = 32   // state messages that a node sends in a period
	spreadFactor     = 4.0  // times that news is sent, times the logarithm of the fleet's size
	isolatedPeriods  = 3.0  // without any message, after which a node counts as isolated
	isolatedSlowing  = 0.97 // share of time not counted while isolated: a last survivor takes minutes to judge
	accusedPeriods   = 4.0  // after this node learned that others suspect it or hold it for dead
	newsPeriods      = 30.0 // for which news is sent at most; members that missed it learn it by an exchange of state
	maxMembers       = 1 << 14
	badLinkPeriods   = 5 // between two announcements of bad links
)

// Config is the configuration of a member. Times are seconds.
type Config struct {
	Self             Member   // Name, Start, Address and facts
	Join             []string // addresses of some members
	Seed             uint64
	Period           float64 // between two probes
	ProbeTimeout     float64 // for the answer to a probe; a third of the period at the most
	IndirectProbes   int     // members that are asked to probe one that did not answer, 1 at least
	MaxMessageBytes  int     // size limit of a message in bytes
	WithoutLifeguard bool    // SWIM without Lifeguard, to measure the difference
}

// Effect is a result of Tick or Receive: Send, Changed or Replaced.
type Effect interface{ effect() }

// The effects.
type (
	// Send asks the caller to send a message to an address.
	Send struct {
		To      string
		Message *wire.Message
	}
	// Changed reports that a member is new or has changed its state.
	Changed struct {
		Member
		New         bool
		Previous    State
		SuspectedBy string // for a suspicion, the member that reported it
	}
	// Replaced reports that a later process has this node's name at another address. This node has to leave.
	Replaced struct{ Successor Member }
)

func (Send) effect()     {}
func (Changed) effect()  {}
func (Replaced) effect() {}
