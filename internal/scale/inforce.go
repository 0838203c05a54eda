package scale

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/fleet/view"
)

// inForce notes when nodes put a newer version in force than the one before a change. Each node counts once.
type inForce struct {
	mu    sync.Mutex
	began time.Time
	was   configfeed.Version
	known map[string]bool // nodes that have it
	at    *hdrhistogram.Histogram
}

func newInForce() *inForce { return &inForce{known: map[string]bool{}, at: newTimes()} }

// begin counts from now on. Nodes that have a newer version already are not counted again where the change is the same
// one, of which other nodes are to learn.
func (f *inForce) begin(was configfeed.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if was != f.was || f.began.IsZero() {
		f.known = map[string]bool{}
	}
	f.began, f.was, f.at = time.Now(), was, newTimes()
}

// installed takes that a node has put a version in force at a moment.
func (f *inForce) installed(node string, v configfeed.Version, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.began.IsZero() || v.Compare(f.was) <= 0 || f.known[node] {
		return
	}
	f.known[node] = true
	f.at.RecordValue(min(max(at.Sub(f.began).Milliseconds(), 1), longestKnown))
}

// look takes what a real node tells of the configuration.
func (f *inForce) look(node string, c view.Config) {
	seconds := int64(c.Since)
	f.installed(node, configfeed.Version{Epoch: c.Epoch, Revision: c.Revision},
		time.Unix(seconds, int64((c.Since-float64(seconds))*1e9)))
}

func (f *inForce) times() *hdrhistogram.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.at.Export()
}

// controlTraffic counts what a node's follower sent and received as one more kind.
func controlTraffic(c *view.Config) []view.Traffic {
	if c == nil {
		return nil
	}
	return []view.Traffic{{Kind: controlKind, SentMessages: int(c.Requests), SentBytes: int(c.BytesSent),
		ReceivedMessages: int(c.Requests), ReceivedBytes: int(c.BytesReceived)}}
}

const controlKind = "control" // of traffic: polls of control servers, by HTTP
