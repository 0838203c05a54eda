package emulator

import (
	"strings"
	"testing"
)

func TestInvalidScriptGivesOneMessageWithFileAndLine(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"an unknown key", "lasts = 5\nhops = 3\n", "test.toml:2: unknown key hops"},
		{"an unknown key in a table", "[fleet]\nnodes = 3\n\nhops = 3\n", "test.toml:4: unknown key fleet.hops"},
		{"no number", "lasts = \"x\"\n", "test.toml:1:"},
		{"no TOML", "lasts = = 3\n", "test.toml:1:"},
		{"a negative time", "lasts = -3\n", "test.toml:1: lasts is -3"},
		{"a fault on a host that is not there", calmScenario + "[[fault]]\nat = 3\nkind = \"crash\"\nhost = 6\n",
			"test.toml:33: there is no host 6"},
		{"a second fault", calmScenario + "[[fault]]\nat = 3\nkind = \"crash\"\nhost = 1\n[[fault]]\nat = -1\nkind = \"crash\"\n",
			"test.toml:35: at is -1"},
		{"a fault that is none", calmScenario + "[[fault]]\nkind = \"rain\"\n", "test.toml:31: no fault is called"},
		{"a fault after the end", calmScenario + "[[fault]]\nat = 31\nkind = \"crash\"\n", "test.toml:31: at is 31"},
		{"no such effect", "[[traffic]]\nname = \"a\"\neffect = \"odd\"\n", "test.toml:3: effect"},
		{"a node that is not there", calmScenario + "[[fault]]\nkind = \"node_kill\"\nnode = 3\n", "test.toml:32: there is no node 3"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Read("test.toml", []byte(c.text))
			if err == nil || !strings.HasPrefix(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s: %v, wanted %s", c.name, err, c.want)
			}
		})
	}
}

func FuzzReadScript(f *testing.F) {
	f.Add([]byte(calmScenario))
	f.Add([]byte("[[fault]]\nkind = \"crash\"\n"))
	f.Fuzz(func(t *testing.T, text []byte) { Read("f", text) })
}
