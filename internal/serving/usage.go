package serving

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// nanosecondsInSecond converts the kernel's CPU times to seconds.
const nanosecondsInSecond = 1e9

// usage is the resource usage of a process as the kernel reports it.
type usage struct {
	processorTime float64 // seconds since the process started, user and system, over all threads
	memory        float64 // resident memory in bytes, without the kernel's socket buffers
	descriptors   float64 // number of open descriptors
}

// readUsage reads the usage of a process from /proc. It returns an error if the process does not exist.
func readUsage(pid int) (usage, error) {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	var u usage
	var err error
	u.processorTime, err = processorTime(dir)
	if err != nil {
		return usage{}, fmt.Errorf("reading the processor time of process %d: %w", pid, err)
	}
	u.memory, err = residentMemory(dir)
	if err != nil {
		return usage{}, fmt.Errorf("reading the memory of process %d: %w", pid, err)
	}
	open, err := os.ReadDir(filepath.Join(dir, "fd"))
	if err != nil {
		return usage{}, fmt.Errorf("reading the descriptors of process %d: %w", pid, err)
	}
	u.descriptors = float64(len(open))
	return u, nil
}

// processorTime returns the CPU time of all threads of a process in seconds. The kernel reports it per thread, in
// nanoseconds. Ended threads are not counted, but the Go runtime keeps its threads.
func processorTime(dir string) (float64, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "task", "*", "schedstat"))
	if err != nil {
		return 0, err
	}
	if len(paths) == 0 {
		return 0, fmt.Errorf("%s has no threads", dir)
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
			return 0, fmt.Errorf("%s: %w", path, err)
		}
		total += nanoseconds / nanosecondsInSecond
	}
	return total, nil
}

// residentMemory returns the resident memory of a process in bytes.
func residentMemory(dir string) (float64, error) {
	path := filepath.Join(dir, "statm")
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, fmt.Errorf("%s has no resident size: %q", path, text)
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", path, err)
	}
	return pages * float64(os.Getpagesize()), nil
}
