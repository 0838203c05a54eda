package serving

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minLatency        = time.Microsecond // that is told from a shorter one
	maxLatency        = time.Minute      // longer ones count as this
	significantDigits = 3
	median            = 50 // percent
	percentile99      = 99 // percent
)

// latencies collects how long deliveries took. Several goroutines may use it at once.
type latencies struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram // nanoseconds
}

// newLatencies returns an empty collection.
func newLatencies() *latencies {
	return &latencies{histogram: hdrhistogram.New(int64(minLatency), int64(maxLatency), significantDigits)}
}

// add adds one delivery's latency.
func (l *latencies) add(latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.histogram.RecordValue(int64(min(latency, maxLatency)))
}

// count returns how many latencies were added.
func (l *latencies) count() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.histogram.TotalCount()
}

// percentile returns a percentile in seconds; percent goes from 0 to 100.
func (l *latencies) percentile(percent float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.histogram.ValueAtQuantile(percent)) / nanosecondsInSecond
}
