package scale

import (
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/fleet/view"
)

// A node counts once, from a newer version on, and only those that lack it count again for the same change.
func TestInForceCountsEachNodeOnce(t *testing.T) {
	f := newInForce()
	version := func(revision uint64) configfeed.Version { return configfeed.Version{Epoch: 1, Revision: revision} }
	count := func() int64 { return hdrhistogram.Import(f.times()).TotalCount() }
	f.installed("a", version(5), time.Now()) // before any change
	f.begin(version(5))
	f.installed("a", version(5), time.Now())
	f.installed("a", version(6), time.Now())
	f.installed("a", version(7), time.Now())
	if count() != 1 {
		t.Errorf("%d nodes, and one has it", count())
	}
	f.begin(version(5)) // for those that were cut off
	f.installed("a", version(6), time.Now())
	f.look("b", view.Config{Epoch: 1, Revision: 6, Since: float64(time.Now().UnixNano())/1e9 + 2})
	if h := hdrhistogram.Import(f.times()); h.TotalCount() != 1 || h.Max() < 1900 || h.Max() > 2100 {
		t.Errorf("%d nodes, the last after %d ms", h.TotalCount(), h.Max())
	}
	f.begin(version(6))
	f.installed("a", version(7), time.Now())
	if count() != 1 {
		t.Errorf("%d nodes after the next change", count())
	}
}
