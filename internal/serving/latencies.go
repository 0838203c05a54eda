package serving

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minLatency        = time.Microsecond // shorter latencies are not distinguished
	maxLatency        = time.Minute      // longer latencies are recorded as this value
	significantDigits = 3
	median            = 50 // percent
	percentile99      = 99 // percent
)

// latencies is a histogram of delivery latencies. It is safe for concurrent use.
type latencies struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram // values in nanoseconds
}

func newLatencies() *latencies {
	return &latencies{histogram: hdrhistogram.New(int64(minLatency), int64(maxLatency), significantDigits)}
}

// add records the latency of one delivery.
func (l *latencies) add(latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.histogram.RecordValue(int64(min(latency, maxLatency)))
}

// count returns the number of recorded latencies.
func (l *latencies) count() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.histogram.TotalCount()
}

// percentile returns a percentile of the latencies in seconds. The argument is between 0 and 100.
func (l *latencies) percentile(percent float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.histogram.ValueAtQuantile(percent)) / nanosecondsPerSecond
}
