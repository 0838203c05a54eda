package serving

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"gorseledge/internal/figures"
)

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "serving")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "gorseledge")
	code := 1
	if out, err := exec.Command("go", "build", "-o", program, "gorseledge/cmd/gorseledge").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
	} else {
		code = m.Run()
	}
	os.RemoveAll(dir)
	os.Exit(code)
}

// small are few steps of few connections.
func small(t *testing.T) Options {
	return Options{Program: program, Dir: t.TempDir(), Cores: 1, Repeats: 1, Window: 100 * time.Millisecond, LineBytes: 64,
		Connections: []int{10, 30}, Flows: []int{5}, Carriers: 20, Rates: []int{500}, Listeners: []int{8}, Bursts: 3,
		Loaded: 8, Load: 500, Stall: time.Hour}
}

// value gives the one figure of a size, phase and cost.
func value(t *testing.T, table *figures.Table, size float64, phase, cost string) float64 {
	t.Helper()
	var found []float64
	for _, row := range table.Rows {
		if row.Size == size && row.Phase == phase && row.Cost == cost {
			found = append(found, row.Value)
		}
	}
	if len(found) != 1 {
		t.Fatalf("%s of %s at %v: %v, want one figure", cost, phase, size, found)
	}
	return found[0]
}

func TestEachStepGivesItsFigures(t *testing.T) {
	defer goleak.VerifyNone(t)
	table := &figures.Table{}
	o := small(t)
	if err := Measure(t.Context(), o, table); err != nil {
		t.Fatal(err)
	}
	few := value(t, table, 10, "held", "node.descriptors")
	if many := value(t, table, 30, "held", "node.descriptors"); many-few != 20*descriptorsEach {
		t.Errorf("20 connections more took %v descriptors, want %d", many-few, 20*descriptorsEach)
	}
	for _, c := range []struct {
		size        float64
		phase, cost string
	}{{10, "held", "node.memory"}, {5, "flows", "node.cpu_total"}, {500, "deliver", "node.cpu"}, {500, "deliver", "deliveries"},
		{500, "deliver", "delivery.p50"}, {8, "burst", "burst.last_p99"}, {8, "burst_with_load", "burst.each_p50"}} {
		if x := value(t, table, c.size, c.phase, c.cost); x <= 0 {
			t.Errorf("%s of %s at %v is %v", c.cost, c.phase, c.size, x)
		}
	}
	if each, last := value(t, table, 8, "burst", "burst.each_p99"), value(t, table, 8, "burst", "burst.last_p99"); each > last {
		t.Errorf("each client's 99th is %v s, and the last one's %v s", each, last)
	}
	left, err := os.ReadDir(o.Dir)
	if err != nil || len(left) > 0 {
		t.Errorf("left in the directory: %v, %v", left, err)
	}
}

func TestInterruptLeavesNothingBehind(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	o := small(t)
	o.Window = time.Hour
	var pid int
	o.Connections = []int{10}
	r := &run{Options: o, table: &figures.Table{}, most: 100}
	err := r.withNode(ctx, 1, func(ctx context.Context, b *bench, repeat int) error {
		pid = b.node.Pid()
		if err := b.clients.grow(ctx, 10); err != nil {
			return err
		}
		cancel()
		return r.connections(ctx, b, repeat)
	})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("ended with %v", err)
	}
	if err := syscall.Kill(pid, 0); !errors.Is(err, syscall.ESRCH) {
		t.Errorf("the node's process: %v, want that there is none", err)
	}
}

// A node that ends while it is measured is no figure.
func TestEndedNodeIsAnError(t *testing.T) {
	defer goleak.VerifyNone(t)
	r := &run{Options: small(t), table: &figures.Table{}, most: 100}
	err := r.withNode(t.Context(), 1, func(ctx context.Context, b *bench, repeat int) error {
		if err := b.clients.grow(ctx, 10); err != nil {
			return err
		}
		b.node.Kill()
		return await(ctx, func() bool { return b.clients.lost.Load() == 10 })
	})
	if err == nil || !strings.Contains(err.Error(), "10 connections ended") {
		t.Errorf("ended with %v", err)
	}
}

