package emulator

import "github.com/HdrHistogram/hdrhistogram-go"

const (
	microsecondsPerSecond = 1e6
	millisecondsPerSecond = 1e3
	maxSetupMicroseconds  = 1e9
	setupDigits           = 3 // significant digits of recorded set-up times
)

// Result is the outcome of a run.
type Result struct {
	Scenario     string
	Seed         uint64
	Requested    int // opening lines that clients sent
	Established  int
	InTarget     int // established within the set-up objective
	Rejected     int
	Aborted      int // ended by an answer other than a connection or a rejection
	Unanswered   int // clients that gave up at their connect timeout
	Served       int // connections that the host ended after the client's whole lifetime
	Migrated     int // connections whose clients were requested to migrate
	Disconnected int // established connections that were lost
	ListCalls    int
	HealthChecks int
	ServedShare  float64 // well-served seconds over requested ones, weighted by priority; 1 if none were requested
	StorePeak    float64 // highest number of calls to the session store within a second
	StoreRefused int
	CPU          float64 // processor time of all nodes, in seconds
	Steps        int     // number of events that were run
	TraceHash    uint64  // hash of the whole trace
	Violations   []Violation
	setups       *hdrhistogram.Histogram // microseconds
}

// newResult returns a result without recorded values.
func newResult(scenario string, seed uint64) *Result {
	return &Result{Scenario: scenario, Seed: seed, setups: hdrhistogram.New(1, maxSetupMicroseconds, setupDigits)}
}

// recordSetup records the time that a connection took to be established. A time beyond the range of the histogram is
// not recorded.
func (r *Result) recordSetup(seconds float64) {
	_ = r.setups.RecordValue(max(int64(seconds*microsecondsPerSecond), 1))
}

// SetupQuantile returns the set-up time, in seconds, that the given share of connections did not exceed. The share is
// between 0 and 1.
func (r *Result) SetupQuantile(share float64) float64 {
	return float64(r.setups.ValueAtQuantile(100*share)) / microsecondsPerSecond
}
