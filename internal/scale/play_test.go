package scale

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// The test program itself runs as a hollow process if this environment variable names a role: unmodified, or with faulty nodes.
const (
	hollowRoleVariable = "GORSELEDGE_TEST_HOLLOW"
	unmodifiedHollow   = "unmodified"
	doubleRateHollow   = "double-rate"  // its nodes probe twice as often as their period says
	unconfiguredHollow = "unconfigured" // one of its nodes follows no control server
)

// program and controlProgram are the built node and control server, the same for all tests.
var program, controlProgram string

func TestMain(m *testing.M) {
	change := func(*hollowNode) {}
	switch os.Getenv(hollowRoleVariable) {
	case doubleRateHollow:
		change = func(n *hollowNode) { n.Fleet.Period /= 2 }
	case unconfiguredHollow:
		change = func(n *hollowNode) {
			if n.Name == "n0019" {
				n.Fleet.Control = nil
			}
		}
	}
	if os.Getenv(hollowRoleVariable) != "" {
		if err := serveHollow(context.Background(), os.Stdin, os.Stdout, change); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	dir, err := os.MkdirTemp("", "scale")
	if err != nil {
		panic(err)
	}
	program, controlProgram = filepath.Join(dir, "gorseledge"), filepath.Join(dir, "gorseledge-config")
	build := exec.Command("go", "build", "-o", dir, "gorseledge/cmd/gorseledge", "gorseledge/cmd/gorseledge-config")
	build.Stderr = os.Stderr
	code := 1
	if build.Run() == nil {
		code = m.Run()
	}
	os.RemoveAll(dir)
	os.Exit(code)
}

// options returns the options of a run whose hollow processes are this program in a role.
func options(t *testing.T, role string, progress func(string)) Options {
	return Options{Program: program, Control: controlProgram, Hollow: []string{"/usr/bin/env", hollowRoleVariable + "=" + role, os.Args[0]}, Seed: 1, Dir: t.TempDir(),
		Progress: progress}
}

// children returns the running child processes of this one.
func children(t *testing.T) (out []string) {
	t.Helper()
	stats, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range stats {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // the process has ended
		}
		_, rest, _ := strings.Cut(string(text), ") ")
		if fields := strings.Fields(rest); len(fields) > 1 && fields[0] != "Z" && fields[1] == strconv.Itoa(os.Getpid()) {
			out = append(out, path)
		}
	}
	return out
}

// Guards against a broken run of the small script that operators use: hollow nodes, real nodes and the virtual clock agree, a
// death and the return are detected by nearly all nodes, changes reach all of them, and no process is left running.
func TestSmallFleetHasNoViolations(t *testing.T) {
	s, err := ReadFile("../../docs/scenarios/scale-small.toml")
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(t.Context(), s, s.Sizes[0], options(t, unmodifiedHollow, func(line string) { t.Log(line) }))
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range r.Violations {
		t.Error(v)
	}
	for _, c := range []struct {
		kind        Kind
		phase, cost string
		min, max    float64
	}{{Hollow, "rest", "sent_messages.ping", 1 / s.Period / 2, 1 / s.Period * 1.1}, {Real, "rest", "cpu", 1e-5, 1},
		{Hollow, "rest", "memory", 1e4, 1e8}, {Fleet, "kill", "gone_known_by", 0.9, 1}, {Fleet, "kill-back", "back_known_by", 0.9, 1},
		{Fleet, "change-server-fault", "in_force_by", 1, 1}, {Fleet, "change-region-cut", "in_force_by", 1, 1},
		{Fleet, "change-region-cut-back", "in_force_last", 0, s.InForceBound}, {Hollow, "rest", "sent_bytes.control", 1, 15e3},
		{Server, "rest", "memory", 1e6, 1e8}} {
		if x, found := findValue(r.Rows, r.Size, c.kind, c.phase, c.cost); !found || x < c.min || x > c.max {
			t.Errorf("%s, %s: %s is %g (found: %v), want %g to %g", c.kind, c.phase, c.cost, x, found, c.min, c.max)
		}
	}
	if left := children(t); len(left) > 0 {
		t.Errorf("left running: %v", left)
	}
}

const shortScript = "sizes = [20]\nreal = 4\nper_process = 10\nrack = 2\nperiod_s = 0.2\ncpu_cores = 1\n"

// Guards against a comparison of hollow and real nodes that never fires: hollow nodes that probe twice as often violate it.
func TestDoubleProbeRateIsAViolation(t *testing.T) {
	s, err := Read("script", []byte(shortScript+"at_rest = false\nrest_s = 4\ntolerance = 0.25\n"))
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(t.Context(), s, 20, options(t, doubleRateHollow, nil))
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range r.Violations {
		if v.Rule == RuleHollowMatchesReal {
			return
		}
	}
	t.Errorf("no violation of the comparison of hollow and real nodes: %v", r.Violations)
}

// Guards against an in-force check that never fires, or fires without a fault: a node that follows no control server is the
// only violation.
func TestNodeWithoutTheChangeIsAViolation(t *testing.T) {
	s, err := Read("script", []byte(shortScript+"control = [2, 2, 1]\ntolerance = 1.0\nat_rest = false\nrest_s = 1\npause_s = 0\nchange_s = 0\n"+
		"\n[[event]]\nkind = \"change\"\nwindow_s = 4\n"))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		role       string
		violations int
	}{{unmodifiedHollow, 0}, {unconfiguredHollow, 1}} {
		r, err := Run(t.Context(), s, 20, options(t, c.role, nil))
		if err != nil {
			t.Fatal(err)
		}
		if len(r.Violations) != c.violations || c.violations > 0 && r.Violations[0].Rule != RuleInForce {
			t.Errorf("%s: %v", c.role, r.Violations)
		}
		if left := children(t); len(left) > 0 {
			t.Errorf("left running: %v", left)
		}
	}
}

// Guards against processes that outlive an interrupted run, and against a run that does not end on an interrupt.
func TestInterruptLeavesNoProcess(t *testing.T) {
	s, err := Read("script", []byte(shortScript))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	began := time.Now()
	_, err = Run(ctx, s, 20, options(t, unmodifiedHollow, func(line string) {
		if strings.Contains(line, "all nodes know each other") {
			if len(children(t)) < 6 {
				t.Error("the processes that the interrupt should end are not running")
			}
			cancel()
		}
	}))
	if err == nil || ctx.Err() == nil {
		t.Errorf("interrupted run returned %v, want an error", err)
	}
	if took := time.Since(began); took > testTimeout {
		t.Errorf("the run took %v to end", took)
	}
	if left := children(t); len(left) > 0 {
		t.Errorf("left running: %v", left)
	}
}

// Guards against a run that hangs or succeeds when a hollow process dies.
func TestDeadHollowProcessEndsTheRun(t *testing.T) {
	s, err := Read("script", []byte(shortScript))
	if err != nil {
		t.Fatal(err)
	}
	o := options(t, unmodifiedHollow, nil)
	o.Hollow = []string{"/bin/true"}
	if _, err := Run(t.Context(), s, 20, o); err == nil || !strings.Contains(err.Error(), "hollow process") {
		t.Errorf("got error %v, want one about the hollow process", err)
	}
}
