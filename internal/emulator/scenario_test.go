package emulator

import (
	"strings"
	"testing"
)

// Guards against errors in scripts that do not say where they are: the error has to be one line that starts with the file, the
// line number and what is wrong there.
func TestInvalidScriptErrorHasFileAndLine(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"an unknown key", "lasts = 5\nhops = 3\n", "test.toml:2: unknown key hops"},
		{"an unknown key in a table", "[fleet]\nnodes = 3\n\nhops = 3\n", "test.toml:4: unknown key fleet.hops"},
		{"a string for a number", "lasts = \"x\"\n", "test.toml:1:"},
		{"invalid TOML", "lasts = = 3\n", "test.toml:1:"},
		{"a negative time", "lasts = -3\n", "test.toml:1: lasts must be between 1 and 100000, got -3"},
		{"a fault on an unknown host", faultlessScenario + "[[fault]]\nat = 3\nkind = \"crash\"\nhost = 6\n",
			"test.toml:33: no host 6"},
		{"an invalid second fault", faultlessScenario + "[[fault]]\nat = 3\nkind = \"crash\"\nhost = 1\n" +
			"[[fault]]\nat = -1\nkind = \"crash\"\n",
			"test.toml:35: at must be between 0 and 30, got -1"},
		{"an unknown kind of fault", faultlessScenario + "[[fault]]\nkind = \"rain\"\n", "test.toml:31: unknown fault kind"},
		{"a fault after the end", faultlessScenario + "[[fault]]\nat = 31\nkind = \"crash\"\n",
			"test.toml:31: at must be between 0 and 30, got 31"},
		{"an unknown effect", "[[traffic]]\nname = \"a\"\neffect = \"odd\"\n", "test.toml:3: effect"},
		{"a fault on an unknown node", faultlessScenario + "[[fault]]\nkind = \"node_kill\"\nnode = 3\n", "test.toml:32: no node 3"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Read("test.toml", []byte(c.text))
			if err == nil || !strings.HasPrefix(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s: got error %v, want prefix %s on one line", c.name, err, c.want)
			}
		})
	}
}

// Guards against scripts that make Read panic.
func FuzzReadScript(f *testing.F) {
	f.Add([]byte(faultlessScenario))
	f.Add([]byte("[[fault]]\nkind = \"crash\"\n"))
	f.Fuzz(func(t *testing.T, text []byte) { Read("f", text) })
}
