package serving

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// nanosecondsInSecond converts the kernel's processor times.
const nanosecondsInSecond = 1e9

// usage is what a process holds and has spent, as the kernel counts it.
type usage struct {
	processorTime float64 // seconds since the process started, user and system, over all threads
	memory        float64 // resident bytes, without what the kernel holds for the process's sockets
	descriptors   float64 // open ones
}

// usageOf reads the usage of a process from /proc. It returns an error if there is no such process.
func usageOf(pid int) (usage, error) {
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

// processorTime returns the sum of the threads' time on a processor, in seconds. The kernel gives it in nanoseconds. The
// Go runtime keeps its threads, so that no time is lost with a thread that ended.
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

// residentMemory returns how many bytes of a process lie in memory.
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
