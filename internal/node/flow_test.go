package node

import "testing"

// The balancer's tables would grow with every flow if indices were not reused. Once a flow is removed, its index is free
// again, and its id is remembered.
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
		t.Errorf("%d flows left, or the removed one is still known", table.count())
	}
	if len(table.ids.ended.All()) != 1 {
		t.Errorf("%d ids of ended flows, wanted 1", len(table.ids.ended.All()))
	}
	next := &flow{}
	table.add(next)
	if next.index != 1 || table.count() != 3 {
		t.Errorf("the next flow has index %d of %d", next.index, table.count())
	}
}
