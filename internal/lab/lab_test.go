package lab

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gorseledge/internal/emulator"
)

func small(t *testing.T, rate string) emulator.Scenario {
	t.Helper()
	s, err := emulator.Read("t", []byte("lasts = 8\n[fleet]\nhosts = 3\n[[traffic]]\nname = \"a\"\neffect = \"repeatable\"\nrate = "+
		rate+"\nlives = 4\nload = 0.05\ntarget = 0.3\ntimeout = 2\nvalue = 1\n"))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Results do not hang on how many run at once, and a difference is claimed only outside the noise.
func TestSweepAndCompare(t *testing.T) {
	seeds := []uint64{1, 2, 3, 4}
	var tables [][]byte
	for _, atOnce := range []int{1, 4} {
		r, err := Sweep(context.Background(), small(t, "5"), seeds, atOnce, emulator.Options{})
		if err != nil {
			t.Fatal(err)
		}
		tables = append(tables, CSV(r))
	}
	if string(tables[0]) != string(tables[1]) {
		t.Error("plays side by side differ from plays in turn")
	}
	same, err := Compare(tables[0], tables[1])
	if err != nil || strings.Contains(same, "differs") {
		t.Errorf("one build compared with itself: %v\n%s", err, same)
	}
	more, _ := Sweep(context.Background(), small(t, "15"), seeds, 2, emulator.Options{})
	other, err := Compare(tables[0], CSV(more))
	if err != nil || !strings.Contains(other, "| asked |") || !strings.Contains(other, "differs") {
		t.Errorf("three times the traffic: %v\n%s", err, other)
	}
	if _, err := Compare(tables[0], CSV(more[:1])); err == nil {
		t.Error("one seed in common was enough")
	}
}

// An interrupt leaves no half-written file, and no result that was not played.
func TestInterrupted(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := Sweep(ctx, small(t, "5"), []uint64{1, 2}, 1, emulator.Options{}); err == nil {
		t.Error("played on after an interrupt")
	}
	path := filepath.Join(t.TempDir(), "table.csv")
	if err := Keep(path, []byte("x\n")); err != nil {
		t.Fatal(err)
	}
	if all, _ := os.ReadDir(filepath.Dir(path)); len(all) != 1 {
		t.Errorf("%d files are left", len(all))
	}
}
