// Package generations provides a map of bounded size that forgets the keys that were set long ago.
package generations

import (
	"maps"
	"slices"
)

// Map holds the values of the keys that were set last, by hash. It holds two generations: once limit keys were set, they
// become the older generation, and the former one is forgotten. Use New to make one. A Map is not safe for concurrent use.
type Map[V any] struct {
	limit  int
	recent map[uint64]V
	older  map[uint64]V
}

// New returns an empty map that holds at least the limit keys that were set last, and at most three times as many.
func New[V any](limit int) Map[V] {
	return Map[V]{limit: limit, recent: map[uint64]V{}}
}

// Set sets the value of a key.
func (m *Map[V]) Set(key uint64, value V) {
	if len(m.recent) >= m.limit {
		m.older = m.recent
		m.recent = map[uint64]V{}
	}
	m.recent[key] = value
}

// Get returns the value that was set last for a key.
func (m *Map[V]) Get(key uint64) (value V, known bool) {
	if value, known = m.recent[key]; known {
		return value, true
	}
	value, known = m.older[key]
	return value, known
}

// Delete forgets a key.
func (m *Map[V]) Delete(key uint64) {
	delete(m.recent, key)
	delete(m.older, key)
}

// Values returns the values of a key in both generations, the zero value where it has none.
func (m *Map[V]) Values(key uint64) (recent, older V) { return m.recent[key], m.older[key] }

// Len returns how many keys the generations hold, counting a key in both of them twice.
func (m *Map[V]) Len() int { return len(m.recent) + len(m.older) }

// All returns the values of at most twice the limit of keys, those of the recent generation first.
func (m *Map[V]) All() map[uint64]V {
	all := maps.Clone(m.recent)
	m.addUpTo(all, m.older, 2*m.limit)
	return all
}

// Restore replaces the content of the map by values that All has returned, possibly in another process. Of more values than
// twice the limit it takes only as many. They count as the older generation.
func (m *Map[V]) Restore(values map[uint64]V) {
	m.recent = map[uint64]V{}
	m.older = map[uint64]V{}
	m.addUpTo(m.older, values, 2*m.limit)
}

// addUpTo adds values to a map until it has the given number of keys. If they do not all fit, it takes those with the lowest
// keys, which are hashes, so that the result is always the same.
func (m *Map[V]) addUpTo(to, values map[uint64]V, most int) {
	for _, key := range slices.Sorted(maps.Keys(values)) {
		if len(to) >= most {
			return
		}
		if _, known := to[key]; !known {
			to[key] = values[key]
		}
	}
}
