package fleet

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validFile = `fleet = "lima"
address = "127.0.0.1:7000"
join = ["127.0.0.2:7000", "127.0.0.1:7000"]
key = "00112233445566778899aabbccddeeff"
zone = "a"
period_s = 0.5

[via]
"127.0.0.2:7000" = "127.0.0.9:1234"
`

const validFileWithControl = `fleet = "lima"
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

// writeFile writes a fleet file and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "fleet.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// checkErrorPlace checks that an error is a single line that names the file and the line and contains the reason.
func checkErrorPlace(t *testing.T, err error, path, line, reason string) {
	t.Helper()
	if err == nil || !strings.Contains(err.Error(), path+":"+line+":") || !strings.Contains(err.Error(), reason) ||
		strings.Contains(err.Error(), "\n") {
		t.Errorf("%v, want line %s and %q", err, line, reason)
	}
}

// Guards against settings of a valid fleet file that are rejected or lost.
func TestValidFleetFileIsRead(t *testing.T) {
	c, err := Read(writeFile(t, validFile))
	if err != nil || c.Period != 0.5 || len(c.keys) != 1 || c.Via["127.0.0.2:7000"] == "" {
		t.Fatalf("%+v, %v", c, err)
	}
}

// Guards against invalid settings that are accepted, and against errors with which an operator cannot find them.
func TestFleetFileErrorNamesFileLineAndKey(t *testing.T) {
	for _, c := range []struct{ name, from, to, line, reason string }{
		{"no fleet", `fleet = "lima"`, ``, "1", "fleet"},
		{"address without a port", `"127.0.0.1:7000"` + "\njoin", `"127.0.0.1"` + "\njoin", "2", "address"},
		{"address to join listed twice", `"127.0.0.2:7000", "127.0.0.1:7000"`, `"127.0.0.1:7000", "127.0.0.1:7000"`, "3", "twice"},
		{"no other node to join", `"127.0.0.2:7000", "127.0.0.1:7000"`, `"127.0.0.1:7000"`, "3",
			"join: must contain the address of at least one other node"},
		{"address to join not numeric", `"127.0.0.2:7000", "`, `"n2:7000", "`, "3", "join"},
		{"short key", "00112233", "0011", "4", "key"},
		{"key not hexadecimal", "00112233", "zz112233", "4", "key"},
		{"period out of range", "period_s = 0.5", "period_s = -1.0", "6", "period_s"},
		{"unknown key", "period_s = 0.5", "period = 0.5", "6", "unknown key"},
		{"not a value", "period_s = 0.5", "period_s = soon", "6", ""},
		{"via without a port", `"127.0.0.9:1234"`, `"127.0.0.9"`, "9", "via"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := writeFile(t, strings.Replace(validFile, c.from, c.to, 1))
			_, err := Read(path)
			checkErrorPlace(t, err, path, c.line, c.reason)
		})
	}
}

// Guards against a node that starts outside its fleet because the path of the fleet file is wrong.
func TestAbsentFleetFileIsAnError(t *testing.T) {
	if _, err := Read(filepath.Join(t.TempDir(), "none.toml")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("%v, want %v", err, os.ErrNotExist)
	}
}

// Guards against control servers that are lost when the fleet file is read.
func TestControlServersOfFleetFile(t *testing.T) {
	c, err := Read(writeFile(t, validFileWithControl))
	if err != nil || c.Region != "west" || len(c.servers()) != 2 || c.servers()[1].Region != "east" {
		t.Fatalf("%+v, %v", c, err)
	}
	if c, err := Read(writeFile(t, validFile)); err != nil || len(c.Control) != 0 {
		t.Fatalf("%+v, %v", c, err)
	}
}

// Guards against invalid control servers that are accepted, and against errors with which an operator cannot find them.
func TestControlServerErrorNamesFileLineAndKey(t *testing.T) {
	for _, c := range []struct{ name, from, to, line, reason string }{
		{"no region of the node", `region = "west"` + "\n\n[via]", "[via]", "1", "region: must not be empty"},
		{"space in the node's region", `region = "west"` + "\n\n[via]", "region = \"we st\"\n[via]", "5",
			"region: \"we st\" contains a space"},
		{"no name", `name = "c1"`, `name = ""`, "11", "control.name: must not be empty"},
		{"name listed twice", `name = "c2"`, `name = "c1"`, "16", "control.name: c1 is listed twice"},
		{"long name", `name = "c2"`, `name = "` + strings.Repeat("c", 65) + `"`, "16",
			"control.name: must be at most 64 bytes, got 65"},
		{"address listed twice", `"127.0.1.2:7100"`, `"127.0.1.1:7100"`, "17",
			"control.address: 127.0.1.1:7100 is listed twice"},
		{"address not numeric", `address = "127.0.1.2:7100"`, `address = "c2:7100"`, "17", "control.address"},
		{"no address", `address = "127.0.1.2:7100"`, ``, "15", "control.address"},
		{"no region", `region = "east"`, ``, "15", "control.region: must not be empty"},
		{"unknown key", `region = "east"`, `zone = "b"`, "18", "unknown key control.zone"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := writeFile(t, strings.Replace(validFileWithControl, c.from, c.to, 1))
			_, err := Read(path)
			checkErrorPlace(t, err, path, c.line, c.reason)
		})
	}
}
