package members

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"gorseledge/internal/figures"
)

// The files under testdata were written by the deployed version (revision 5fa7498). Committed figures have these costs and units,
// so the files are never regenerated: a test that fails here means that a name, a unit or the form of a table has changed.

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

// Guards against renamed costs or units, with which committed figures could no longer be compared.
func TestGoldenFigures(t *testing.T) {
	table := &figures.Table{Provenance: figures.Provenance{Command: "gorselab members", Revision: "5fa7498",
		Date: "2026-12-02 05:07 UTC", Cores: 8, Machine: "alone", Repeats: 1}}
	table.Rows = append(table.Rows, IdleCost{CPU: 0.5, Memory: 2048, Messages: 3.5, Bytes: 400.25}.Figures(1, 50)...)
	table.Rows = append(table.Rows, Measurement{Seed: 7, FirstSuspicion: 1.5, FirstDeath: 2.5, LastDeath: 3.5, KnownFraction: 1, FalseSuspicions: 8, FalseDeaths: 9,
		IdleBytes: 10}.Figures(50)...)
	checkGolden(t, "figures.csv", table.CSV())
}
