package serving

import (
	"slices"
	"testing"
)

// Guards against steps above the number of connections that the descriptor limit allows, and against repeated steps.
func TestConnectionStepsEndAtTheCapacity(t *testing.T) {
	for _, c := range []struct {
		name            string
		requested, want []int
	}{
		{"all fit", []int{1000, 2000}, []int{1000, 2000}},
		{"some do not fit", []int{1000, 5000, 9000}, []int{1000, 2500}},
		{"the capacity itself is requested", []int{2500, 9000}, []int{2500}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &run{Options: Options{Connections: c.requested}, capacity: 2500}
			got := r.connectionSteps()
			if !slices.Equal(got, c.want) {
				t.Errorf("steps for %v requested connections with capacity 2500: got %v, want %v", c.requested, got, c.want)
			}
		})
	}
}
