package strict

import (
	"cmp"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Leaf is one value of a document, or an empty table.
type Leaf struct {
	Key   []string // parts of the dotted key
	Value any      // as decoded by the TOML library; an array is one value
	Line  int      // line number of the key, from 1
}

// Leaves returns all values of a document, whose keys need not be known in advance, in the order of their lines. If the text
// is not valid TOML, the error has the path and the line number. The path is only used in errors.
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

// appendLeaves appends the leaves of a value that has the given dotted key, in no particular order.
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

// lineKey returns the form of a dotted key that is used as a key of the map keyLines returns.
func lineKey(key []string) string { return strings.Join(key, "\x00") }

// keyLines returns the first line number of each key of a valid document, by lineKey.
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

// keyFinder records the first line number of each key.
type keyFinder struct {
	lines    map[string]int // by lineKey
	lineEnds []int          // offsets of the line feeds
}

// newKeyFinder returns a keyFinder for a text.
func newKeyFinder(text []byte) *keyFinder {
	finder := &keyFinder{lines: map[string]int{}}
	for offset, c := range text {
		if c == '\n' {
			finder.lineEnds = append(finder.lineEnds, offset)
		}
	}
	return finder
}

// lineAt returns the line number of an offset, from 1.
func (f *keyFinder) lineAt(offset int) int {
	before, _ := slices.BinarySearch(f.lineEnds, offset)
	return before + 1
}

// addKey records a dotted key relative to a table, and each table on the path to it. It returns the complete key.
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

// addPair records the key of a key/value pair and, if the value is an inline table, the keys in that table.
func (f *keyFinder) addPair(table []string, pair *unstable.Node) {
	key := f.addKey(table, pair.Key())
	if pair.Value().Kind != unstable.InlineTable {
		return
	}
	for inner := pair.Value().Children(); inner.Next(); {
		f.addPair(key, inner.Node())
	}
}
