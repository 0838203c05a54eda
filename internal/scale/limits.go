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
	lastReport := time.Now()
	for sleep(ctx, limitCheckInterval.Seconds()) == nil {
		processes := slices.Concat(r.reals.pids(), r.hollows.pids(), r.controls.pids(), []int{os.Getpid()})
		var memory float64
		for _, pid := range processes {
			if u, err := usageOf(pid); err == nil { // skip a process that ended since it was listed
				memory += u.memory / 1e6
			}
		}
		if err := r.limitReached(memory, time.Since(r.began).Minutes(), len(processes)); err != nil {
			end(err)
		} else if time.Since(lastReport) > usageReportInterval {
			lastReport = time.Now()
			r.reportProgress("%d processes hold %.0f MB", len(processes), memory)
		}
	}
}

// limitReached returns the error that ends a run with the given memory in megabytes, time in minutes and number of processes,
// or nil while it may go on.
func (r *run) limitReached(memory, minutes float64, processes int) error {
	switch {
	case memory > limitMargin*r.script.TotalMemory:
		return fmt.Errorf("%w: %.0f MB of %.0f", errLimit, memory, r.script.TotalMemory)
	case minutes > limitMargin*r.script.TotalMinutes:
		return fmt.Errorf("%w: %.1f minutes of %.1f for %d nodes", errLimit, minutes, r.script.TotalMinutes, r.result.Size)
	case processes >= maxProcesses:
		return fmt.Errorf("%w: %d processes of %d", errLimit, processes, maxProcesses)
	}
	return nil
}
