package node

import "testing"

// A flow's index is free again once it is removed, and its id is remembered from then on.
func TestFlowIndexIsReused(t *testing.T) {
	table := flowTable{ids: newFlowIDs()}
	flows := []*flow{{}, {}, {}}
	for i, f := range flows {
		f.opening.ID = string(rune('a' + i))
		table.add(f)
		if f.index != i || table.byIndex[i] != f {
			t.Fatalf("flow %d has index %d", i, f.index)
		}
	}
	table.remove(flows[1])
	if table.count() != 2 || table.byIndex[1] != nil || table.ids.open["b"] != nil {
		t.Errorf("%d flows after one is removed", table.count())
	}
	if len(table.ids.endedKeys()) != 1 {
		t.Errorf("%d ids of ended flows", len(table.ids.endedKeys()))
	}
	next := &flow{}
	table.add(next)
	if next.index != 1 || table.count() != 3 {
		t.Errorf("the next flow has index %d of %d", next.index, table.count())
	}
}
