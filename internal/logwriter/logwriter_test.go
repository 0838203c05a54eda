package logwriter

import (
	"bytes"
	"testing"
)

// A line that is logged just before the end of the program is written, also in the moment in which the buffer ends.
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
			t.Fatalf("round %d: written %q", round, written.String())
		}
	}
}
