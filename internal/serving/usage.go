package serving

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

const (
	nanosecondsPerSecond = 1e9
	minStatmFields       = 2 // fields of statm up to the resident size
)

// usage is the resource usage of a process as the kernel reports it.
type usage struct {
	cpuSeconds      float64 // user and system CPU time of the threads that still exist, since they started
	residentBytes   float64 // resident memory, without the kernel's socket buffers
	openDescriptors float64 // number of open descriptors
}

// readUsage reads the usage of a process from /proc. It returns an error if the process does not exist.
func readUsage(pid int) (usage, error) {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	var u usage
	var err error
	u.cpuSeconds, err = processorTime(dir)
	if err != nil {
		return usage{}, fmt.Errorf("reading the CPU time of process %d: %w", pid, err)
	}
	u.residentBytes, err = residentMemory(dir)
	if err != nil {
		return usage{}, fmt.Errorf("reading the memory of process %d: %w", pid, err)
	}
	open, err := os.ReadDir(filepath.Join(dir, "fd"))
	if err != nil {
		return usage{}, fmt.Errorf("counting the open descriptors of process %d: %w", pid, err)
	}
	u.openDescriptors = float64(len(open))
	return u, nil
}

// processorTime returns the CPU time in seconds of all threads of a process that still exist. The kernel reports it for each
// thread, in nanoseconds. The time of threads that have ended is missing, which the Go runtime makes rare, as it keeps its
// threads.
func processorTime(dir string) (float64, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "task", "*", "schedstat"))
	if err != nil {
		return 0, err
	}
	if len(paths) == 0 {
		return 0, fmt.Errorf("no schedstat files of threads below %s", filepath.Join(dir, "task"))
	}
	total := 0.0
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return 0, err
		}
		spent, _, _ := strings.Cut(string(text), " ")
		nanoseconds, err := strconv.ParseFloat(spent, 64)
		if err != nil {
			return 0, fmt.Errorf("parsing %s: %w", path, err)
		}
		total += nanoseconds / nanosecondsPerSecond
	}
	return total, nil
}

// residentMemory returns the resident memory of a process in bytes. The kernel reports it in pages, as the second field of
// statm.
func residentMemory(dir string) (float64, error) {
	path := filepath.Join(dir, "statm")
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text))
	if len(fields) < minStatmFields {
		return 0, fmt.Errorf("parsing %s: must contain at least %d fields, got %q", path, minStatmFields, text)
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return 0, fmt.Errorf("parsing %s: %w", path, err)
	}
	return pages * float64(os.Getpagesize()), nil
}
