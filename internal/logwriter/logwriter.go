// Package logwriter writes a program's log beside its work, so that a slow reader of the log never holds the program up,
// and loses no line at the end of the program.
package logwriter

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog/diode"
)

const (
	logLines   = 4096                  // that may wait for a slow reader; beyond them the oldest are dropped
	flushLimit = time.Second           // that the end of the program waits for a reader of the log
	flushPoll  = 50 * time.Microsecond // between two looks at whether all is written
)

// Writer hands lines to a goroutine that writes them, so that a slow reader of the log never holds up the caller.
// Close waits until the lines so far are written. The buffer's own Close may miss a line that came just before it:
// its goroutine looks for lines first and then for the end, and leaves what came in between.
type Writer struct {
	buffer  diode.Writer
	out     *countingWriter
	lines   atomic.Int64 // handed over so far
	dropped atomic.Int64
}

// countingWriter counts the lines that its destination took or refused.
type countingWriter struct {
	to    io.Writer
	lines atomic.Int64
}

func (c *countingWriter) Write(line []byte) (int, error) {
	defer c.lines.Add(1)
	return c.to.Write(line)
}

// New gives a writer to a destination, which is written one line a call.
func New(to io.Writer) *Writer {
	w := &Writer{out: &countingWriter{to: to}}
	w.buffer = diode.NewWriter(w.out, logLines, 0, func(missed int) { w.dropped.Add(int64(missed)) })
	return w
}

// Write takes one line, as a logger writes it.
func (w *Writer) Write(line []byte) (int, error) {
	w.lines.Add(1)
	return w.buffer.Write(line)
}

// Close writes what is left, for no longer than flushLimit, and ends the goroutine.
func (w *Writer) Close() error {
	for end := time.Now().Add(flushLimit); w.waiting() && time.Now().Before(end); {
		time.Sleep(flushPoll)
	}
	return w.buffer.Close()
}

// waiting tells whether lines are neither written nor dropped.
func (w *Writer) waiting() bool {
	return w.out.lines.Load()+w.dropped.Load() < w.lines.Load()
}
