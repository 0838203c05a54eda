package scale

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// usage is what a process has spent and holds.
type usage struct {
	cpu    float64 // seconds since its start
	memory float64 // bytes that are resident
}

// usageOf reads a process's usage from /proc.
func usageOf(pid int) (u usage, err error) {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(threads) == 0 {
		return u, fmt.Errorf("process %d does not run, or the system keeps no schedstat", pid)
	}
	for _, path := range threads { // in nanoseconds, where /proc/PID/stat counts hundredths of a second
		text, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has ended meanwhile
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
		return u, fmt.Errorf("/proc/%d/statm: no resident size", pid)
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	u.memory = pages * float64(os.Getpagesize())
	return u, err
}

func firstField(text []byte) string {
	field, _, _ := bytes.Cut(bytes.TrimSpace(text), []byte(" "))
	return string(field)
}
