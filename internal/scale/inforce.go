package scale

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/fleet/view"
)

// inForceTimes notes how soon each node puts a version in force that is newer than the one before a change. A node counts
// once for each change.
type inForceTimes struct {
	mu       sync.Mutex
	began    time.Time
	previous configfeed.Version
	recorded map[string]bool // nodes that have a newer version in force
	delays   *hdrhistogram.Histogram
}

func newInForceTimes() *inForceTimes {
	return &inForceTimes{recorded: map[string]bool{}, delays: newTimes()}
}

// begin starts to measure from now on. If previous is the same as before, nodes that already have the change are not
// counted again: only those that still have to learn of it, such as the nodes of a reconnected region.
func (f *inForceTimes) begin(previous configfeed.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if previous != f.previous || f.began.IsZero() {
		f.recorded = map[string]bool{}
	}
	f.began, f.previous, f.delays = time.Now(), previous, newTimes()
}

// recordInstalled notes that a node put a version in force at the given time.
func (f *inForceTimes) recordInstalled(node string, v configfeed.Version, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.began.IsZero() || v.Compare(f.previous) <= 0 || f.recorded[node] {
		return
	}
	f.recorded[node] = true
	f.delays.RecordValue(min(max(at.Sub(f.began).Milliseconds(), 1), maxDetectionMillis))
}

// recordConfig notes the configuration that a real node reports as in force.
func (f *inForceTimes) recordConfig(node string, c view.Config) {
	seconds := int64(c.Since)
	f.recordInstalled(node, configfeed.Version{Epoch: c.Epoch, Revision: c.Revision},
		time.Unix(seconds, int64((c.Since-float64(seconds))*1e9)))
}

func (f *inForceTimes) times() *hdrhistogram.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delays.Export()
}

// controlTraffic returns what a node's follower sent and received as traffic of kind control.
func controlTraffic(c *view.Config) []view.Traffic {
	if c == nil {
		return nil
	}
	return []view.Traffic{{Kind: controlKind, SentMessages: int(c.Requests), SentBytes: int(c.BytesSent),
		ReceivedMessages: int(c.Requests), ReceivedBytes: int(c.BytesReceived)}}
}

const controlKind = "control" // kind of traffic: polls of control servers over HTTP
