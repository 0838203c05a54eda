package node

import "testing"

// A descriptor is taken until its close is confirmed, but one that is being closed does not count as used.
func TestDescriptorIsTakenUntilItIsFreed(t *testing.T) {
	table := newConnectionTable(100)
	accepted := table.add(7, clientRole, 1)
	dialed := table.addDialed(hostRole, 1)
	if dialed.id != 2 || table.used() != 2 || table.byID[7] != accepted {
		t.Fatalf("dialed %d, %d used", dialed.id, table.used())
	}
	table.remove(accepted)
	if table.used() != 1 || table.descriptors != 2 || table.byID[7] != nil {
		t.Errorf("%d used, %d taken while one is being closed", table.used(), table.descriptors)
	}
	table.descriptorFreed()
	if table.used() != 1 || table.descriptors != 1 {
		t.Errorf("%d used, %d taken once one is closed", table.used(), table.descriptors)
	}
	table.neverOpened()
	table.remove(dialed)
	if table.used() != 0 || table.descriptors != 0 {
		t.Errorf("%d used, %d taken after a dial that failed", table.used(), table.descriptors)
	}
}

// Descriptors are short while the reserve for new connections could not be kept, and those of a predecessor count.
func TestReservedDescriptorsMakeShort(t *testing.T) {
	table := newConnectionTable(descriptorReserve + 2)
	table.add(1, clientRole, 0)
	if table.lowOnDescriptors() {
		t.Error("short with one connection")
	}
	table.reserved = 1
	if !table.lowOnDescriptors() {
		t.Error("not short although the predecessor holds one more")
	}
}

// The configured limit holds at once, but while a successor has the clients the limit only falls.
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
				t.Errorf("limit %d, configured %d", table.limit, table.configuredLimit)
			}
		})
	}
}
