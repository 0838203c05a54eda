package emulator

// flow is the record that the checker keeps of one opening line of a client. Hosts and nodes look it up by its ID. Times are
// in seconds.
type flow struct {
	id           string
	trafficIndex int
	idempotency  Idempotency
	load         float64 // cores
	lifetime     float64
	deadline     float64      // time at which the client gives up
	acceptedBy   *nodeProcess // nil until a node has accepted the connection
	answers      int          // first answers that the client received
	ranAt        float64      // time at which it was first carried out; 0 for never
	ranOn        *host        // host that first carried it out
	runs         int          // number of times that it was carried out
	openAttempts int          // number of attempts in flight
	clientLeftAt float64      // time at which the client left without an answer; 0 if it did not
	rejected     bool
}

// flowByID returns the flow with an ID, or nil.
func (s *simulation) flowByID(id string) *flow { return s.flowsByID[id] }

// nodeRuns reports whether a node has accepted the flow's connection and is still running and reachable.
func (f *flow) nodeRuns() bool {
	return f.acceptedBy != nil && f.acceptedBy.running && !f.acceptedBy.vanished
}
