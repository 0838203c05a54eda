package serving

import (
	"testing"
	"time"

	"gorseledge/internal/figures"
)

// Guards against rows of a measurement during which the machine stalled: they would enter the table as costs of the node.
func TestMeasurementDuringAStallIsDiscardedAndRepeated(t *testing.T) {
	for _, c := range []struct {
		name      string
		stalled   int // attempts during which the machine stalls
		attempts  int
		discarded int
		fails     bool
	}{
		{name: "never", stalled: 0, attempts: 1, discarded: 0},
		{name: "once", stalled: 1, attempts: 2, discarded: 1},
		{name: "each time", stalled: maxAttempts, attempts: maxAttempts, discarded: maxAttempts, fails: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &run{Options: Options{Stall: time.Hour}, table: &figures.Table{}}
			m := measurement{repeat: 1, dimension: byFlows, size: 1, phase: flowsPhase}
			r.record(m, "node.cpu_total", microseconds, 1) // a row of an earlier measurement
			m.size = 2
			attempts := 0
			err := r.measure(t.Context(), "a measurement", func() error {
				attempts++
				r.Stall = time.Hour
				if attempts <= c.stalled {
					r.Stall = -time.Hour // every tick is later than this
				}
				r.record(m, "node.cpu_total", microseconds, float64(attempts))
				return nil
			})
			rows := 2
			if c.fails {
				rows = 1
			}
			failed := err != nil
			if failed != c.fails || attempts != c.attempts || r.discarded != c.discarded || len(r.table.Rows) != rows {
				t.Errorf("got error %v, %d attempts, %d discarded and rows %v; want an error: %v, %d attempts, %d discarded and %d rows",
					err, attempts, r.discarded, r.table.Rows, c.fails, c.attempts, c.discarded, rows)
			}
			if !c.fails && r.table.Rows[1].Value != float64(c.attempts) {
				t.Errorf("the table has the row %v, want the row of the last attempt, with value %d", r.table.Rows[1], c.attempts)
			}
		})
	}
}

// Guards against a later, shorter delay that replaces the longest one.
func TestLongestStallIsKept(t *testing.T) {
	began := time.Unix(1000, 0)
	s := stalls{last: began}
	ticks := []time.Duration{tickInterval, 3 * tickInterval, 4 * tickInterval, time.Second, time.Second + tickInterval}
	for _, since := range ticks {
		s.tick(began.Add(since))
	}
	want := time.Second - 5*tickInterval
	if s.longest != want {
		t.Errorf("longest stall is %v, want %v", s.longest, want)
	}
}
