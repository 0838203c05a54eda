package serving

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// usage is what a process holds and has spent, as the kernel counts it.
type usage struct {
	processorTime float64 // seconds since its start, user and system, over all threads
	memory        float64 // resident bytes; what the kernel holds for its sockets is not among them
	descriptors   float64
}

// usageOf reads a process's usage.
func usageOf(pid int) (u usage, err error) {
	dir := fmt.Sprintf("/proc/%d", pid)
	if u.processorTime, err = processorTime(dir); err != nil {
		return u, err
	}
	if u.memory, err = resident(dir); err != nil {
		return u, err
	}
	open, err := os.ReadDir(filepath.Join(dir, "fd"))
	u.descriptors = float64(len(open))
	return u, err
}

// processorTime adds up the threads' time on a processor, which the kernel gives in nanoseconds. The Go runtime keeps its
// threads, so no time is lost with one that ended.
func processorTime(dir string) (seconds float64, err error) {
	paths, err := filepath.Glob(filepath.Join(dir, "task", "*", "schedstat"))
	if err != nil {
		return 0, err
	}
	if len(paths) == 0 {
		return 0, fmt.Errorf("%s has no threads", dir)
	}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return 0, err
		}
		spent, _, _ := strings.Cut(string(text), " ")
		ns, err := strconv.ParseFloat(spent, 64)
		if err != nil {
			return 0, fmt.Errorf("%s: %w", path, err)
		}
		seconds += ns / 1e9
	}
	return seconds, nil
}

// resident reads how many bytes of a process lie in memory.
func resident(dir string) (bytes float64, err error) {
	text, err := os.ReadFile(filepath.Join(dir, "statm"))
	if err != nil {
		return 0, err
	}
	words := strings.Fields(string(text))
	if len(words) < 2 {
		return 0, fmt.Errorf("%s/statm is %q", dir, text)
	}
	pages, err := strconv.ParseFloat(words[1], 64)
	return pages * float64(os.Getpagesize()), err
}
