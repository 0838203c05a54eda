package scale

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"
)

const (
	limitCheckInterval  = time.Second
	limitMargin         = 0.95 // fraction of a limit at which the run is ended
	usageReportInterval = 15 * time.Second
)

// enforceLimits checks the time, the memory and the number of processes every limitCheckInterval until the context ends, and
// ends the run when the time or the memory exceeds limitMargin of its limit or the number of processes reaches maxProcesses.
// It reports the memory in use every usageReportInterval.
func (r *run) enforceLimits(ctx context.Context, end context.CancelCauseFunc) {
	minutes, lastReport := r.script.TotalMinutes, time.Now()
	for sleep(ctx, limitCheckInterval.Seconds()) == nil {
		processes := slices.Concat(r.reals.pids(), r.hollows.pids(), r.controls.pids(), []int{os.Getpid()})
		var memory float64
		for _, pid := range processes {
			if u, err := usageOf(pid); err == nil { // skip a process that ended since it was listed
				memory += u.memory / 1e6
			}
		}
		took := time.Since(r.began).Minutes()
		switch {
		case memory > limitMargin*r.script.TotalMemory:
			end(fmt.Errorf("%w: %.0f MB of %.0f", errLimit, memory, r.script.TotalMemory))
		case took > limitMargin*minutes:
			end(fmt.Errorf("%w: %.1f minutes of %.1f for %d nodes", errLimit, took, minutes, r.result.Size))
		case len(processes) >= maxProcesses:
			end(fmt.Errorf("%w: %d processes of %d", errLimit, len(processes), maxProcesses))
		case time.Since(lastReport) > usageReportInterval:
			lastReport = time.Now()
			r.reportProgress("%d processes hold %.0f MB", len(processes), memory)
		}
	}
}
