package scale

import (
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/fleet/view"
)

// Guards against delays that count a node twice, count a version that is not newer than the previous one, or count a node
// again when the measurement restarts for the nodes that still lack the same change.
func TestInForceCountsEachNodeOnce(t *testing.T) {
	f := newInForceDelays()
	version := func(revision uint64) configfeed.Version { return configfeed.Version{Epoch: 1, Revision: revision} }
	count := func() int64 { return hdrhistogram.Import(f.snapshot()).TotalCount() }
	f.recordInstalled("a", version(5), time.Now()) // before any change
	f.begin(version(5))
	f.recordInstalled("a", version(5), time.Now())
	f.recordInstalled("a", version(6), time.Now())
	f.recordInstalled("a", version(7), time.Now())
	if count() != 1 {
		t.Errorf("%d nodes counted, want 1", count())
	}
	f.begin(version(5)) // restarted with the same previous version, for the nodes that were cut off
	f.recordInstalled("a", version(6), time.Now())
	f.recordReportedConfig("b", view.Config{Epoch: 1, Revision: 6, Since: float64(time.Now().UnixNano())/1e9 + 2})
	if h := hdrhistogram.Import(f.snapshot()); h.TotalCount() != 1 || h.Max() < 1900 || h.Max() > 2100 {
		t.Errorf("%d nodes counted, want 1; the last after %d ms, want about 2000 ms", h.TotalCount(), h.Max())
	}
	f.begin(version(6))
	f.recordInstalled("a", version(7), time.Now())
	if count() != 1 {
		t.Errorf("%d nodes counted after the next change, want 1", count())
	}
}
