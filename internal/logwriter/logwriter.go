// Package logwriter writes a program's log asynchronously, so that a slow reader of the log never blocks the program. It
// owns the queue of lines and the goroutine that writes them. Lines still queued at the end of the program are written.
package logwriter

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog/diode"
)

const (
	maxWaitingLines = 4096                  // lines in the queue, beyond which the oldest are dropped
	flushTimeout    = time.Second           // the longest wait of Close for a slow reader of the log
	flushPoll       = 50 * time.Microsecond // between two checks whether all lines are written
)

// Writer queues lines for a goroutine that writes them. Use New; the zero value is not usable. Close waits until all
// lines so far are written. It counts them for that, since the buffer's own Close may lose a line written just before it:
// the buffer's goroutine checks for lines first and for the end second, and drops a line that arrives between the two.
type Writer struct {
	buffer  diode.Writer
	out     *countingWriter
	lines   atomic.Int64 // passed to Write so far
	dropped atomic.Int64 // dropped because the queue was full
}

// countingWriter counts the lines passed to its destination, including those whose write failed.
type countingWriter struct {
	destination io.Writer
	lines       atomic.Int64
}

// Write writes one line to the destination.
func (c *countingWriter) Write(line []byte) (int, error) {
	defer c.lines.Add(1)
	return c.destination.Write(line)
}

// New returns a writer to a destination. Each call of the destination's Write gets one line.
func New(destination io.Writer) *Writer {
	w := &Writer{out: &countingWriter{destination: destination}}
	w.buffer = diode.NewWriter(w.out, maxWaitingLines, 0, func(missed int) { w.dropped.Add(int64(missed)) })
	return w
}

// Write queues one line, as a logger passes it, and never blocks. If the queue is full, the oldest lines are dropped.
func (w *Writer) Write(line []byte) (int, error) {
	w.lines.Add(1)
	return w.buffer.Write(line)
}

// Close waits until the queued lines are written, for at most flushTimeout, and ends the goroutine.
func (w *Writer) Close() error {
	for end := time.Now().Add(flushTimeout); w.waiting() && time.Now().Before(end); {
		time.Sleep(flushPoll)
	}
	return w.buffer.Close()
}

// waiting reports whether some lines have neither been written nor dropped.
func (w *Writer) waiting() bool {
	return w.out.lines.Load()+w.dropped.Load() < w.lines.Load()
}
