package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes the events of a run to a file, one line each, with the time in seconds since the start of the run.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{out: bufio.NewWriter(file), file: file, start: time.Now()}, nil
}

// since returns the seconds from the start of the run to a time.
func (r *record) since(at time.Time) float64 { return at.Sub(r.start).Seconds() }

// at writes an event that happened at a given time.
func (r *record) at(when time.Time, format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f ", r.since(when))
	fmt.Fprintf(r.out, format+"\n", arguments...)
}

// now writes an event that happens now.
func (r *record) now(format string, arguments ...any) { r.at(time.Now(), format, arguments...) }

// say writes an event to the record and to standard output.
func (r *record) say(format string, arguments ...any) {
	r.now(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
