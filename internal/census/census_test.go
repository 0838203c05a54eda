package census

import (
	"maps"
	"testing"
)

type item struct{ names []string }

type holder struct {
	byName map[string]*item
	list   []int
	events chan int
	any    interface{ size() int }
	itself *holder
}

func (i *item) size() int { return len(i.names) }

// A census that misses a field would not see it grow; one that follows a cycle would not end.
func TestEverythingIsCounted(t *testing.T) {
	h := &holder{
		byName: map[string]*item{"a": {make([]string, 2)}, "b": {make([]string, 3)}},
		list:   make([]int, 1, 4),
		events: make(chan int, 5),
		any:    &item{make([]string, 6)},
	}
	h.itself = h
	want := map[string]int{"byName": 2, "byName[].names": 5, "list": 4, "events": 5, "any.names": 6}
	if got := Take(h); !maps.Equal(got, want) {
		t.Errorf("counted %v, want %v", got, want)
	}
}
