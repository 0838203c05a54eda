package controlfile

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validFile = `fleet = "lima"
name = "c2"
key = "00112233445566778899aabbccddeeff"
directory = "/var/lib/gorseledge-config"
writer = "c1"

[[server]]
name = "c1"
address = "127.0.0.1:7100"
region = "east"

[[server]]
name = "c2"
address = "127.0.0.2:7100"
region = "west"

[[server]]
name = "c3"
address = "127.0.0.3:7100"
region = "west"

[via]
"127.0.0.1:7100" = "127.0.0.9:1234"
`

// lastServer is the table of the third server in validFile.
var lastServer = validFile[strings.LastIndex(validFile, "[[server]]"):strings.Index(validFile, "[via]")]

// A check that is too strict would prevent the start of a control server with a valid file, with or without an old key.
func TestReadAcceptsValidFile(t *testing.T) {
	for _, text := range []string{validFile, strings.Replace(validFile, "directory", "old_key = \"00112233445566778899aabbccddeeff\"\ndirectory", 1)} {
		path := filepath.Join(t.TempDir(), "control.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := Read(path)
		if err != nil || len(c.Servers) != 3 || len(c.Keys) < 1 || c.Via["127.0.0.1:7100"] != "127.0.0.9:1234" {
			t.Fatalf("%+v, %v", c, err)
		}
	}
}

// An operator needs the file, the line and the key to correct a mistake. Each mistake has to be rejected with one line that
// names them.
func TestReadNamesFileLineAndKeyOfMistake(t *testing.T) {
	path := filepath.Join(t.TempDir(), "control.toml")
	long := strings.Repeat("c", 65)
	for _, c := range []struct{ from, to, line, wantError string }{
		{`fleet = "lima"`, ``, "1", "fleet: is missing"},
		{`fleet = "lima"`, `fleet = "a b"`, "1", "fleet: "},
		{`name = "c2"`, `name = "c9"`, "2", "name: server c9 is not listed"},
		{`name = "c2"`, `name = "` + long + `"`, "2", "name: must be between 1 and 64 bytes, got 65"},
		{"00112233", "0011", "3", "key: must be at least 16 bytes in hexadecimal"},
		{"00112233", "zz112233", "3", "key: must be at least 16 bytes in hexadecimal"},
		{"directory =", "old_key = \"00\"\ndirectory =", "4", "old_key: must be at least 16 bytes in hexadecimal"},
		{`directory = "/var/lib/gorseledge-config"`, ``, "1", "directory: is missing"},
		{`directory =`, `directry =`, "4", "unknown key directry"},
		{`writer = "c1"`, `writer = "c4"`, "5", "writer: server c4 is not listed"},
		{`writer = "c1"`, `writer = 1`, "5", ""},
		{`name = "c3"`, `name = "c1"`, "18", "name: two servers are named c1"},
		{`name = "c3"`, `name = ""`, "18", "name: is missing"},
		{`"127.0.0.3:7100"`, `"127.0.0.1:7100"`, "19", "address: two servers have the address 127.0.0.1:7100"},
		{`"127.0.0.3:7100"`, `"control:7100"`, "19", "address: "},
		{`"127.0.0.3:7100"`, `"0.0.0.0:7100"`, "19", "address: "},
		{`"127.0.0.3:7100"`, `"127.0.0.3"`, "19", "address: "},
		{"region = \"west\"\n\n[via]", "[via]", "17", "region: is missing"},
		{"region = \"west\"\n\n[via]", "region = \"west\"\nzone = \"a\"\n\n[via]", "21", "unknown key server.zone"},
		{lastServer, "", "7", "server: the number of servers must be odd, got 2"},
		{`"127.0.0.9:1234"`, `"c9:1234"`, "23", "via: "},
		{"[via]", "[via", "22", ""},
	} {
		t.Run(c.line+" "+c.to, func(t *testing.T) {
			if !strings.Contains(validFile, c.from) {
				t.Fatalf("%q is not in the valid file", c.from)
			}
			text := strings.Replace(validFile, c.from, c.to, 1)
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := Read(path)
			if err == nil || !strings.Contains(err.Error(), path+":"+c.line+":") || !strings.Contains(err.Error(), c.wantError) ||
				strings.Contains(err.Error(), "\n") {
				t.Errorf("%q: got error %v, want line %s and %q", c.to, err, c.line, c.wantError)
			}
		})
	}
	if _, err := Read(path + ".none"); err == nil || strings.Contains(err.Error(), "\n") {
		t.Errorf("a file that does not exist: got error %v, want one line", err)
	}
}
