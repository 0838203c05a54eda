package placement

// Action is the operation that a decision requests from the host.
type Action uint8

// The actions of a decision. A flow gets any number of Connect decisions and at most one Reject or Abort.
const (
	Connect        Action = iota // attempt Flow at Server, with a timeout of Seconds
	Reject                       // answer the client of Flow that it may safely retry after Seconds
	Abort                        // end Flow without a promise that a retry is safe
	Migrate                      // ask the client of Flow to disconnect and connect again
	CheckHealth                  // send a health check to Server
	GossipLoad                   // report the Load of Server to the other nodes
	WatchEndpoints               // poll the endpoint list and watch it
	Wake                         // call Woken after Seconds
	Log                          // write Message to the log
)

// Decision is one operation for the host to carry out. Action determines which fields are set; the others are zero.
type Decision struct {
	Action  Action
	Flow    int     // index of the flow
	Server  int     // index of the server
	Seconds float64 // timeout of an attempt, Retry-After of a reject or delay of a wake
	Load    float64 // load of the server divided by its capacity, for the other nodes
	Message string  // text of a log line
}
