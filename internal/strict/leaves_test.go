package strict

import (
	"fmt"
	"strings"
	"testing"
)

// All values of a document are returned in the order of their lines, however their keys are written.
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
		t.Errorf("%s\nwanted\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	if _, err := Leaves("some.toml", []byte("a = 1\na = 2\n")); err == nil || !strings.HasPrefix(err.Error(), "some.toml:2: ") {
		t.Error(err)
	}
	if leaves, err := Leaves("some.toml", nil); err != nil || len(leaves) != 0 {
		t.Errorf("%v, %v", leaves, err)
	}
}
