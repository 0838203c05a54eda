package lab

import (
	"strings"
	"testing"
)

// Guards against comparisons that report noise as a difference or miss a real one, and against comparisons without enough seeds
// for a standard error.
func TestCompareReportsOnlySignificantDifferences(t *testing.T) {
	seeds := []uint64{1, 2, 3, 4}
	before := sweptTable(t, "5", seeds, 1)
	t.Run("same build", func(t *testing.T) {
		compared, err := Compare(before, sweptTable(t, "5", seeds, 4))
		if err != nil || strings.Contains(compared, "differs") {
			t.Errorf("got error %v, want no error and a table without differences:\n%s", err, compared)
		}
	})
	t.Run("three times the traffic", func(t *testing.T) {
		compared, err := Compare(before, sweptTable(t, "15", seeds, 2))
		if err != nil || !strings.Contains(compared, "| asked |") || !strings.Contains(compared, "differs") {
			t.Errorf("got error %v, want no error and a table with a row \"asked\" and a difference:\n%s", err, compared)
		}
	})
	t.Run("one seed in common", func(t *testing.T) {
		if _, err := Compare(before, sweptTable(t, "15", seeds[:1], 2)); err == nil {
			t.Error("got no error for tables with one seed in common, want one")
		}
	})
}
