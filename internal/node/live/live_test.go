package live

import "testing"

// A node keeps an outdated configuration if revisions are compared by their number alone: a later epoch starts again at
// low numbers. Revisions are ordered by epoch first, and within one epoch by number.
func TestRevisionOrder(t *testing.T) {
	for _, c := range []struct {
		name  string
		r     Revision
		other Revision
		want  bool
	}{
		{"higher number", Revision{Epoch: 1, Number: 3}, Revision{Epoch: 1, Number: 2}, true},
		{"lower number", Revision{Epoch: 1, Number: 2}, Revision{Epoch: 1, Number: 3}, false},
		{"equal", Revision{Epoch: 1, Number: 2}, Revision{Epoch: 1, Number: 2}, false},
		{"later epoch with a lower number", Revision{Epoch: 2, Number: 1}, Revision{Epoch: 1, Number: 9}, true},
		{"earlier epoch with a higher number", Revision{Epoch: 1, Number: 9}, Revision{Epoch: 2, Number: 1}, false},
		{"first revision against none", Revision{Epoch: 1, Number: 1}, Revision{}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.r.NewerThan(c.other); got != c.want {
				t.Errorf("NewerThan returned %v, wanted %v", got, c.want)
			}
		})
	}
}

// A node would ignore its first revision if a revision with only an epoch or only a number counted as none. Only the
// zero Revision stands for no revision.
func TestOnlyZeroRevisionIsNone(t *testing.T) {
	if !(Revision{}).IsZero() {
		t.Error("IsZero is false for the zero revision")
	}
	if (Revision{Number: 1}).IsZero() || (Revision{Epoch: 1}).IsZero() {
		t.Error("IsZero is true for a revision with only an epoch or only a number")
	}
}
