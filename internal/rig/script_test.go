package rig

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Errors without the line and the key would leave operators to search long scripts for the mistake.
func TestScriptErrorNamesFileAndLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.toml")
	good := "nodes = 4\nlasts = 10\n\n[[fault]]\nat = 1\nkind = \"cut\"\nnodes = [0]\nto = [1]\nfor = 2\n\n[[fault]]\nat = 2\n" +
		"kind = \"kill\"\nnodes = [3]\n"
	for _, c := range []struct{ from, to, line, message string }{
		{"", "", "", ""},
		{"nodes = 4", "nodes = 2", ":1:", "nodes"},
		{"lasts = 10", "last = 10", ":2:", "unknown key"},
		{"lasts = 10", "lasts = soon", ":2:", ""},
		{`"cut"`, `"cute"`, ":6:", `unknown kind of fault "cute"`},
		{"nodes = [0]", "nodes = [4]", ":7:", "between 0 and 3, got 4"},
		{"for = 2", "for = 20", ":9:", "end within 10 s (lasts), got 20"},
		{"at = 2", "at = -2", ":12:", "at"},
		{"nodes = [3]", "nodes = [3]\nto = [1]", ":15:", "processes"},
		{"nodes = [3]", "", ":11:", "at least one affected node"},
	} {
		if err := os.WriteFile(path, []byte(strings.Replace(good, c.from, c.to, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := ReadFile(path)
		if c.line == "" {
			if err != nil {
				t.Errorf("got error %v for a correct script, want none", err)
			}
		} else if err == nil || !strings.Contains(err.Error(), path+c.line) || !strings.Contains(err.Error(), c.message) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%q replaced by %q: got error %v, want one line with %s and %q", c.from, c.to, err, path+c.line, c.message)
		}
	}
}