// A measure during which the machine stood still leaves no figure, and is taken again.
func TestMeasureWithAStallIsTakenAgain(t *testing.T) {
	for _, c := range []struct {
		name                 string
		stalled, taken, void int
		wrong                bool
	}{{"never", 0, 1, 0, false}, {"once", 1, 2, 1, false}, {"each time", mostAttempts, mostAttempts, mostAttempts, true}} {
		t.Run(c.name, func(t *testing.T) {
			r := &run{Options: Options{Stall: time.Hour}, table: &figures.Table{}}
			r.add(1, "flows", 1, "flows", "node.cpu_total", "us", 1) // of another measure
			taken := 0
			err := r.steady(t.Context(), "a measure", func() error {
				r.Stall = time.Hour
				if taken++; taken <= c.stalled {
					r.Stall = -time.Hour // whatever there was is longer
				}
				r.add(1, "flows", 2, "flows", "node.cpu_total", "us", float64(taken))
				return nil
			})
			rows := 2
			if c.wrong {
				rows = 1
			}
			if (err != nil) != c.wrong || taken != c.taken || r.void != c.void || len(r.table.Rows) != rows {
				t.Errorf("%v: taken %d times, %d void, figures %v", err, taken, r.void, r.table.Rows)
			}
			if !c.wrong && r.table.Rows[1].Value != float64(c.taken) {
				t.Errorf("kept %v, want the last measure's figure", r.table.Rows[1])
			}
		})
	}
}

func TestLongestStallIsKept(t *testing.T) {
	began := time.Unix(1000, 0)
	s := stalls{last: began}
	for _, at := range []time.Duration{beatGap, 3 * beatGap, 4 * beatGap, time.Second, time.Second + beatGap} {
		s.beat(began.Add(at))
	}
	if want := time.Second - 5*beatGap; s.longest != want {
		t.Errorf("longest %v, want %v", s.longest, want)
	}
}

func TestStepsThatDoNotFitAreAsManyAsFit(t *testing.T) {
	for _, c := range []struct{ asked, want []int }{
		{[]int{1000, 2000}, []int{1000, 2000}},
		{[]int{1000, 5000, 9000}, []int{1000, 2500}},
		{[]int{2500, 9000}, []int{2500}},
	} {
		r := &run{Options: Options{Connections: c.asked}, most: 2500}
		if got := r.connectionSteps(); !slices.Equal(got, c.want) {
			t.Errorf("%v: %v, want %v", c.asked, got, c.want)
		}
	}
}

func TestOptionsThatCannotBePlayedAreRefused(t *testing.T) {
	if err := small(t).Check(); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(*Options){
		"no repeat":      func(o *Options) { o.Repeats = 0 },
		"no burst":       func(o *Options) { o.Bursts = 0 },
		"short window":   func(o *Options) { o.Window = time.Millisecond },
		"short line":     func(o *Options) { o.LineBytes = 8 },
		"long line":      func(o *Options) { o.LineBytes = longestLine + 1 },
		"no stall":       func(o *Options) { o.Stall = 0 },
		"nobody is left": func(o *Options) { o.Loaded = o.Carriers },
	} {
		o := small(t)
		change(&o)
		if err := Measure(t.Context(), o, &figures.Table{}); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}

func TestUsageCountsThisProcess(t *testing.T) {
	before, err := usageOf(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	held, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	after, err := usageOf(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if before.memory <= 0 || before.processorTime <= 0 || after.processorTime < before.processorTime ||
		after.descriptors != before.descriptors+1 {
		t.Errorf("before %+v, after one more descriptor %+v", before, after)
	}
	if _, err := usageOf(1 << 30); err == nil {
		t.Error("a process that is not there has a usage")
	}
}
