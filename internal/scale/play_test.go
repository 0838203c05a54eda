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

// The test's program is a hollow process itself where this names a way to serve: as it is, or with wrong nodes.
const (
	hollowRole   = "GORSELEDGE_TEST_HOLLOW"
	rightHollow  = "right"
	hastyHollow  = "hasty"  // probes twice as often as its period says
	adriftHollow = "adrift" // one of its nodes follows no control server
)

// program and controlProgram are the built node and control server, the same for all tests.
var program, controlProgram string

func TestMain(m *testing.M) {
	change := func(*hollowNode) {}
	switch os.Getenv(hollowRole) {
	case hastyHollow:
		change = func(n *hollowNode) { n.Fleet.Period /= 2 }
	case adriftHollow:
		change = func(n *hollowNode) {
			if n.Name == "n0019" {
				n.Fleet.Control = nil
			}
		}
	}
	if os.Getenv(hollowRole) != "" {
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

// options are those of a run whose hollow processes are this program in a role.
func options(t *testing.T, role string, progress func(string)) Options {
	return Options{Program: program, Control: controlProgram, Hollow: []string{"/usr/bin/env", hollowRole + "=" + role, os.Args[0]}, Seed: 1, Dir: t.TempDir(),
		Progress: progress}
}

// children gives the processes that run under this one.
func children(t *testing.T) (out []string) {
	t.Helper()
	stats, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range stats {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // it has ended meanwhile
		}
		_, rest, _ := strings.Cut(string(text), ") ")
		if fields := strings.Fields(rest); len(fields) > 1 && fields[0] != "Z" && fields[1] == strconv.Itoa(os.Getpid()) {
			out = append(out, path)
		}
	}
	return out
}

// The small script that an operator plays: hollow nodes, real ones and the virtual clock agree, a death is known to all,
// the node that is back as well, and nothing is left running.
func TestSmallFleetHolds(t *testing.T) {
	s, err := ReadFile("../../docs/scenarios/scale-small.toml")
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(t.Context(), s, s.Sizes[0], options(t, rightHollow, func(line string) { t.Log(line) }))
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range r.Violations {
		t.Error(b)
	}
	for _, c := range []struct {
		kind        Kind
		phase, cost string
		least, most float64
	}{{Hollow, "rest", "sent_messages.ping", 1 / s.Period / 2, 1 / s.Period * 1.1}, {Real, "rest", "cpu", 1e-5, 1},
		{Hollow, "rest", "memory", 1e4, 1e8}, {Fleet, "kill", "gone_known_by", 0.9, 1}, {Fleet, "kill-back", "back_known_by", 0.9, 1},
		{Fleet, "change-server-fault", "in_force_by", 1, 1}, {Fleet, "change-region-cut", "in_force_by", 1, 1},
		{Fleet, "change-region-cut-back", "in_force_last", 0, s.Force}, {Hollow, "rest", "sent_bytes.control", 1, 15e3},
		{Server, "rest", "memory", 1e6, 1e8}} {
		if x, found := find(r.Rows, r.Size, c.kind, c.phase, c.cost); !found || x < c.least || x > c.most {
			t.Errorf("%s, %s: %s is %g (%v), wanted %g to %g", c.kind, c.phase, c.cost, x, found, c.least, c.most)
		}
	}
	if left := children(t); len(left) > 0 {
		t.Errorf("left running: %v", left)
	}
}

const shortScript = "sizes = [20]\nreal = 4\nper_process = 10\nrack = 2\nperiod_s = 0.2\ncpu_cores = 1\n"

// A hollow node that probes twice as often as the real ones is caught.
func TestWrongHollowNodeIsCaught(t *testing.T) {
	s, err := Read("script", []byte(shortScript+"at_rest = false\nrest_s = 4\ntolerance = 0.25\n"))
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(t.Context(), s, 20, options(t, hastyHollow, nil))
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range r.Violations {
		if b.Rule == RuleTruth {
			return
		}
	}
	t.Errorf("nothing was caught: %v", r.Violations)
}

// A node that does not put a change in force is caught, and nothing else is.
func TestNodeWithoutTheChangeIsCaught(t *testing.T) {
	s, err := Read("script", []byte(shortScript+"control = [2, 2, 1]\ntolerance = 1.0\nat_rest = false\nrest_s = 1\npause_s = 0\nchange_s = 0\n"+
		"\n[[event]]\nkind = \"change\"\nwindow_s = 4\n"))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		role   string
		breaks int
	}{{rightHollow, 0}, {adriftHollow, 1}} {
		r, err := Run(t.Context(), s, 20, options(t, c.role, nil))
		if err != nil {
			t.Fatal(err)
		}
		if len(r.Violations) != c.breaks || c.breaks > 0 && r.Violations[0].Rule != RuleForce {
			t.Errorf("%s: %v", c.role, r.Violations)
		}
		if left := children(t); len(left) > 0 {
			t.Errorf("left running: %v", left)
		}
	}
}

// An interrupt ends the run at once and leaves no process.
func TestInterruptLeavesNoProcess(t *testing.T) {
	s, err := Read("script", []byte(shortScript))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	began := time.Now()
	_, err = Run(ctx, s, 20, options(t, rightHollow, func(line string) {
		if strings.Contains(line, "all know all") {
			if len(children(t)) < 6 {
				t.Error("the processes that should end do not run")
			}
			cancel()
		}
	}))
	if err == nil || ctx.Err() == nil {
		t.Errorf("it says that all went well: %v", err)
	}
	if took := time.Since(began); took > patience {
		t.Errorf("it took %v", took)
	}
	if left := children(t); len(left) > 0 {
		t.Errorf("left running: %v", left)
	}
}

// A run ends itself with a message before it passes a bound, and leaves no process.
func TestRunEndsBeforeItsBound(t *testing.T) {
	for _, c := range []struct{ bound, says string }{{"total_memory_mb = 100\n", "MB of 100"}, {"minutes = 0.1\n", "minutes of 0.1"}} {
		s, err := Read("script", []byte(shortScript+c.bound))
		if err != nil {
			t.Fatal(err)
		}
		r, err := Run(t.Context(), s, 20, options(t, rightHollow, nil))
		if err == nil || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%s: %v", c.bound, err)
		}
		if r == nil || len(r.Rows) == 0 {
			t.Errorf("%s: what was measured before is lost", c.bound)
		}
		if left := children(t); len(left) > 0 {
			t.Errorf("left running: %v", left)
		}
	}
}

// A hollow process that dies ends the run with an error.
func TestDeadHollowProcessEndsTheRun(t *testing.T) {
	s, err := Read("script", []byte(shortScript))
	if err != nil {
		t.Fatal(err)
	}
	o := options(t, rightHollow, nil)
	o.Hollow = []string{"/bin/true"}
	if _, err := Run(t.Context(), s, 20, o); err == nil || !strings.Contains(err.Error(), "hollow process") {
		t.Errorf("%v", err)
	}
}
