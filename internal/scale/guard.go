package scale

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"
)

const (
	guardGap    = time.Second
	guardMargin = 0.95 // of a bound, at which the run is ended
	tellGap     = 15 * time.Second
)

// guard ends the run before it passes its bounds of time and memory, and tells from time to time what it holds.
func (r *run) guard(ctx context.Context, end context.CancelCauseFunc) {
	minutes, told := r.script.TotalMinutes, time.Now()
	for sleep(ctx, guardGap.Seconds()) == nil {
		processes := slices.Concat(r.reals.pids(), r.hollows.pids(), r.controls.pids(), []int{os.Getpid()})
		var memory float64
		for _, pid := range processes {
			if u, err := usageOf(pid); err == nil { // it may have ended meanwhile
				memory += u.memory / 1e6
			}
		}
		took := time.Since(r.began).Minutes()
		switch {
		case memory > guardMargin*r.script.TotalMemory:
			end(fmt.Errorf("%w: %.0f MB of %.0f", errBound, memory, r.script.TotalMemory))
		case took > guardMargin*minutes:
			end(fmt.Errorf("%w: %.1f minutes of %.1f for %d nodes", errBound, took, minutes, r.result.Size))
		case len(processes) >= mostProcesses:
			end(fmt.Errorf("%w: %d processes of %d", errBound, len(processes), mostProcesses))
		case time.Since(told) > tellGap:
			told = time.Now()
			r.say("%d processes hold %.0f MB", len(processes), memory)
		}
	}
}
