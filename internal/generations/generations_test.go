package generations

import (
	"maps"
	"testing"
)

// setRange sets the keys from first on to their own number.
func setRange(m *Map[uint64], first, count uint64) {
	for key := first; key < first+count; key++ {
		m.Set(key, key)
	}
}

// A map that forgot keys too early would take a known client for a new one; one that never forgot would grow for ever. It
// holds the keys that were set last, up to its limit, and not more than two generations.
func TestLastKeysAreHeld(t *testing.T) {
	const limit = 10
	m := New[uint64](limit)
	for key := range uint64(1000) {
		m.Set(key, key)
		for known := key - min(key, limit-1); known <= key; known++ {
			if value, ok := m.Get(known); !ok || value != known {
				t.Fatalf("after key %d: key %d has the value %d, known %v", key, known, value, ok)
			}
		}
		if m.Len() > 2*limit {
			t.Fatalf("%d keys, want at most %d", m.Len(), 2*limit)
		}
	}
	if _, known := m.Get(0); known {
		t.Error("the first of 1000 keys is still held")
	}
}

// A key in both generations has the value that was set last.
func TestRecentValueHidesOlderOne(t *testing.T) {
	m := New[uint64](2)
	m.Set(1, 10)
	m.Set(2, 20)
	m.Set(3, 30)
	m.Set(1, 11)
	recent, older := m.Values(1)
	if value, known := m.Get(1); !known || value != 11 || recent != 11 || older != 10 || m.All()[1] != 11 {
		t.Errorf("value %d, known %v, values %d and %d", value, known, recent, older)
	}
}

// Each process of a chain of upgrades hands over what it holds. If a process added its own keys to all that it inherited, the
// state would grow with each upgrade. It stays within twice the limit, and the newest keys are in it.
func TestContentIsBoundedOverUpgrades(t *testing.T) {
	const limit = 10
	m := New[uint64](limit)
	for upgrade := range uint64(100) {
		setRange(&m, 1000+upgrade*(limit-1), limit-1)
		state := m.All()
		if len(state) > 2*limit {
			t.Fatalf("%d keys are handed over after upgrade %d, want at most %d", len(state), upgrade, 2*limit)
		}
		for key := range uint64(limit - 1) {
			if _, known := state[1000+upgrade*(limit-1)+key]; !known {
				t.Fatalf("key %d of the last process is not handed over", key)
			}
		}
		m = New[uint64](limit)
		m.Restore(state)
		if !maps.Equal(m.All(), state) {
			t.Fatal("the restored content differs")
		}
	}
}

// A process of an earlier version may hand over more than the bound.
func TestRestoreIsBounded(t *testing.T) {
	const limit = 10
	values := map[uint64]uint64{}
	for key := range uint64(1000) {
		values[key] = key
	}
	m := New[uint64](limit)
	m.Restore(values)
	if m.Len() != 2*limit {
		t.Errorf("%d keys, want %d", m.Len(), 2*limit)
	}
}
