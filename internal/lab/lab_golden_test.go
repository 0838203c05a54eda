package lab

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"gorseledge/internal/emulator"
)

// The files under testdata were written by the version in service (5fa7498). They are fixed for good: kept tables of plays are compared with new ones, so nothing
// rewrites them, and a test that fails here means that a name or a form has changed.

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

// goldenResults has a figure in each column. The set-up times are those of a play, as nothing else records them.
func goldenResults(t *testing.T) []*emulator.Result {
	t.Helper()
	played := emulator.Run(smallScenario(t, "5"), 1, emulator.Options{})
	if played.SetupQuantile(0.5) <= 0 {
		t.Fatal("the play has no set-up time")
	}
	var results []*emulator.Result
	for i := range 3 {
		r := *played
		r.Scenario, r.Seed, r.TraceHash = "golden", uint64(1+i), 0x0123456789abcdef
		r.Requested, r.Established, r.InTarget, r.Rejected, r.Aborted = 11+i, 12+2*i, 13, 14, 15
		r.Unanswered, r.Migrated, r.Disconnected, r.ListCalls, r.HealthChecks = 16, 17, 18, 19, 20
		r.ServedShare, r.StorePeak, r.Steps = 0.875, 21.5, 22
		r.Violations = make([]emulator.Violation, 3)
		results = append(results, &r)
	}
	return results
}

func TestGoldenTablesOfPlays(t *testing.T) {
	results := goldenResults(t)
	checkGolden(t, "plays.csv", CSV(results))
	checkGolden(t, "plays.md", Markdown(results))
	compared, err := Compare(readGolden(t, "plays.csv"), readGolden(t, "plays-after.csv"))
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "compared.md", []byte(compared))
}
