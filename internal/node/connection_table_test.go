package node

import "testing"

// The process runs out of descriptors if a connection stops counting before the system has closed it. A descriptor is
// taken until its close is confirmed, but it does not count as used while it is being closed.
func TestDescriptorIsTakenUntilItIsFreed(t *testing.T) {
	table := newConnectionTable(100)
	accepted := table.add(7, clientRole, 1)
	dialed := table.addDialed(hostRole, 1)
	if dialed.id != 2 || table.used() != 2 || table.byID[7] != accepted {
		t.Fatalf("dialed %d, %d used", dialed.id, table.used())
	}
	table.remove(accepted)
	if table.used() != 1 || table.descriptors != 2 || table.byID[7] != nil {
		t.Errorf("%d used, %d taken during a close", table.used(), table.descriptors)
	}
	table.descriptorFreed()
	if table.used() != 1 || table.descriptors != 1 {
		t.Errorf("%d used, %d taken after a confirmed close", table.used(), table.descriptors)
	}
	table.neverOpened()
	table.remove(dialed)
	if table.used() != 0 || table.descriptors != 0 {
		t.Errorf("%d used, %d taken after a failed dial", table.used(), table.descriptors)
	}
}

// During an upgrade both processes share one limit, which they would exceed if the predecessor's descriptors did not
// count. Descriptors are low if one more connection would not leave the reserve, which includes the predecessor's.
func TestPredecessorsDescriptorsCountTowardsTheLimit(t *testing.T) {
	table := newConnectionTable(descriptorReserve + 2)
	table.add(1, clientRole, 0)
	if table.lowOnDescriptors() {
		t.Error("low on descriptors with one connection")
	}
	table.reserved = 1
	if !table.lowOnDescriptors() {
		t.Error("not low on descriptors although the predecessor holds one more")
	}
}

// A predecessor that raised its limit after the handover would take descriptors that its successor counts on. A new
// configured limit applies at once, but while a successor serves the clients, the limit may only fall.
func TestLimitOnlyFallsAfterHandover(t *testing.T) {
	for _, c := range []struct {
		name       string
		handedOver bool
		configured int
		want       int
	}{
		{"lower", false, 50, 50},
		{"higher", false, 150, 150},
		{"lower after the handover", true, 20, 20},
		{"higher after the handover", true, 150, 30},
		{"unchanged after the handover", true, 100, 30},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := newConnectionTable(100)
			if c.handedOver {
				table.limit = 30
			}
			table.setConfiguredLimit(c.configured, c.handedOver)
			if table.limit != c.want || table.configuredLimit != c.configured {
				t.Errorf("limit %d, configured %d; wanted %d and %d", table.limit, table.configuredLimit, c.want,
					c.configured)
			}
		})
	}
}
