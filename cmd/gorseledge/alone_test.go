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

// observation is what a node showed of itself while a flow came and went, without times and addresses.
type observation struct {
	log, descriptors, goroutines []string
}

// createdBy matches a goroutine's origin in a dump.
var createdBy = regexp.MustCompile(`(?m)^created by (\S+)`)

// observe starts a build of the node with a fleet file, or an empty path for none, plays a flow and ends it by a dump
// of its goroutines.
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
	return observation{log: lastingLogLines(text), descriptors: descriptors, goroutines: goroutineOrigins(text)}
}

// openDescriptors gives the kinds of the process's descriptors, sorted.
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

// lastingLogLines gives the lines of a log, in their order and with sorted keys, without what differs from run to run.
func lastingLogLines(log string) []string {
	var lines []string
	for _, line := range strings.Split(log, "\n") {
		fields := map[string]any{}
		if json.Unmarshal([]byte(line), &fields) != nil || fields["reason"] == "checked" {
			continue // how often it is asked is chance
		}
		for _, key := range []string{"time", "listen", "setup_s", "lasted_s", "address"} {
			delete(fields, key)
		}
		text, _ := json.Marshal(fields)
		lines = append(lines, string(text))
	}
	return lines
}

// goroutineOrigins gives the functions that began the goroutines of a dump, sorted.
func goroutineOrigins(dump string) []string {
	var origins []string
	for _, match := range createdBy.FindAllStringSubmatch(dump, -1) {
		origins = append(origins, match[1])
	}
	slices.Sort(origins)
	return origins
}

// buildAlone builds the program with the tag alone.
func buildAlone(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "alone")
	build := exec.Command("go", "build", "-race", "-tags", "alone", "-o", path, ".")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return path
}

// Without a fleet file the node shows the same as a build that links nothing of a fleet: the same lines in its log, no
// descriptor and no goroutine more.
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
				t.Errorf("%s\nand alone:\n%s", strings.Join(c.full, "\n"), strings.Join(c.alone, "\n"))
			}
		})
	}
}

func TestAloneBuildLinksNothingOfAFleet(t *testing.T) {
	packages, err := exec.Command("go", "list", "-tags", "alone", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"protobuf", "membership", "internal/fleet\n", "configfeed", "bbolt", "livesettings",
		"internal/strict", "go-toml"} {
		if strings.Contains(string(packages), name) {
			t.Errorf("it links %s", name)
		}
	}
}

// A build with the tag alone refuses a fleet file, by its path, and does not listen.
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
		t.Errorf("%v: %s", err, out)
	}
}

// surplus gives what a list has that another one has not, each item as often as it has it more.
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

// A fleet file that names no control servers costs the members' socket, which counts against the limit, the goroutines
// that serve it, and a line of the log.
func TestCostOfFleetFileWithoutControlServers(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.toml")
	text := fmt.Sprintf("fleet = \"lima\"\naddress = %q\njoin = [%q]\nkey = \"00112233445566778899aabbccddeeff\"\n", freeAddress(t), freeAddress(t))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	own, member := observe(t, program, ""), observe(t, program, path)
	const started = `{"level":"info","message":"started","node":"n1","predecessor":false,"sockets":%d}`
	for _, c := range []struct {
		name       string
		own, with  []string
		more, less []string
	}{
		{"descriptors", own.descriptors, member.descriptors, []string{"socket"}, nil},
		{"goroutines", own.goroutines, member.goroutines,
			[]string{"golang.org/x/sync/errgroup.(*Group).Go", "gorseledge/internal/fleet.(*Fleet).serve"}, nil},
		{"log", own.log, member.log, []string{fmt.Sprintf(started, 183),
			`{"fleet":"lima","level":"info","message":"member of a fleet","node":"n1"}`}, []string{fmt.Sprintf(started, 184)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			more, less := surplus(c.with, c.own), surplus(c.own, c.with)
			if !slices.Equal(more, c.more) || !slices.Equal(less, c.less) {
				t.Errorf("more\n%s\nand less\n%s", strings.Join(more, "\n"), strings.Join(less, "\n"))
			}
		})
	}
}
