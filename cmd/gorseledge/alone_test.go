package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// observation is the log, the descriptors and the goroutines of a node that served one flow, without times and addresses.
type observation struct {
	log, descriptors, goroutines []string
}

// createdBy matches the function that started a goroutine, in a dump of all goroutines.
var createdBy = regexp.MustCompile(`(?m)^created by (\S+)`)

// observe starts a build of the node, has it serve one flow, and ends it with SIGQUIT, which dumps its goroutines.
// fleetFile is empty for a node without a fleet file.
func observe(t *testing.T, build, fleetFile string) observation {
	t.Helper()
	n := &testNode{T: t, program: build, fleetFile: fleetFile}
	n.startWithHosts("pass", 1, 200)
	if fleetFile != "" {
		n.waitForLog("member of a fleet")
	}
	client, host := n.establish()
	client.send("M 1\r\n")
	host.expect("M 1")
	descriptors := n.openDescriptors()
	client.Close()
	n.waitForLog("client-ended")
	n.signal(syscall.SIGQUIT)
	n.process.Wait()
	text := n.log.text()
	return observation{log: repeatableLogLines(text), descriptors: descriptors, goroutines: goroutineOrigins(text)}
}

// openDescriptors returns the kinds of the process's open descriptors, sorted.
func (n *testNode) openDescriptors() []string {
	n.Helper()
	dir := fmt.Sprintf("/proc/%d/fd", n.process.Process.Pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		n.Fatal(err)
	}
	var kinds []string
	for _, entry := range entries {
		target, _ := os.Readlink(filepath.Join(dir, entry.Name()))
		kind, _, _ := strings.Cut(target, ":")
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	return kinds
}

// repeatableLogLines returns the lines of a log in their order, with sorted keys, and without the fields and lines that
// differ from run to run.
func repeatableLogLines(log string) []string {
	var lines []string
	for _, line := range strings.Split(log, "\n") {
		fields := map[string]any{}
		if json.Unmarshal([]byte(line), &fields) != nil || fields["reason"] == "checked" {
			continue // the number of PINGs differs from run to run
		}
		for _, key := range []string{"time", "listen", "setup_s", "lasted_s", "address"} {
			delete(fields, key)
		}
		text, _ := json.Marshal(fields)
		lines = append(lines, string(text))
	}
	return lines
}

// goroutineOrigins returns the functions that started the goroutines of a dump, sorted.
func goroutineOrigins(dump string) []string {
	var origins []string
	for _, match := range createdBy.FindAllStringSubmatch(dump, -1) {
		origins = append(origins, match[1])
	}
	slices.Sort(origins)
	return origins
}

// buildAlone builds the program with the tag alone and returns its path.
func buildAlone(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "alone")
	build := exec.Command("go", "build", "-race", "-tags", "alone", "-o", path, ".")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return path
}

// Fleet code could cost a node that uses no fleet file resources, or change its log. Without a fleet file the full build
// must have the same log lines, descriptors and goroutines as a build that links no fleet code.
func TestNodeWithoutFleetEqualsAloneBuild(t *testing.T) {
	full, alone := observe(t, program, ""), observe(t, buildAlone(t), "")
	for _, c := range []struct {
		name        string
		full, alone []string
	}{
		{"log", full.log, alone.log},
		{"descriptors", full.descriptors, alone.descriptors},
		{"goroutines", full.goroutines, alone.goroutines},
	} {
		t.Run(c.name, func(t *testing.T) {
			if len(c.full) == 0 || !slices.Equal(c.full, c.alone) {
				t.Errorf("full build:\n%s\nbuild with the tag alone:\n%s", strings.Join(c.full, "\n"), strings.Join(c.alone, "\n"))
			}
		})
	}
}

// An import could bring fleet code, and with it the start-up cost of the protobuf library, into a build with the tag
// alone.
func TestAloneBuildLinksNoFleetCode(t *testing.T) {
	packages, err := exec.Command("go", "list", "-tags", "alone", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"protobuf", "membership", "internal/fleet\n", "configfeed", "bbolt", "livesettings",
		"internal/strict", "go-toml"} {
		if strings.Contains(string(packages), name) {
			t.Errorf("the build with the tag alone links %s", name)
		}
	}
}

// A build with the tag alone that ignored a fleet file would serve without its fleet unnoticed. It refuses to start, and
// the error names the file.
func TestAloneBuildRefusesFleetFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	text := `{"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "fleet": "fleet.toml", "settings": {}}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	refused := exec.Command(buildAlone(t), "--config", path)
	timeout := time.AfterFunc(waitTimeout, func() { refused.Process.Kill() })
	defer timeout.Stop()
	out, err := refused.CombinedOutput()
	if err == nil || !strings.Contains(string(out), "fleet.toml") || refused.ProcessState.ExitCode() != 1 {
		t.Errorf("want exit code 1 and an error that names the fleet file, got %v: %s", err, out)
	}
}

// surplus returns the items that occur more often in list than in other, each as many times as it occurs more often.
func surplus(list, other []string) []string {
	left := map[string]int{}
	for _, item := range other {
		left[item]++
	}
	var more []string
	for _, item := range list {
		left[item]--
		if left[item] < 0 {
			more = append(more, item)
		}
	}
	return more
}

// Membership could use more resources than the descriptor limit accounts for. A fleet file without control servers must
// add exactly one socket, which counts against the limit, the goroutines that serve it, and one log line.
func TestCostOfFleetFileWithoutControlServers(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.toml")
	text := fmt.Sprintf("fleet = \"lima\"\naddress = %q\njoin = [%q]\nkey = \"00112233445566778899aabbccddeeff\"\n", freeAddress(t), freeAddress(t))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	single, member := observe(t, program, ""), observe(t, program, path)
	const started = `{"level":"info","message":"started","node":"n1","predecessor":false,"sockets":%d}`
	for _, c := range []struct {
		name          string
		without, with []string // without and with a fleet file
		added, lost   []string
	}{
		{"descriptors", single.descriptors, member.descriptors, []string{"socket"}, nil},
		{"goroutines", single.goroutines, member.goroutines,
			[]string{"golang.org/x/sync/errgroup.(*Group).Go", "gorseledge/internal/fleet.(*Fleet).serve"}, nil},
		{"log", single.log, member.log, []string{fmt.Sprintf(started, 183),
			`{"fleet":"lima","level":"info","message":"member of a fleet","node":"n1"}`}, []string{fmt.Sprintf(started, 184)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			added, lost := surplus(c.with, c.without), surplus(c.without, c.with)
			if !slices.Equal(added, c.added) || !slices.Equal(lost, c.lost) {
				t.Errorf("the fleet file added\n%s\nand removed\n%s", strings.Join(added, "\n"), strings.Join(lost, "\n"))
			}
		})
	}
}
