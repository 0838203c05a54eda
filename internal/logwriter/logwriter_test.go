package logwriter

import (
	"bytes"
	"testing"
)

// The line that a program logs just before its end could be lost in a race with the end of the buffer's goroutine. Many
// rounds make that race likely.
func TestLastLineIsWritten(t *testing.T) {
	const rounds = 5000
	for round := range rounds {
		var written bytes.Buffer
		w := New(&written)
		if _, err := w.Write([]byte("last\n")); err != nil {
			t.Fatal(err)
		}
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
		if written.String() != "last\n" {
			t.Fatalf("round %d: wrote %q, want %q", round, written.String(), "last\n")
		}
	}
}
