package rig

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// The paths of the programs, which TestMain builds once for all tests: the node, the control server, and two builds of the node
// with a deliberate fault. One has a suspicion timeout that is too short, and one polls only one control server.
var nodeProgram, shortSuspicionProgram, singleServerProgram, serverProgram string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		panic(err)
	}
	nodeProgram, shortSuspicionProgram = filepath.Join(dir, "gorseledge"), filepath.Join(dir, "hasty")
	serverProgram = filepath.Join(dir, "gorseledge-config")
	singleServerProgram = filepath.Join(dir, "oneserver")
	code := 1
	if compile(nodeProgram, nodeCommand, "-race") && compile(shortSuspicionProgram, nodeCommand, "-tags=hasty") &&
		compile(serverProgram, serverCommand, "-race") && compile(singleServerProgram, nodeCommand, "-tags=oneserver") {
		code = m.Run()
	}
	os.RemoveAll(dir)
	os.Exit(code)
}

const (
	nodeCommand   = "gorseledge/cmd/gorseledge"
	serverCommand = "gorseledge/cmd/gorseledge-config"
)

func compile(to, command string, flags ...string) bool {
	c := exec.Command("go", append(append([]string{"build"}, flags...), "-o", to, command)...)
	c.Stderr = os.Stderr
	return c.Run() == nil
}

// runProgram runs a script with a build of the node. It fails the test if a log reports a data race or a panic.
func runProgram(t *testing.T, program, text string, seed uint64) *Result {
	t.Helper()
	return runWithOptions(t, Options{Program: program, Seed: seed}, text)
}

// runWithOptions is like runProgram, with all options.
func runWithOptions(t *testing.T, o Options, text string) *Result {
	t.Helper()
	s, err := Read("script", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	o.Dir, o.History = dir, filepath.Join(dir, "history.jsonl")
	r, err := Run(t.Context(), s, o)
	if err != nil {
		t.Fatal(err)
	}
	logs, _ := filepath.Glob(filepath.Join(dir, "[nc]*", "log"))
	for _, log := range logs {
		if body, _ := os.ReadFile(log); strings.Contains(string(body), "DATA RACE") || strings.Contains(string(body), "panic:") {
			t.Errorf("%s:\n%s", log, body)
		}
	}
	return r
}

// The faults of a run must not lead to a false death, a lost or repeated answer, an exit or a lasting disagreement. The run
// must contain enough established flows, otherwise the rules would hold for lack of events.
func TestFaultsViolateNoRule(t *testing.T) {
	r := runProgram(t, nodeProgram, `
nodes = 5
period = 0.25
lasts = 16
settle = 60
flows = 20

[[fault]]
at = 0.5
kind = "stop"
nodes = [1]
for = 0.5

[[fault]]
at = 2
kind = "cut"
nodes = [0]
to = [2]
for = 5

[[fault]]
at = 3
kind = "garbage"
nodes = [3]

[[fault]]
at = 4
kind = "upgrade"
nodes = [4]

[[fault]]
at = 5
kind = "replay"
nodes = [0, 1, 2]
for = 8
by = 30

[[fault]]
at = 9
kind = "rollback"
nodes = [3]
for = 1

[[fault]]
at = 12
kind = "restart"
nodes = [2]
for = 2
`, 3)
	for _, violation := range r.Violations {
		t.Error(violation)
	}
	if r.Requests < 100 || r.Answers["up"] < r.Requests/2 {
		t.Errorf("%d flows, want at least 100 and half of them established: %v", r.Requests, r.Answers)
	}
	if len(r.Faults) != 7 || r.AgreementTime < 0 {
		t.Errorf("%d faults, want 7; agreed after %g s, want at least 0", len(r.Faults), r.AgreementTime)
	}
}

// A build whose suspicion timeout is too short declares a process dead that is stopped for less than four periods. The run must
// report this violation. The order of probes is random, and in about one of eight stops a member is suspected so late that the
// stop ends before the suspicion expires, one period later. A longer stop would excuse the death, so the run has eight stops,
// of each member in turn, and misses the fault by chance in less than one of ten thousand runs.
func TestTooShortSuspicionIsDetected(t *testing.T) {
	const nodes, stops = 4, 8
	script := fmt.Sprintf(`
nodes = %d
period = 0.5
lasts = %d
settle = 30
flows = 2
`, nodes, 2+3*stops)
	for i := range stops {
		script += fmt.Sprintf(`
[[fault]]
at = %d
kind = "stop"
nodes = [%d]
for = 1.9
`, 1+3*i, (1+i)%nodes)
	}
	r := runProgram(t, shortSuspicionProgram, script, 1)
	for _, violation := range r.Violations {
		if violation.Rule == RuleNoFalseDeath {
			return
		}
	}
	t.Errorf("no violation of %q, got %v", RuleNoFalseDeath, r.Violations)
}

// An interrupted run must end all its processes and remove the partial history, or later runs on the machine would be disturbed
// and the history mistaken for a complete one.
func TestInterruptLeavesNoProcessAndNoPartialFile(t *testing.T) {
	s, err := Read("script", []byte("nodes = 3\nlasts = 60\n"))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	ctx, cancel := context.WithCancel(t.Context())
	progress := make(chan bool, 100)
	done := make(chan error, 1)
	var pids string
	go func() {
		_, err := Run(ctx, s, Options{Program: nodeProgram, Seed: 1, Dir: dir, History: filepath.Join(dir, "history.jsonl"),
			Progress: func(string) { progress <- true }})
		done <- err
	}()
	select {
	case <-progress:
	case <-time.After(time.Minute):
		t.Fatal("the run made no progress")
	}
	out, _ := exec.Command("pgrep", "-f", nodeProgram).Output()
	pids = string(out)
	cancel()
	if err := <-done; err == nil {
		t.Error("an interrupted run returned no error")
	}
	if left, _ := filepath.Glob(filepath.Join(dir, "history*")); len(left) > 0 {
		t.Errorf("history files left: %v", left)
	}
	for _, pid := range strings.Fields(pids) {
		if cmdline, err := os.ReadFile("/proc/" + pid + "/cmdline"); err == nil && strings.HasPrefix(string(cmdline), nodeProgram) {
			t.Errorf("process %s is still running", pid)
		}
	}
}
