package strict

import (
	"fmt"
	"strings"
	"testing"
)

// A value that is missing, or has the wrong line number, would be ignored or reported in the wrong line of an operator's
// document. Keys may be dotted or quoted, and in tables, inline tables and arrays of tables.
func TestLeavesReturnsValuesInOrderOfLines(t *testing.T) {
	const text = `# a comment
top = 1
a.b = "x"

[table]
"dotted.key" = 2.5
inline = { one = 1,
  two = { three = [1, 2] } }
[table.empty]

[[rows]]
name = "first"
[[rows]]
name = "second"
`
	leaves, err := Leaves("some.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, l := range leaves {
		got = append(got, fmt.Sprintf("%d %s %v", l.Line, strings.Join(l.Key, "/"), l.Value))
	}
	want := []string{"2 top 1", "3 a/b x", "6 table/dotted.key 2.5", "7 table/inline/one 1", "8 table/inline/two/three [1 2]",
		"9 table/empty map[]", "11 rows [map[name:first] map[name:second]]"}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	if _, err := Leaves("some.toml", []byte("a = 1\na = 2\n")); err == nil || !strings.HasPrefix(err.Error(), "some.toml:2: ") {
		t.Errorf("a key that occurs twice: got error %v, want one for line 2", err)
	}
	if leaves, err := Leaves("some.toml", nil); err != nil || len(leaves) != 0 {
		t.Errorf("an empty document: got %v, %v, want no values", leaves, err)
	}
}
