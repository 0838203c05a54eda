package lab

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"gorseledge/internal/emulator"
)

// The files under testdata were written by revision 5fa7498. Stored tables of earlier versions are compared with new ones, so
// the files are never regenerated. A failing test means that a column or the format of a table has changed, or that the
// emulator's set-up times have: see goldenResults.

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

// goldenResults returns results with a value other than 0 in every column. The set-up times are those of an emulator run,
// because their field is not exported. They are the only values in the golden files that depend on the emulator's behaviour.
func goldenResults(t *testing.T) []*emulator.Result {
	t.Helper()
	base := emulator.Run(smallScenario(t, "5"), 1, emulator.Options{})
	if base.SetupQuantile(0.5) <= 0 {
		t.Fatalf("the median set-up time of the emulator run is %v s, want it above 0", base.SetupQuantile(0.5))
	}
	var results []*emulator.Result
	for i := range 3 {
		r := *base
		r.Scenario, r.Seed, r.TraceHash = "golden", uint64(1+i), 0x0123456789abcdef
		r.Requested, r.Established, r.InTarget, r.Rejected, r.Aborted = 11+i, 12+2*i, 13, 14, 15
		r.Unanswered, r.Migrated, r.Disconnected, r.ListCalls, r.HealthChecks = 16, 17, 18, 19, 20
		r.ServedShare, r.StorePeak, r.Steps = 0.875, 21.5, 22
		r.Violations = make([]emulator.Violation, 3)
		results = append(results, &r)
	}
	return results
}

// Guards against a change of columns or formats, after which tables of earlier versions could no longer be compared with new
// ones.
func TestGoldenTables(t *testing.T) {
	results := goldenResults(t)
	checkGolden(t, "plays.csv", CSV(results))
	checkGolden(t, "plays.md", Markdown(results))
	compared, err := Compare(readGolden(t, "plays.csv"), readGolden(t, "plays-after.csv"))
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "compared.md", []byte(compared))
}
