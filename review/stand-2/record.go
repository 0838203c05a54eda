package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes one line for each event of a case, with the seconds since the start of the case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &record{file: file, begun: time.Now()}
}

// add writes a line.
func (r *record) add(format string, arguments ...any) {
	r.addAt(time.Now(), format, arguments...)
}

// addAt writes a line about an event at another time.
func (r *record) addAt(at time.Time, format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", at.Sub(r.begun).Seconds(), fmt.Sprintf(format, arguments...))
}

// seconds returns the seconds from the start of the case to a time.
func (r *record) seconds(at time.Time) float64 { return at.Sub(r.begun).Seconds() }
