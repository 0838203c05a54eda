package rig

import (
	"path/filepath"
	"testing"
)

// A history file of an interrupted run could be mistaken for one of a complete run. Only a complete run may leave a file.
func TestHistoryIsCompleteOrAbsent(t *testing.T) {
	dir := t.TempDir()
	for _, complete := range []bool{false, true} {
		h, err := newHistory(filepath.Join(dir, "h.jsonl"))
		if err != nil {
			t.Fatal(err)
		}
		h.add(Event{Kind: "flow"})
		if err := h.close(complete); err != nil {
			t.Fatal(err)
		}
		left, _ := filepath.Glob(filepath.Join(dir, "*"))
		if complete != (len(left) == 1) {
			t.Errorf("complete %v: got files %v, want one file if complete and none otherwise", complete, left)
		}
	}
}
