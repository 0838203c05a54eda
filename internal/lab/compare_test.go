package lab

import (
	"strings"
	"testing"
)

func TestCompareFindsDifferenceOnlyOutsideNoise(t *testing.T) {
	seeds := []uint64{1, 2, 3, 4}
	before := sweptTable(t, "5", seeds, 1)
	t.Run("same build", func(t *testing.T) {
		compared, err := Compare(before, sweptTable(t, "5", seeds, 4))
		if err != nil || strings.Contains(compared, "differs") {
			t.Errorf("one build compared with itself: %v\n%s", err, compared)
		}
	})
	t.Run("three times the traffic", func(t *testing.T) {
		compared, err := Compare(before, sweptTable(t, "15", seeds, 2))
		if err != nil || !strings.Contains(compared, "| asked |") || !strings.Contains(compared, "differs") {
			t.Errorf("three times the traffic: %v\n%s", err, compared)
		}
	})
	t.Run("one seed in common", func(t *testing.T) {
		if _, err := Compare(before, sweptTable(t, "15", seeds[:1], 2)); err == nil {
			t.Error("one seed in common was enough")
		}
	})
}
