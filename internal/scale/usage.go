package scale

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// usage is the CPU time that a process has used and its current memory.
type usage struct {
	cpu    float64 // seconds of CPU time since its start
	memory float64 // resident bytes
}

// usageOf reads a process's usage from /proc. CPU time of threads that have ended is not included.
func usageOf(pid int) (u usage, err error) {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(threads) == 0 {
		return u, fmt.Errorf("process %d is not running, or the kernel has no schedstat", pid)
	}
	for _, path := range threads { // schedstat counts nanoseconds; /proc/PID/stat only hundredths of a second
		text, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has ended
		}
		nanoseconds, err := strconv.ParseFloat(firstField(text), 64)
		if err != nil {
			return u, fmt.Errorf("%s: %w", path, err)
		}
		u.cpu += nanoseconds / 1e9
	}
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

func firstField(text []byte) string {
	field, _, _ := bytes.Cut(bytes.TrimSpace(text), []byte(" "))
	return string(field)
}
