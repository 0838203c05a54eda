package fleet

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const fileWithControl = `fleet = "lima"
address = "127.0.0.1:7000"
join = ["127.0.0.2:7000", "127.0.0.1:7000"]
key = "00112233445566778899aabbccddeeff"
region = "west"

[via]
"127.0.1.1:7100" = "127.0.0.9:1234"

[[control]]
name = "c1"
address = "127.0.1.1:7100"
region = "west"

[[control]]
name = "c2"
address = "127.0.1.2:7100"
region = "east"
`

// A mistake in what the fleet file says of control servers is one line with file, line and key.
func TestReadControlServers(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.toml")
	read := func(text string) (Config, error) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return Read(path)
	}
	c, err := read(fileWithControl)
	if err != nil || c.Region != "west" || len(c.servers()) != 2 || c.servers()[1].Region != "east" {
		t.Fatalf("%+v, %v", c, err)
	}
	if c, err := read(goodFile); err != nil || len(c.Control) != 0 {
		t.Fatalf("%+v, %v", c, err)
	}
	for _, c := range []struct{ from, to, line, says string }{
		{`region = "west"` + "\n\n[via]", "[via]", "1", "region: is missing"},
		{`region = "west"` + "\n\n[via]", "region = \"we st\"\n[via]", "5", "region: \"we st\" contains a space"},
		{`name = "c1"`, `name = ""`, "11", "control.name: is missing"},
		{`name = "c2"`, `name = "c1"`, "16", "control.name: c1 is listed twice"},
		{`name = "c2"`, `name = "` + strings.Repeat("c", 65) + `"`, "16", "control.name: 65 bytes, and 64 are allowed"},
		{`"127.0.1.2:7100"`, `"127.0.1.1:7100"`, "17", "control.address: 127.0.1.1:7100 is listed twice"},
		{`address = "127.0.1.2:7100"`, `address = "c2:7100"`, "17", "control.address"},
		{`address = "127.0.1.2:7100"`, ``, "15", "control.address"},
		{`region = "east"`, ``, "15", "control.region: is missing"},
		{`region = "east"`, `zone = "b"`, "18", "unknown key control.zone"},
	} {
		_, err := read(strings.Replace(fileWithControl, c.from, c.to, 1))
		if err == nil || !strings.Contains(err.Error(), path+":"+c.line+":") || !strings.Contains(err.Error(), c.says) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, wanted line %s and %q", c.to, err, c.line, c.says)
		}
	}
}
