package membership

import "gorseledge/internal/membership/wire"

const (
	suspicionPeriods = 4.0  // periods to answer at the least, times the logarithm of the fleet's size (SWIM, section 4.2)
	suspicionSpread  = 6.0  // longest over shortest (Lifeguard, section IV.B)
	accusers         = 3    // beside the first, that shorten a suspicion to its least (Lifeguard)
	mostDoubt        = 8    // of a node in itself (Lifeguard, section IV.A)
	verifiers        = 10   // nodes that ask for themselves when they hear a suspicion
	mostBad          = 4    // bad links that a member tells of
	exchangePeriods  = 8    // between two exchanges of the whole state
	mostPieces       = 32   // messages of one exchange, and of all in a period
	spreadFactor     = 4.0  // times that news goes out, times the logarithm of the fleet's size
	deafPeriods      = 3.0  // without a message from anybody
	deafSlowing      = 0.97 // part of the time that does not count while deaf: a last survivor needs minutes to judge
	accusedPeriods   = 4.0  // after this node heard that it is held for suspect or dead itself
	newsPeriods      = 30.0 // that news goes out at the most; what it did not reach comes with an exchange
	mostMembers      = 1 << 14
	factsPeriods     = 5 // between two incarnations for new bad links
)

// Config is what a member is told at its start. Times are seconds.
type Config struct {
	Self    Member   // Name, Start, Address and facts
	Join    []string // addresses of some members
	Seed    uint64
	Period  float64 // between two probes
	Timeout float64 // for the answer to a probe; a third of the period at the most
	Helpers int     // members that are asked to probe one that did not answer
	Most    int     // bytes of a message
	Plain   bool    // SWIM alone, to measure what Lifeguard's parts bring
}

// Effect is one thing to do or to know.
type Effect interface{ effect() }

// What Tick and Receive give.
type (
	// Send is a message to an address.
	Send struct {
		To      string
		Message *wire.Message
	}
	// Changed tells that a member is new or has another state here than it had.
	Changed struct {
		Member
		New bool
		Was State
		By  string // of a suspicion: who said so first
	}
	// Replaced tells that a newer process goes by this one's name at another address: this one is to leave.
	Replaced struct{ By Member }
)

func (Send) effect()     {}
func (Changed) effect()  {}
func (Replaced) effect() {}
