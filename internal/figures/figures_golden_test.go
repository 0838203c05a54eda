package figures

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
)

// The files under testdata were written by the deployed version 5fa7498. They are never regenerated, because committed tables
// have the same columns: a golden test that fails means that a name or the format of the tables has changed.

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	if want := readGolden(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
	}
}

// checkNoZero checks that no exported field of a value is zero, at any depth. It detects fields that are no longer read from
// a golden file.
func checkNoZero(t *testing.T, path string, value reflect.Value) {
	t.Helper()
	if value.IsZero() || value.Kind() == reflect.Slice && value.Len() == 0 || value.Kind() == reflect.Map && value.Len() == 0 {
		t.Errorf("%s is zero: the golden file has no value for it, or it was not read", path)
		return
	}
	switch value.Kind() {
	case reflect.Pointer:
		checkNoZero(t, path, value.Elem())
	case reflect.Slice:
		for i := range value.Len() {
			checkNoZero(t, fmt.Sprintf("%s[%d]", path, i), value.Index(i))
		}
	case reflect.Map:
		for _, key := range value.MapKeys() {
			checkNoZero(t, fmt.Sprintf("%s[%v]", path, key), value.MapIndex(key))
		}
	case reflect.Struct:
		for i := range value.NumField() {
			if field := value.Type().Field(i); field.IsExported() && field.Tag.Get("json") != "-" {
				checkNoZero(t, path+"."+field.Name, value.Field(i))
			}
		}
	}
}

func goldenTable() *Table {
	return &Table{Name: "table", Provenance: Provenance{Command: "gorselab serving --stall 1s", Revision: "5fa7498",
		Date: "2026-12-02 05:34 UTC", Cores: 8, Machine: "virtual machine; load at the end 1.25 2.5 3.75", Repeats: 3},
		Rows: []Row{{1, Real, "connections", 1000, "held", "node.memory", "B", 3.85761e+07},
			{2, Hollow, "nodes", 430, "rest", "node.cpu", "us/s", 47.25}, {3, Virtual, "nodes", 860, "death", "death.known_part", "1", 0.5},
			{4, Server, "nodes", 40, "rest", "sent_bytes.all", "B/s", 863.008}, {5, Fleet, "nodes", 30, "kill", "gone_last", "s", 18.625}}}
}

// A changed name or format would make committed tables unreadable.
func TestGoldenTable(t *testing.T) {
	want := goldenTable()
	checkGolden(t, "table.csv", want.CSV())
	got, err := Parse("table", readGolden(t, "table.csv"))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("Parse returned\n%+v\nwant\n%+v", got, want)
	}
	checkNoZero(t, "Table", reflect.ValueOf(got))
	checkGolden(t, "table.csv", got.CSV())
}

// Tables of "gorseledge-lab scale" have another header and must be converted to the rows of this package.
func TestGoldenTableOfAScaleRun(t *testing.T) {
	got, err := Parse("scale", readGolden(t, "scale.csv"))
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "scale-read.csv", got.CSV())
}

// Reading and writing a committed table must not change it, or figures would be lost in the next rewrite.
func TestGoldenCommittedTables(t *testing.T) {
	const dir = "../../docs/capacity"
	tables, err := ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"members-death", "members-death-early", "members-rest", "serving"} {
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join(dir, name+".csv"))
			if err != nil {
				t.Fatal(err)
			}
			if tables[name] == nil || !bytes.Equal(tables[name].CSV(), text) {
				t.Errorf("%s.csv changes when it is read and written again", name)
			}
		})
	}
	if want := []Source{"real", "hollow", "virtual", "server", "fleet"}; !slices.Equal(sources, want) {
		t.Errorf("sources are %v, want %v", sources, want)
	}
}
