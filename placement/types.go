package placement

// Effect says what a repeat of a flow does.
type Effect uint8

const (
	OnceOnly Effect = iota // the zero value is the strictest
	Referenced
	Repeatable
)

// Group is the set of servers that drop the repeats of a referenced flow.
type Group uint8

const (
	GroupCell Group = iota
	GroupZone
	GroupAll
)

// ServiceType is one row of what differs between service types. Times are seconds.
type ServiceType struct {
	Effect      Effect
	Group       Group
	MemorySpan  float64 // how long repeats are dropped, from the first send that may have run
	SetupTarget float64
	MessageAim  float64 // how long a message may take on an open connection; 0 where not told
}

// Rundown is what a balancer reads at its start.
type Rundown struct {
	Seed         uint64
	Nodes        int     // balancers that share the fleet, this one included
	Self         int     // this one's number among them, the same after a restart
	Began        float64 // when this process did
	Tick         float64 // shortest gap between two rounds of inputs
	MaxConnects  int
	DialWithin   float64 // from a decision to connect until the line is written, at the most
	Probes       bool
	RetryAdvice  float64 // longest retry time a client follows; 0 where none is allowed
	Subscribe    bool    // the list must be asked for
	AskWithin    float64 // at least this often, without a subscription
	Reports      bool    // probes bring load reports
	Peers        bool    // nodes may tell one another what probes reported
	Timed        bool    // messages tell little of a jam: how long a probe takes stands in for delay notes
	ColdFrom     float64 // share of its capacity a server starts with
	ColdFor      float64 // warm after this at the latest
	FallMultiple float64 // a cold server sent more than this many times what it can do ...
	FallFor      float64 // ... for this long falls over
	Types        []ServiceType
	Quotas       []float64 // by member: open connections within its share, over all nodes; nil if none
}

// State is what the list says of a server.
type State uint8

const (
	Gone State = iota
	Ready
	Draining
)

// Listing is one server as the list tells it. Server is the door's small index, ID orders the base list.
type Listing struct {
	Server int
	ID     uint32
	State  State
	Since  float64 // when it last started; 0 for long ago
	Zone   int
	Cell   int
	Size   float64 // registered, to compare with others'; 0 where not told
}

// ListKind tells how a list relates to the one before.
type ListKind uint8

const (
	ListCached ListKind = iota
	ListChanges
	ListFull
	ListFailed // the call, or what it had opened
	ListSilent // what it had opened says nothing any more: the list is seconds old by then
)

// Arrival is a flow as it reaches this balancer.
type Arrival struct {
	Type, Tenant int
	Key, Group   uint64  // client key and group of flows; 0 for none
	Left         float64 // until the connect timeout
	Load         float64 // expected load, 0 where not told
	MidFlow      bool    // an open connection whose packets now come here
	On           int     // 1 + the server that holds it, where the predecessor has told; 0 else
	Back         bool    // the client comes again after a break or a move
}

// Outcome is how a connect or a probe ended.
type Outcome uint8

const (
	Served     Outcome = iota
	Errored            // the server answered with an error; it may have run
	Full               // turned away without a look
	Unanswered         // no answer in time; it may have run
	Unreached          // no connection in time; it never ran
	Broken             // broke while out; it may have run
	CalledOff          // ended by this side; it may have run
	NeverSent          // never left this node
)

// NeverRan tells whether an outcome proves that its connect had no effect.
func (o Outcome) NeverRan() bool { return o == Full || o == Unreached || o == NeverSent }

// Report is what a probe told of a server.
type Report struct {
	Load float64 // load asked over what it can do, negative where it was not told
	Took float64 // until the answer; 0 where that is not known
}

// Verb is what a decision asks the host to do.
type Verb uint8

const (
	Connect Verb = iota
	Reject
	Abort
	Move
	Probe
	Tell
	Follow
	Wake
	Log
)

// Decision is one thing to do. Within is a connect's time-out, a reject's retry time or a wake's delay.
type Decision struct {
	Do     Verb
	Flow   int
	Server int
	Within float64
	Load   float64 // of a server, for the other nodes
	Line   string
}
