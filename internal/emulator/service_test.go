package emulator

import (
	"fmt"
	"strings"
	"testing"

	"gorseledge/internal/node"
	"gorseledge/placement"
)

// startupRecorder notes when a process began and when it was first told a list.
type startupRecorder struct {
	Core
	startedAt, listedAt float64
}

func (b *startupRecorder) Apply(now float64, in node.Input) []node.Effect {
	if b.startedAt == 0 {
		b.startedAt = now
	}
	if _, listed := in.(node.ListReceived); listed && b.listedAt == 0 {
		b.listedAt = now
	}
	return b.Core.Apply(now, in)
}

// pollingAfterStart asks for the list ten seconds after it began.
type pollingAfterStart struct {
	Core
	until float64
	asked bool
}

func (s *pollingAfterStart) Apply(now float64, in node.Input) []node.Effect {
	if s.until == 0 {
		s.until = now + 10
	}
	var out []node.Effect
	if now >= s.until && !s.asked {
		s.asked = true
		out = append(out, node.Watch{})
	}
	for _, e := range s.Core.Apply(now, in) {
		if _, watch := e.(node.Watch); !watch {
			out = append(out, e)
		}
	}
	return out
}

// Seven in ten of 300 processes are killed at once and begin anew, and discovery has three seconds' work with their
// calls: nine in ten know a list within ten seconds, after which they are ready. Guards against calls that are spread
// or waited for longer than that.
func TestReadySoon(t *testing.T) {
	const nodes = 300
	text := strings.Replace(calmScenario, "nodes = 3\nhosts = 6\n", "nodes = 300\nhosts = 60\nroster_calls = 70\n", 1)
	for i := range nodes * 7 / 10 {
		text += fmt.Sprintf("[[fault]]\nat = 8\nkind = \"node_kill\"\nnode = %d\nfor = %.2f\n", i, 1+float64(i%100)/100)
	}
	for _, late := range []bool{false, true} {
		var all []*startupRecorder
		Run(parseScenario(t, text), 5, Options{WrapCore: func(c Core) Core {
			if late {
				c = &pollingAfterStart{Core: c}
			}
			b := &startupRecorder{Core: c}
			all = append(all, b)
			return b
		}})
		soon, again := 0, all[nodes:]
		for _, b := range again {
			if b.listedAt > 0 && b.listedAt <= b.startedAt+10 {
				soon++
			}
		}
		if len(again) != nodes*7/10 || (soon < len(again)*9/10) != late {
			t.Errorf("late %v: of %d that began anew %d know a list within ten seconds", late, len(again), soon)
		}
	}
}

// On a day with restarts, a release and silent watches, each service type gets half of what it asked for, in the whole
// and in each third of the day. Guards against a fleet that serves well on the whole and one type, or the time after a
// trouble, not at all.
func TestFloors(t *testing.T) {
	const faults = `
[[fault]]
at = 8
kind = "release"
count = 3
for = 6
[[fault]]
at = 10
kind = "roster_silent"
by = 1
[[fault]]
at = 14
kind = "node_restart"
node = 0
for = 1
[[fault]]
at = 19
kind = "node_kill"
node = 1
for = 2
`
	for _, c := range []struct {
		name  string
		tune  func(r *placement.Settings)
		holds bool
	}{
		{"as it is", nil, true},
		{"nothing is placed", func(r *placement.Settings) { r.MaxAttempts = 0 }, false},
	} {
		s := parseScenario(t, calmScenario+faults)
		w := newSimulation(s, 3, Options{AdjustSettings: c.tune})
		low := 1.0
		asked, served := make([]float64, len(s.Traffic)), make([]float64, len(s.Traffic))
		for third := 1; third <= 3; third++ {
			for w.Step(s.Duration * float64(third) / 3) {
			}
			was, had := append([]float64(nil), asked...), append([]float64(nil), served...)
			clear(asked)
			clear(served)
			for _, cl := range w.clients {
				asked[cl.trafficIndex] += cl.requestedSeconds
				served[cl.trafficIndex] += cl.servedSeconds
			}
			for kind := range asked {
				low = min(low, (served[kind]-had[kind])/(asked[kind]-was[kind]))
			}
		}
		if (low >= 0.5) != c.holds {
			t.Errorf("%s: the least of any service type in any third is %.2f", c.name, low)
		}
	}
}
