package scale

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/fleet/view"
)

// inForceDelays records, per node, the delay from the start of a measurement until the node puts in force a version that is
// newer than the version before the change. Each node contributes at most one delay per change.
type inForceDelays struct {
	mu        sync.Mutex
	startedAt time.Time
	previous  configfeed.Version
	recorded  map[string]bool // nodes whose delay has been recorded for this change
	delays    *hdrhistogram.Histogram
}

func newInForceDelays() *inForceDelays {
	return &inForceDelays{recorded: map[string]bool{}, delays: newDelayHistogram()}
}

// begin clears the delays and starts a measurement at the current time; previous is the version before the change. If
// previous is the same as in the last call, the change is the same too: nodes that were recorded stay excluded, so that
// only nodes without the change are measured, for example those of a region whose cut is about to end.
func (f *inForceDelays) begin(previous configfeed.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if previous != f.previous || f.startedAt.IsZero() {
		f.recorded = map[string]bool{}
	}
	f.startedAt, f.previous, f.delays = time.Now(), previous, newDelayHistogram()
}

// recordInstalled records the delay until a node put version v in force, at time at. It ignores versions that are not newer
// than previous and nodes that are recorded already. The delay is limited to the range of the histogram, so that
// RecordValue cannot fail: a version put in force before the measurement started counts as 1 ms.
func (f *inForceDelays) recordInstalled(node string, v configfeed.Version, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.startedAt.IsZero() || v.Compare(f.previous) <= 0 || f.recorded[node] {
		return
	}
	f.recorded[node] = true
	f.delays.RecordValue(min(max(at.Sub(f.startedAt).Milliseconds(), 1), maxDelayMillis))
}

// recordReportedConfig records the delay of a real node from its report, which states the version in force and, as Unix
// time in seconds, when the node put it in force.
func (f *inForceDelays) recordReportedConfig(node string, c view.Config) {
	seconds := int64(c.Since)
	f.recordInstalled(node, configfeed.Version{Epoch: c.Epoch, Revision: c.Revision},
		time.Unix(seconds, int64((c.Since-float64(seconds))*1e9)))
}

// snapshot returns the delays in milliseconds.
func (f *inForceDelays) snapshot() *hdrhistogram.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delays.Export()
}

// controlTraffic converts the request and byte counts of a node's follower to traffic of kind control; it returns nil if c
// is nil. The follower counts no responses, so one response per request is assumed.
func controlTraffic(c *view.Config) []view.Traffic {
	if c == nil {
		return nil
	}
	return []view.Traffic{{Kind: controlKind, SentMessages: int(c.Requests), SentBytes: int(c.BytesSent),
		ReceivedMessages: int(c.Requests), ReceivedBytes: int(c.BytesReceived)}}
}

const controlKind = "control" // kind of traffic of the requests to control servers over HTTP
