// Package checkout tests what CI looks at beside the code: there is no code in it, only tests.
package checkout

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const root = "../.."

// Only a test that there is can be passed over, three at most, each with its cause and its issue. Guards against a list
// that hides more than it says.
func TestKnownRed(t *testing.T) {
	const line = "./internal/ring TestInOrder: a cause (issue 37)"
	for _, c := range []struct{ name, text, says, fails string }{
		{"one", line + "\n", "./internal/ring TestInOrder\n", ""},
		{"without an end of line", line, "./internal/ring TestInOrder\n", ""},
		{"empty", "", "", ""},
		{"three", strings.Repeat(line+"\n", 3), strings.Repeat("./internal/ring TestInOrder\n", 3), ""},
		{"four", strings.Repeat(line+"\n", 4), "", "more than three"},
		{"no such test", "./internal/ring TestInOrde: a cause (issue 37)\n", "", "there is no test TestInOrde"},
		{"no such package", "./internal/rong TestInOrder: a cause (issue 37)\n", "", "there is no test TestInOrder"},
		{"a pattern", "./internal/ring Test.*: a cause (issue 37)\n", "", "not PACKAGE TEST"},
		{"all packages", "./... TestInOrder: a cause (issue 37)\n", "", "not PACKAGE TEST"},
		{"no cause", "./internal/ring TestInOrder: (issue 37)\n", "", "not PACKAGE TEST"},
		{"no issue", "./internal/ring TestInOrder: a cause\n", "", "not PACKAGE TEST"},
		{"an empty line", line + "\n\n", "", "not PACKAGE TEST"},
	} {
		path := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		read := exec.Command("bash", ".ci/known-red", path)
		read.Dir = root
		var says, fails strings.Builder
		read.Stdout, read.Stderr = &says, &fails
		err := read.Run()
		if (err != nil) != (c.fails != "") || c.fails == "" && says.String() != c.says || !strings.Contains(fails.String(), c.fails) {
			t.Errorf("%s: %v, %q, %q", c.name, err, says.String(), fails.String())
		}
	}
}

// The programs that are shipped link nothing that only tests need, nor the instruments, nor a control server's log.
// Guards against a stand-in, or the testing package with its flags, in a node.
func TestShipped(t *testing.T) {
	for _, tags := range []string{"", "alone"} {
		list := exec.Command("go", "list", "-deps", "-tags", tags, "./cmd/gorseledge", "./cmd/benchlink")
		list.Dir = root
		out, err := list.Output()
		if err != nil {
			t.Fatal(err)
		}
		deps := strings.Fields(string(out))
		if !slices.Contains(deps, "gorseledge/internal/node") {
			t.Fatalf("tags %q: %d packages, and the core is none of them", tags, len(deps))
		}
		for _, dep := range deps {
			first, _, _ := strings.Cut(strings.TrimPrefix(dep, "gorseledge/internal/"), "/")
			if dep == "testing" || strings.HasPrefix(dep, "go.etcd.io/bbolt") || strings.HasSuffix(dep, "test") && strings.HasPrefix(dep, "gorseledge/") ||
				strings.HasPrefix(dep, "gorseledge/") && slices.Contains([]string{"emulator", "lab", "rig", "checkout"}, first) {
				t.Errorf("tags %q: %s is linked", tags, dep)
			}
		}
	}
}
