package strict

import (
	"cmp"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Leaf is one value of a document, or an empty table.
type Leaf struct {
	Key   []string
	Value any // as the TOML library gives it; an array is one value
	Line  int // at which the key stands
}

// Leaves returns all values of a document whose keys are not known beforehand, in the order of their lines. An error has
// the file and the row.
func Leaves(path string, text []byte) ([]Leaf, error) {
	var document map[string]any
	if err := Decode(path, text, &document); err != nil {
		return nil, err
	}
	lines := keyLines(text)
	var leaves []Leaf
	var walk func(key []string, value any)
	walk = func(key []string, value any) {
		table, isTable := value.(map[string]any)
		if !isTable || len(table) == 0 && len(key) > 0 {
			leaves = append(leaves, Leaf{Key: key, Value: value, Line: max(lines[lineKey(key)], 1)})
			return
		}
		for name, inner := range table {
			walk(append(slices.Clip(key), name), inner)
		}
	}
	walk(nil, document)
	slices.SortFunc(leaves, func(a, b Leaf) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), slices.Compare(a.Key, b.Key))
	})
	return leaves, nil
}

func lineKey(key []string) string { return strings.Join(key, "\x00") }

// keyLines returns the first line of each key of a document that parses.
func keyLines(text []byte) map[string]int {
	k := keyFinder{lines: map[string]int{}}
	for at, c := range text {
		if c == '\n' {
			k.lineEnds = append(k.lineEnds, at)
		}
	}
	var parser unstable.Parser
	parser.Reset(text)
	var table []string
	for parser.NextExpression() {
		switch e := parser.Expression(); e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = k.addKey(nil, e.Key())
		case unstable.KeyValue:
			k.addPair(table, e)
		}
	}
	return k.lines
}

// keyFinder notes the lines of keys.
type keyFinder struct {
	lines    map[string]int
	lineEnds []int // offsets
}

// addKey notes a dotted key below a table, and each table that it passes.
func (k *keyFinder) addKey(table []string, parts unstable.Iterator) []string {
	key := slices.Clone(table)
	for parts.Next() {
		part := parts.Node()
		key = append(key, string(part.Data))
		if at := lineKey(key); k.lines[at] == 0 {
			before, _ := slices.BinarySearch(k.lineEnds, int(part.Raw.Offset))
			k.lines[at] = before + 1
		}
	}
	return key
}

// addPair notes a key and, where its value is a table in braces, the keys in it.
func (k *keyFinder) addPair(table []string, pair *unstable.Node) {
	key := k.addKey(table, pair.Key())
	if pair.Value().Kind != unstable.InlineTable {
		return
	}
	for inner := pair.Value().Children(); inner.Next(); {
		k.addPair(key, inner.Node())
	}
}
