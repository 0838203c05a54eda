package placement

// Action is what a decision asks the host to do.
type Action uint8

// The actions of a decision. A flow gets any number of Connect decisions and at most one Reject or Abort.
const (
	Connect        Action = iota // send Flow to Server, within Seconds
	Reject                       // answer the client of Flow that it may retry after Seconds; nothing has had an effect
	Abort                        // end Flow without the promise that a retry is safe
	Migrate                      // send the client of Flow away, to connect again
	CheckHealth                  // send a health check to Server
	GossipLoad                   // notify the other nodes of the Load of Server
	WatchEndpoints               // poll the endpoint list and watch it
	Wake                         // call Woken after Seconds
	Log                          // write Message to the log
)

// Decision is one thing for the host to do. Which fields have a meaning depends on Action; the others are zero.
type Decision struct {
	Action  Action
	Flow    int     // index of the flow
	Server  int     // index of the server
	Seconds float64 // timeout of an attempt, Retry-After of a reject or delay of a wake
	Load    float64 // load of the server over its capacity, for the other nodes
	Message string  // text of a log line
}
