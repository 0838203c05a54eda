// Package logwriter writes a program's log beside its work. It owns the lines that wait for the reader of the log, and the
// goroutine that writes them: a slow reader never holds the program up, and no line is lost at the end of the program.
package logwriter

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog/diode"
)

const (
	maxWaitingLines = 4096                  // beyond them the oldest are dropped
	flushTimeout    = time.Second           // for a reader of the log, at the end of the program
	flushPoll       = 50 * time.Microsecond // between two checks whether all lines are written
)

// Writer hands lines to a goroutine that writes them. Use New; the zero value is not usable. Close waits until the lines
// so far are written. The buffer's own Close may miss a line that came just before it: its goroutine looks for lines
// first and then for the end, and leaves what came in between.
type Writer struct {
	buffer  diode.Writer
	out     *countingWriter
	lines   atomic.Int64 // handed over so far
	dropped atomic.Int64
}

// countingWriter counts the lines that its destination took or refused.
type countingWriter struct {
	destination io.Writer
	lines       atomic.Int64
}

// Write hands one line to the destination.
func (c *countingWriter) Write(line []byte) (int, error) {
	defer c.lines.Add(1)
	return c.destination.Write(line)
}

// New gives a writer to a destination, which is written one line a call.
func New(destination io.Writer) *Writer {
	w := &Writer{out: &countingWriter{destination: destination}}
	w.buffer = diode.NewWriter(w.out, maxWaitingLines, 0, func(missed int) { w.dropped.Add(int64(missed)) })
	return w
}

// Write takes one line, as a logger writes it, and never waits. Where too many lines wait the oldest are dropped.
func (w *Writer) Write(line []byte) (int, error) {
	w.lines.Add(1)
	return w.buffer.Write(line)
}

// Close writes what is left, for flushTimeout at the most, and ends the goroutine.
func (w *Writer) Close() error {
	for end := time.Now().Add(flushTimeout); w.waiting() && time.Now().Before(end); {
		time.Sleep(flushPoll)
	}
	return w.buffer.Close()
}

// waiting tells whether lines are neither written nor dropped.
func (w *Writer) waiting() bool {
	return w.out.lines.Load()+w.dropped.Load() < w.lines.Load()
}
