package live

import "testing"

// A revision is newer by its epoch, and within one epoch by its number.
func TestRevisionOrder(t *testing.T) {
	for _, c := range []struct {
		name  string
		r     Revision
		other Revision
		want  bool
	}{
		{"higher number", Revision{Epoch: 1, Number: 3}, Revision{Epoch: 1, Number: 2}, true},
		{"lower number", Revision{Epoch: 1, Number: 2}, Revision{Epoch: 1, Number: 3}, false},
		{"the same", Revision{Epoch: 1, Number: 2}, Revision{Epoch: 1, Number: 2}, false},
		{"later epoch with a lower number", Revision{Epoch: 2, Number: 1}, Revision{Epoch: 1, Number: 9}, true},
		{"earlier epoch with a higher number", Revision{Epoch: 1, Number: 9}, Revision{Epoch: 2, Number: 1}, false},
		{"the first", Revision{Epoch: 1, Number: 1}, Revision{}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.r.NewerThan(c.other); got != c.want {
				t.Errorf("NewerThan is %v, wanted %v", got, c.want)
			}
		})
	}
}

// Only the zero revision stands for none.
func TestZeroRevisionStandsForNone(t *testing.T) {
	if !(Revision{}).IsZero() {
		t.Error("the zero revision counts as one")
	}
	if (Revision{Number: 1}).IsZero() || (Revision{Epoch: 1}).IsZero() {
		t.Error("a revision counts as none")
	}
}
