package scale

import (
	"errors"
	"strings"
	"sync/atomic"
	"testing"

	"golang.org/x/sys/unix"
)

// Guards against a run that exceeds its limit of memory or time: it ends with an error before, keeps what it measured, and
// leaves no process. The memory limit is reached after the first phase was measured, at the latest then by memory that the
// test takes itself, so that there is something to keep however busy the machine is. The time limit may end a run on a busy
// machine before its first phase is measured.
func TestRunEndsBeforeItExceedsALimit(t *testing.T) {
	for _, c := range []struct {
		name, limit, message string
		afterFirstPhase      func(*testing.T)
	}{
		{"memory", "total_memory_mb = 1000\n", "MB of 1000", func(t *testing.T) { takeMemory(t, 1000) }},
		{"time", "minutes = 0.1\n", "minutes of 0.1", func(*testing.T) {}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, err := Read("script", []byte(shortScript+c.limit))
			if err != nil {
				t.Fatal(err)
			}
			var measured atomic.Bool // the first phase
			r, err := Run(t.Context(), s, 20, options(t, unmodifiedHollow, func(line string) {
				if strings.Contains(line, "all nodes know each other") {
					measured.Store(true)
					c.afterFirstPhase(t)
				}
			}))
			if !errors.Is(err, errLimit) || !strings.Contains(err.Error(), c.message) {
				t.Errorf("%v", err)
			}
			if c.name == "memory" && !measured.Load() {
				t.Error("the run ended before its first phase was measured, with memory to spare")
			}
			if measured.Load() && (r == nil || len(r.Rows) == 0) {
				t.Error("the rows measured before the end are missing")
			}
			if left := children(t); len(left) > 0 {
				t.Errorf("left running: %v", left)
			}
		})
	}
}

// takeMemory has this process hold the given number of megabytes until the test ends.
func takeMemory(t *testing.T, megabytes int) {
	held, err := unix.Mmap(-1, 0, megabytes*1e6, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_ANON|unix.MAP_PRIVATE|unix.MAP_POPULATE)
	if err != nil {
		t.Error(err)
		return
	}
	t.Cleanup(func() { unix.Munmap(held) })
}

// Guards against a limit that ends a run too late, or one that could go on.
func TestLimitIsReachedBeforeItIsExceeded(t *testing.T) {
	r := &run{script: &Script{TotalMemory: 100, TotalMinutes: 10}, result: &Result{Size: 20}}
	for _, c := range []struct {
		name            string
		memory, minutes float64
		processes       int
		message         string // empty if the run may go on
	}{
		{"below all limits", 94, 9.4, maxProcesses - 1, ""},
		{"memory", 96, 1, 10, "96 MB of 100"},
		{"time", 50, 9.6, 10, "9.6 minutes of 10.0 for 20 nodes"},
		{"processes", 50, 1, maxProcesses, "300 processes of 300"},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := r.limitReached(c.memory, c.minutes, c.processes)
			if c.message == "" && err != nil {
				t.Errorf("error %v, want none", err)
			}
			if c.message != "" && (!errors.Is(err, errLimit) || !strings.Contains(err.Error(), c.message)) {
				t.Errorf("error %v, want one with %q", err, c.message)
			}
		})
	}
}
