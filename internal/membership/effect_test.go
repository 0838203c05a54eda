package membership

import "testing"

// An operator who reads that a member is suspected needs to know who says so: a node that suspects many others may be faulty
// itself. The change to suspect names the reporter, be it another member or this node; other changes name none.
func TestChangeToSuspectNamesReporter(t *testing.T) {
	t.Run("another member", func(t *testing.T) {
		m := newTestMembers(t, 3)
		suspected := changes(m.Receive(testStart, stateOf("node-1", peerUpdate(2, 0, Suspect))), "node-2")
		if len(suspected) != 1 || suspected[0].SuspectedBy != "node-1" {
			t.Errorf("changes %+v, want one by node-1", suspected)
		}
		refuted := changes(m.Receive(testStart, stateOf("node-2", peerUpdate(2, 1, Alive))), "node-2")
		if len(refuted) != 1 || refuted[0].SuspectedBy != "" {
			t.Errorf("after the refutation: changes %+v, want one by nobody", refuted)
		}
	})
	t.Run("this node", func(t *testing.T) {
		m := newTestMembers(t, 1)
		var suspected []Changed
		for len(suspected) == 0 && m.NextTick() < testStart+10 {
			suspected = changes(m.Tick(m.NextTick()), "node-1")
		}
		if len(suspected) != 1 || suspected[0].State != Suspect || suspected[0].SuspectedBy != "node-0" {
			t.Errorf("changes %+v, want one to suspect by node-0", suspected)
		}
	})
}
