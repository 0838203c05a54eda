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

// trace is what a node showed of itself while a flow came and went, without times and addresses.
type trace struct {
	log, descriptors, goroutines []string
}

var created = regexp.MustCompile(`(?m)^created by (\S+)`)

// traced starts a build of the node with a fleet file, or an empty path for none, plays a flow and ends it by a dump
// of its goroutines.
func traced(t *testing.T, build, fleet string) (out trace) {
	was := program
	program = build
	defer func() { program = was }()
	s := &stage{T: t, fleet: fleet}
	s.begin("pass", 1, 200)
	if fleet != "" {
		s.logged("member of a fleet")
	}
	client, host := s.established()
	client.say("M 1\r\n")
	host.expect("M 1")
	dir := fmt.Sprintf("/proc/%d/fd", s.node.Process.Pid)
	fds, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, fd := range fds {
		to, _ := os.Readlink(filepath.Join(dir, fd.Name()))
		kind, _, _ := strings.Cut(to, ":")
		out.descriptors = append(out.descriptors, kind)
	}
	client.Close()
	s.logged("client-ended")
	s.signal(syscall.SIGQUIT)
	s.node.Wait()
	text := s.log.text()
	for _, match := range created.FindAllStringSubmatch(text, -1) {
		out.goroutines = append(out.goroutines, match[1])
	}
	for _, line := range strings.Split(text, "\n") {
		fields := map[string]any{}
		if json.Unmarshal([]byte(line), &fields) != nil || fields["reason"] == "checked" {
			continue // how often it is asked is chance
		}
		for _, key := range []string{"time", "listen", "setup_s", "lasted_s", "address"} {
			delete(fields, key)
		}
		plain, _ := json.Marshal(fields)
		out.log = append(out.log, string(plain))
	}
	slices.Sort(out.descriptors)
	slices.Sort(out.goroutines)
	return out
}

// Without a fleet file the node shows the same as a build that links nothing of a fleet: the same lines in
// its log, no descriptor and no goroutine more. That build refuses a fleet file, by name, and opens no door.
func TestAlone(t *testing.T) {
	alone := filepath.Join(t.TempDir(), "alone")
	build := exec.Command("go", "build", "-race", "-tags", "alone", "-o", alone, ".")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	deps, err := exec.Command("go", "list", "-tags", "alone", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, lib := range []string{"protobuf", "membership", "internal/fleet\n", "configfeed", "bbolt", "livesettings", "internal/strict", "go-toml"} {
		if strings.Contains(string(deps), lib) {
			t.Errorf("it links %s", lib)
		}
	}
	full, bare := traced(t, program, ""), traced(t, alone, "")
	for _, c := range []struct {
		what       string
		full, bare []string
	}{{"log", full.log, bare.log}, {"descriptors", full.descriptors, bare.descriptors},
		{"goroutines", full.goroutines, bare.goroutines}} {
		if len(c.full) == 0 || !slices.Equal(c.full, c.bare) {
			t.Errorf("%s:\n%s\nand alone:\n%s", c.what, strings.Join(c.full, "\n"),
				strings.Join(c.bare, "\n"))
		}
	}
	path := filepath.Join(t.TempDir(), "config.json")
	text := `{"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "fleet": "fleet.toml", "settings": {}}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	refused := exec.Command(alone, "--config", path)
	began := time.AfterFunc(patience, func() { refused.Process.Kill() })
	defer began.Stop()
	if out, err := refused.CombinedOutput(); err == nil || !strings.Contains(string(out), "fleet.toml") ||
		refused.ProcessState.ExitCode() != 1 {
		t.Errorf("%v: %s", err, out)
	}
}

// beside gives what a list has that another one has not, each item as often as it has it more.
func beside(list, other []string) (more []string) {
	left := map[string]int{}
	for _, item := range other {
		left[item]++
	}
	for _, item := range list {
		if left[item]--; left[item] < 0 {
			more = append(more, item)
		}
	}
	return more
}

// A fleet file that names no control servers costs what a fleet file cost before there were any: the members' socket,
// which counts against the limit, the goroutines that serve it, and a line of the log.
func TestFleetFileWithoutControl(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.toml")
	text := fmt.Sprintf("fleet = \"lima\"\naddress = %q\njoin = [%q]\nkey = \"00112233445566778899aabbccddeeff\"\n", freeAddress(t), freeAddress(t))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	own, member := traced(t, program, ""), traced(t, program, path)
	const started = `{"predecessor":false,"level":"info","message":"started","node":"n1","sockets":%d}`
	for _, c := range []struct {
		what       string
		own, with  []string
		more, less []string
	}{
		{"descriptors", own.descriptors, member.descriptors, []string{"socket"}, nil},
		{"goroutines", own.goroutines, member.goroutines,
			[]string{"golang.org/x/sync/errgroup.(*Group).Go", "gorseledge/internal/fleet.(*Fleet).serve"}, nil},
		{"log", own.log, member.log, []string{fmt.Sprintf(started, 183),
			`{"fleet":"lima","level":"info","message":"member of a fleet","node":"n1"}`}, []string{fmt.Sprintf(started, 184)}},
	} {
		if more, less := beside(c.with, c.own), beside(c.own, c.with); !slices.Equal(more, c.more) || !slices.Equal(less, c.less) {
			t.Errorf("%s: more\n%s\nand less\n%s", c.what, strings.Join(more, "\n"), strings.Join(less, "\n"))
		}
	}
}
