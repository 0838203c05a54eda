package scale

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// usage is the CPU time that a process has used and its current memory.
type usage struct {
	cpu    float64 // seconds of CPU time since its start
	memory float64 // resident bytes
}

// usageOf reads a process's usage. The CPU time is that of all its threads, also of those that have ended.
func usageOf(pid int) (u usage, err error) {
	var cpu unix.Timespec
	if err := unix.ClockGettime(cpuClock(pid), &cpu); err != nil {
		return u, fmt.Errorf("CPU time of process %d: %w", pid, err)
	}
	u.cpu = float64(cpu.Nano()) / 1e9
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return u, err
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return u, fmt.Errorf("/proc/%d/statm: got %d fields, want at least 2 with the resident size", pid, len(fields))
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	u.memory = pages * float64(os.Getpagesize())
	return u, err
}

// schedulerClock is the kind of a process's CPU clock that counts nanoseconds, as in the kernel's CPUCLOCK_SCHED.
const schedulerClock = 2

// cpuClock returns the identifier of a process's CPU clock, as clock_getcpuclockid(3) does.
func cpuClock(pid int) int32 { return int32(^pid)<<3 | schedulerClock }
