package placement

import (
	"slices"
	"testing"
)

// A server that was forgotten too early would get another one's index while a connection, a retry or an operator's decision
// still means the former. Only servers that nothing refers to are forgotten, and nothing of them is left.
func TestForgetKeepsNeededServers(t *testing.T) {
	type change func(b *testBalancer, index int)
	removed := func(b *testBalancer, _ int) { b.changeState(0, Removed) }
	for _, c := range []struct {
		name  string
		steps []change
		free  bool
	}{
		{"on the list", nil, false},
		{"removed", []change{removed}, true},
		{"removed and disabled", []change{func(b *testBalancer, index int) { b.SetDisabled(b.now, index, true) }, removed}, false},
		{"removed, with a connection", []change{func(b *testBalancer, index int) {
			b.RestoreFlow(b.now, 0, Arrival{Timeout: 2}, index)
		}, removed}, false},
		{"removed, with a connection that has ended", []change{func(b *testBalancer, index int) {
			b.RestoreFlow(b.now, 0, Arrival{Timeout: 2}, index)
			b.AttemptEnded(b.now, 0, 0, Served, true)
			b.Release(0)
		}, removed}, true},
		{"removed, with a connection of the other process", []change{func(b *testBalancer, index int) { b.AddPeerLoad(index, 1, 0.1) },
			removed}, false},
		{"removed, tried by a flow that waits", []change{func(b *testBalancer, index int) {
			b.AddFlow(b.now, 0, Arrival{Timeout: 2})
			b.flows[0].tried = append(b.flows[0].tried, index)
		}, removed}, false},
		{"removed, may have run a flow that waits", []change{func(b *testBalancer, index int) {
			b.AddFlow(b.now, 0, Arrival{Timeout: 2})
			b.flows[0].ranAt = b.now
			b.flows[0].ranServer = index
		}, removed}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBalancer(2, nil)
			index := b.serverIndex(0)
			for _, step := range c.steps {
				step(b, index)
			}
			free := b.Forget([]int{index})
			if got := slices.Equal(free, []int{index}); got != c.free {
				t.Fatalf("free indices %v, want the server to be forgotten %v", free, c.free)
			}
			if c.free && b.servers[index] != newServer() {
				t.Errorf("left of the server: %+v", b.servers[index])
			}
		})
	}
}
