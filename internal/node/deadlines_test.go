package node

import (
	"fmt"
	"testing"

	"gorseledge/internal/settings"
)

// An idle node wakes for its module's beat alone, however many hosts are listed. Guards against timers that
// wake for nothing: where many nodes share a machine, each pays for the others' wakes.
func TestIdleNodeWakesForItsBalancerAlone(t *testing.T) {
	for _, hosts := range []int{10, 60, 1000} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			harness := newHarness(t, "proxy", hosts, 1000)
			wakes, at := 0, harness.now
			for end := harness.now + 10; ; wakes++ {
				for _, e := range harness.node.Apply(at, TimerFired{}) {
					if timer, ok := e.(SetTimer); ok {
						harness.now = timer.At
					}
				}
				if at == harness.now || harness.now > end {
					break
				}
				at = harness.now
			}
			if wakes > 42 || wakes < 30 {
				t.Errorf("%d hosts: %d wakes in 10 s, wanted four a second", hosts, wakes)
			}
		})
	}
}

// What an idle second costs, a host: compare the figures of 10, 60 and 1,000.
func BenchmarkIdleSecond(b *testing.B) {
	for _, hosts := range []int{10, 60, 1000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			r, d, err := settings.Parse(fmt.Appendf(nil, settingsJSON, "proxy"), 7)
			if err != nil {
				b.Fatal(err)
			}
			now := 1e9
			n := New(now, Start{Settings: r, Listener: d, CachedList: hostList(hosts), MaxDescriptors: 1000})
			b.ReportAllocs()
			for b.Loop() {
				for range 4 {
					now += 0.25
					n.Apply(now, TimerFired{})
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*hosts), "ns/s/host")
		})
	}
}
