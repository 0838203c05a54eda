package members

import (
	"context"
	"errors"
	"math"
	"reflect"
	"slices"
	"testing"
)

// Guards against false deaths that occur only after many periods without changes.
func TestFleetIsUnchangedAfterADay(t *testing.T) {
	s := newAgreedFleet(t, Options{Nodes: 5, Seed: 4, Period: 60})
	s.Run(s.Now + 86400)
	checkNoFalseDeaths(t, s)
	awaitAgreement(t, s, 1)
}

// Guards against gossip whose bytes for each member grow with the size of the fleet.
func TestBytesPerMemberDoNotGrowWithFleet(t *testing.T) {
	bytesPerSecond := func(nodes int) float64 {
		s := newAgreedFleet(t, Options{Nodes: nodes, Seed: 1})
		s.Run(s.Now + 90)
		from := s.Now
		before := s.sentTotals().bytes
		s.Run(s.Now + 60)
		return float64(s.sentTotals().bytes-before) / float64(nodes) / (s.Now - from)
	}
	small, large := bytesPerSecond(10), bytesPerSecond(100)
	if large > 3*small {
		t.Errorf("%.0f bytes a second for each member of 10, %.0f for each of 100, want at most three times as many", small, large)
	}
}

// Guards against idle traffic that grows with the size of the fleet: at rest, a member sends a probe and an answer each period
// and little else.
func TestIdleCostDoesNotGrowWithFleet(t *testing.T) {
	small := MeasureIdle(Options{Nodes: 5, Seed: 1}, 20)
	large := MeasureIdle(Options{Nodes: 60, Seed: 1}, 20)
	if small.Messages < 2 || large.Messages > 1.2*small.Messages || large.Bytes > 1.2*small.Bytes {
		t.Errorf("idle cost with 5 nodes: %+v, with 60: %+v", small, large)
	}
}

// Guards against a measurement that never finds the fleet at rest, or that fills in costs it does not measure.
func TestIntroducedFleetIsMeasuredAtRest(t *testing.T) {
	cost, err := MeasureIntroduced(t.Context(), Options{Nodes: 20, Seed: 1}, true, 20)
	if err != nil {
		t.Fatal(err)
	}
	if cost.Messages < 2 || cost.Bytes <= 0 || cost.CPU != 0 || cost.Memory != 0 {
		t.Errorf("unexpected cost %+v", cost)
	}
}

// Guards against a long measurement that cannot be cancelled.
func TestMeasureIntroducedEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := MeasureIntroduced(ctx, Options{Nodes: 5, Seed: 1}, true, 20); !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v, want %v", err, context.Canceled)
	}
}

// Guards against runs that depend on the iteration order of a map: the same seed has to result in the same events and bytes, even
// if many indirect probes fail.
func TestSameSeedGivesSameRun(t *testing.T) {
	run := func() *Simulation {
		s := New(Options{Nodes: 30, Seed: 3, Loss: 0.2, Period: 1})
		for i := range 6 {
			s.At(1005+float64(i), func() { s.Pause(i) })
			s.At(1012+float64(i), func() { s.Resume(i) })
		}
		s.Run(1040)
		return s
	}
	first := run()
	for range 4 {
		again := run()
		if !reflect.DeepEqual(first.Events, again.Events) || !slices.Equal(first.SentBytes, again.SentBytes) {
			t.Fatal("two runs with the same seed differ")
		}
	}
}

// Guards against an index outside the values at both ends, and without any values.
func TestQuantile(t *testing.T) {
	for _, c := range []struct {
		name           string
		values         []float64
		fraction, want float64
	}{
		{"least", []float64{3, 1, 2}, 0, 1},
		{"median", []float64{3, 1, 2}, 0.5, 2},
		{"largest", []float64{3, 1, 2}, 1, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := Quantile(c.values, c.fraction); got != c.want {
				t.Errorf("got quantile %g, want %g", got, c.want)
			}
		})
	}
	if got := Quantile(nil, 0.5); !math.IsNaN(got) {
		t.Errorf("got quantile %g of no values, want NaN", got)
	}
}
