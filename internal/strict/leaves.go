package strict

import (
	"cmp"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Leaf is one value of a document, or an empty table.
type Leaf struct {
	Key   []string // the parts of its dotted key
	Value any      // as the TOML library decodes it; an array is one value
	Line  int      // at which the key stands, from 1 on
}

// Leaves returns all values of a document whose keys are not known beforehand, in the order of their lines. The error of
// a text that is not TOML has the path and the line; the path is used for nothing else.
func Leaves(path string, text []byte) ([]Leaf, error) {
	var document map[string]any
	if err := Decode(path, text, &document); err != nil {
		return nil, err
	}
	lines := keyLines(text)
	leaves := appendLeaves(nil, lines, nil, document)
	slices.SortFunc(leaves, func(a, b Leaf) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), slices.Compare(a.Key, b.Key))
	})
	return leaves, nil
}

// appendLeaves appends the leaves of the value with a key, in any order.
func appendLeaves(leaves []Leaf, lines map[string]int, key []string, value any) []Leaf {
	table, isTable := value.(map[string]any)
	isDocument := len(key) == 0
	if !isTable || (len(table) == 0 && !isDocument) {
		line := max(lines[lineKey(key)], 1)
		return append(leaves, Leaf{Key: key, Value: value, Line: line})
	}
	for name, inner := range table {
		leaves = appendLeaves(leaves, lines, append(slices.Clip(key), name), inner)
	}
	return leaves
}

// lineKey returns the key of keyLines for a dotted key.
func lineKey(key []string) string { return strings.Join(key, "\x00") }

// keyLines returns the first line of each key, by lineKey, of a document that parses.
func keyLines(text []byte) map[string]int {
	finder := newKeyFinder(text)
	var parser unstable.Parser
	parser.Reset(text)
	var table []string
	for parser.NextExpression() {
		switch e := parser.Expression(); e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = finder.addKey(nil, e.Key())
		case unstable.KeyValue:
			finder.addPair(table, e)
		}
	}
	return finder.lines
}

// keyFinder records the first lines of keys.
type keyFinder struct {
	lines    map[string]int // by lineKey
	lineEnds []int          // offsets of the line feeds
}

// newKeyFinder returns a finder of keys in a text.
func newKeyFinder(text []byte) *keyFinder {
	finder := &keyFinder{lines: map[string]int{}}
	for offset, c := range text {
		if c == '\n' {
			finder.lineEnds = append(finder.lineEnds, offset)
		}
	}
	return finder
}

// lineAt returns the line of an offset, from 1 on.
func (f *keyFinder) lineAt(offset int) int {
	before, _ := slices.BinarySearch(f.lineEnds, offset)
	return before + 1
}

// addKey records a dotted key below a table, with each table on the way, and returns the complete key.
func (f *keyFinder) addKey(table []string, parts unstable.Iterator) []string {
	key := slices.Clone(table)
	for parts.Next() {
		part := parts.Node()
		key = append(key, string(part.Data))
		if id := lineKey(key); f.lines[id] == 0 {
			f.lines[id] = f.lineAt(int(part.Raw.Offset))
		}
	}
	return key
}

// addPair records a key and, if its value is an inline table, the keys in that.
func (f *keyFinder) addPair(table []string, pair *unstable.Node) {
	key := f.addKey(table, pair.Key())
	if pair.Value().Kind != unstable.InlineTable {
		return
	}
	for inner := pair.Value().Children(); inner.Next(); {
		f.addPair(key, inner.Node())
	}
}
