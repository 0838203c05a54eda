package placement

// Idempotency says what a repeat of a flow does.
type Idempotency uint8

const (
	AtMostOnce Idempotency = iota // the zero value is the strictest
	IdempotentWithKey
	Idempotent
)

// KeyScope is the set of servers that drop the repeats of a referenced flow.
type KeyScope uint8

const (
	KeyScopeCell KeyScope = iota
	KeyScopeZone
	KeyScopeAll
)

// ServiceType is one row of what differs between service types. Times are seconds.
type ServiceType struct {
	Idempotency      Idempotency
	KeyScope         KeyScope
	KeyLifetime      float64 // how long repeats are dropped, from the first send that may have run
	SetupObjective   float64
	MessageObjective float64 // how long a message may take on an open connection; 0 where not told
}

// Settings is what a balancer reads at its start.
type Settings struct {
	Seed             uint64
	Nodes            int     // balancers that share the fleet, this one included
	NodeNumber       int     // this one's number among them, the same after a restart
	StartedAt        float64 // when this process did
	Tick             float64 // shortest gap between two rounds of inputs
	MaxAttempts      int
	DialTimeout      float64 // from a decision to connect until the line is written, at the most
	HealthChecks     bool
	MaxRetryAfter    float64 // longest retry time a client follows; 0 where none is allowed
	WatchEndpoints   bool    // the list must be asked for
	PollInterval     float64 // at least this often, without a subscription
	LoadReports      bool    // probes bring load reports
	LoadGossip       bool    // nodes may tell one another what probes reported
	TimeHealthChecks bool    // messages tell little of a jam: how long a probe takes stands in for delay notes
	SlowStartShare   float64 // share of its capacity a server starts with
	SlowStartTime    float64 // warm after this at the latest
	OverloadMultiple float64 // a cold server sent more than this many times what it can do ...
	OverloadWindow   float64 // ... for this long falls over
	ServiceTypes     []ServiceType
	Quotas           []float64 // by member: open connections within its share, over all nodes; nil if none
}

// EndpointState is what the list says of a server.
type EndpointState uint8

const (
	Removed EndpointState = iota
	Ready
	Draining
)

// Endpoint is one server as the list tells it. Server is the door's small index, ID orders the base list.
type Endpoint struct {
	Server    int
	ID        uint32
	State     EndpointState
	StartedAt float64 // when it last started; 0 for long ago
	Zone      int
	Cell      int
	Size      float64 // registered, to compare with others'; 0 where not told
}

// ListKind tells how a list relates to the one before.
type ListKind uint8

const (
	ListCached ListKind = iota
	ListChanges
	ListFull
	ListFailed   // the call, or what it had opened
	ListTimedOut // what it had opened says nothing any more: the list is seconds old by then
)

// Arrival is a flow as it reaches this balancer.
type Arrival struct {
	Type, Tenant        int
	ClientKey, GroupKey uint64  // client key and group of flows; 0 for none
	Timeout             float64 // until the connect timeout
	Load                float64 // expected load, 0 where not told
	MidFlow             bool    // an open connection whose packets now come here
	HeldBy              int     // 1 + the server that holds it, where the predecessor has told; 0 else
	Returning           bool    // the client comes again after a break or a move
}

// Outcome is how a connect or a probe ended.
type Outcome uint8

const (
	Served         Outcome = iota
	Failed                 // the server answered with an error; it may have run
	Rejected               // turned away without a look
	TimedOut               // no answer in time; it may have run
	ConnectFailed          // no connection in time; it never ran
	ConnectionLost         // broke while out; it may have run
	Canceled               // ended by this side; it may have run
	NotSent                // never left this node
)

// NeverRan tells whether an outcome proves that its connect had no effect.
func (o Outcome) NeverRan() bool { return o == Rejected || o == ConnectFailed || o == NotSent }

// LoadReport is what a probe told of a server.
type LoadReport struct {
	Load      float64 // load asked over what it can do, negative where it was not told
	RoundTrip float64 // until the answer; 0 where that is not known
}

// Action is what a decision asks the host to do.
type Action uint8

const (
	Connect Action = iota
	Reject
	Abort
	Migrate
	CheckHealth
	GossipLoad
	WatchEndpoints
	Wake
	Log
)

// Decision is one thing to do. Within is a connect's time-out, a reject's retry time or a wake's delay.
type Decision struct {
	Action  Action
	Flow    int
	Server  int
	Seconds float64
	Load    float64 // of a server, for the other nodes
	Message string
}
