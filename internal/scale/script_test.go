package scale

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const goodScript = `name = "good"
sizes = [20, 40]
real = 3
per_process = 10

[[event]]
kind = "kill"
for_s = 5
window_s = 5

[[event]]
kind = "restart"
part = 0.1
window_s = 5
`

// Guards against an invalid script that is accepted, or whose error does not name file, line and key on one line.
func TestScriptErrorsNameLineAndKey(t *testing.T) {
	if s, err := Read("script", []byte(goodScript)); err != nil || len(s.Events) != 2 || s.zoneCount() != 8 {
		t.Fatalf("%+v, %v", s, err)
	}
	for _, c := range []struct{ from, to, line, message string }{
		{"sizes = [20, 40]", "sizes = []", "2", "sizes"},
		{"sizes = [20, 40]", "sizes = [20, 4000]", "2", "sizes"},
		{"real = 3", "real = 20", "3", "real"},
		{"real = 3", "reel = 3", "3", "unknown key"},
		{"per_process = 10", "per_process = 0", "4", "per_process"},
		{"per_process = 10", "total_memory_mb = 20000", "4", "total_memory_mb"},
		{"per_process = 10", "minutes = 11", "4", "minutes"},
		{"per_process = 10", "zones = [3, 0]", "4", "zones"},
		{`kind = "kill"`, `kind = "flood"`, "7", "kind"},
		{"for_s = 5", "for_s = 0", "8", "for_s"},
		{"part = 0.1", "part = 0.9", "13", "part"},
		{"window_s = 5\n\n", "window_s = 0\n\n", "9", "window_s"},
		{`kind = "kill"`, `kind = "change"`, "7", "control servers"},
		{`kind = "kill"`, "kind = \"kill\"\nduring = \"restart\"", "8", "during"},
		{"per_process = 10", "control = [2, 2, 2]", "4", "control"},
		{"per_process = 10", "control = [3]", "4", "control"},
	} {
		text := strings.Replace(goodScript, c.from, c.to, 1)
		_, err := Read("script", []byte(text))
		if err == nil || !strings.HasPrefix(err.Error(), "script:"+c.line+":") || !strings.Contains(err.Error(), c.message) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got %v, want line %s and %q", c.to, err, c.line, c.message)
		}
	}
}

// Guards against a script in docs/scenarios that is rejected.
func TestScriptsOfTheDocsAreValid(t *testing.T) {
	paths, err := filepath.Glob("../../docs/scenarios/scale-*.toml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("%v, %v", paths, err)
	}
	for _, path := range paths {
		if _, err := ReadFile(path); err != nil {
			t.Error(err)
		}
	}
	if _, err := ReadFile(filepath.Join(t.TempDir(), "none")); !os.IsNotExist(err) {
		t.Errorf("missing file: got %v, want an error that the file does not exist", err)
	}
}
