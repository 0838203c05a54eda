package serving

import (
	"testing"
	"time"

	"gorseledge/internal/figures"
)

func TestMeasureDuringAStallIsDiscardedAndTakenAgain(t *testing.T) {
	for _, c := range []struct {
		name      string
		stalled   int // measures during which the machine stalls
		taken     int
		discarded int
		fails     bool
	}{
		{name: "never", stalled: 0, taken: 1, discarded: 0},
		{name: "once", stalled: 1, taken: 2, discarded: 1},
		{name: "each time", stalled: maxAttempts, taken: maxAttempts, discarded: maxAttempts, fails: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &run{Options: Options{Stall: time.Hour}, table: &figures.Table{}}
			m := measurement{repeat: 1, dimension: byFlows, size: 1, phase: flowsPhase}
			r.record(m, "node.cpu_total", microseconds, 1) // of another measure
			m.size = 2
			taken := 0
			err := r.measure(t.Context(), "a measure", func() error {
				taken++
				r.Stall = time.Hour
				if taken <= c.stalled {
					r.Stall = -time.Hour // every tick is later than that
				}
				r.record(m, "node.cpu_total", microseconds, float64(taken))
				return nil
			})
			rows := 2
			if c.fails {
				rows = 1
			}
			failed := err != nil
			if failed != c.fails || taken != c.taken || r.discarded != c.discarded || len(r.table.Rows) != rows {
				t.Errorf("%v: taken %d times, %d discarded, figures %v", err, taken, r.discarded, r.table.Rows)
			}
			if !c.fails && r.table.Rows[1].Value != float64(c.taken) {
				t.Errorf("kept %v, want the last measure's figure", r.table.Rows[1])
			}
		})
	}
}

func TestLongestStallIsKept(t *testing.T) {
	began := time.Unix(1000, 0)
	s := stalls{last: began}
	ticks := []time.Duration{tickInterval, 3 * tickInterval, 4 * tickInterval, time.Second, time.Second + tickInterval}
	for _, since := range ticks {
		s.tick(began.Add(since))
	}
	want := time.Second - 5*tickInterval
	if s.longest != want {
		t.Errorf("longest %v, want %v", s.longest, want)
	}
}
