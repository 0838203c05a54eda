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
	Requested    int // first lines that clients sent
	Established  int
	InTarget     int // established within the set-up objective
	Rejected     int
	Aborted      int // ended by an answer other than a connection or a rejection
	Unanswered   int // clients that gave up at their connect timeout
	Served       int // connections that lasted as long as their clients wanted
	Migrated     int // connections that hosts asked to migrate
	Disconnected int // established connections that broke
	ListCalls    int
	HealthChecks int
	ServedShare  float64 // well-served seconds over requested ones, weighted by priority; 1 if none were requested
	StorePeak    float64 // most calls to the session store within a second
	StoreRefused int
	CPU          float64 // seconds of all nodes
	Steps        int     // events run
	TraceHash    uint64  // hash of the whole trace
	Violations   []Violation
	setups       *hdrhistogram.Histogram // microseconds
}

// newResult returns a result without any figures.
func newResult(scenario string, seed uint64) *Result {
	return &Result{Scenario: scenario, Seed: seed, setups: hdrhistogram.New(1, maxSetupMicroseconds, setupDigits)}
}

// recordSetup records the time that a connection took to be established. A time beyond the range of the histogram is
// not recorded.
func (r *Result) recordSetup(seconds float64) {
	_ = r.setups.RecordValue(max(int64(seconds*microsecondsPerSecond), 1))
}

// SetupQuantile returns the set-up time, in seconds, that the given share of connections did not exceed. The share
// goes from 0 to 1.
func (r *Result) SetupQuantile(share float64) float64 {
	return float64(r.setups.ValueAtQuantile(100*share)) / microsecondsPerSecond
}
