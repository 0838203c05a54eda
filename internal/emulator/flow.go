package emulator

// flow is one first line of a client, from its sending to its end. The checker follows it by its id. Times are in seconds.
type flow struct {
	id           string
	trafficIndex int
	effect       Effect
	load         float64 // cores
	lifetime     float64
	deadline     float64      // when its client gives up
	acceptedBy   *nodeProcess // nil before
	answers      int          // first answers that its client got
	ranAt        float64      // when it was first carried out; 0 for never
	ranOn        *host        // where it was first carried out
	runs         int          // how often it was carried out
	openAttempts int          // attempts in flight
	clientLeftAt float64      // when its client left without an answer; 0 for not
	rejected     bool
}

// flowByID returns the flow with an id, or nil.
func (s *simulation) flowByID(id string) *flow { return s.flowsByID[id] }

// nodeRuns reports whether a node has accepted the flow's connection and still runs.
func (f *flow) nodeRuns() bool {
	return f.acceptedBy != nil && f.acceptedBy.running && !f.acceptedBy.vanished
}
