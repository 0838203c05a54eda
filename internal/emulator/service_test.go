package emulator

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gorseledge/internal/node"
	"gorseledge/placement"
)

// startupRecorder records when a process started and when it first received a list.
type startupRecorder struct {
	Core
	startedAt, listedAt float64 // 0 for not yet
}

func (c *startupRecorder) Apply(now float64, in node.Input) []node.Effect {
	if c.startedAt == 0 {
		c.startedAt = now
	}
	if _, listed := in.(node.ListReceived); listed && c.listedAt == 0 {
		c.listedAt = now
	}
	return c.Core.Apply(now, in)
}

// pollingAfterStart is a faulty node that polls for the first time ten seconds after its start.
type pollingAfterStart struct {
	Core
	until  float64
	polled bool
}

func (c *pollingAfterStart) Apply(now float64, in node.Input) []node.Effect {
	if c.until == 0 {
		c.until = now + 10
	}
	var out []node.Effect
	if now >= c.until && !c.polled {
		c.polled = true
		out = append(out, node.Watch{})
	}
	return append(out, slices.DeleteFunc(slices.Clone(c.Core.Apply(now, in)), isWatch)...)
}

// Guards against restarted nodes that spread or delay their first calls to discovery for too long. 70% of 300 processes are
// killed at the same time and restart within two seconds; discovery needs three seconds to answer all of them. 90% have to
// receive a list within ten seconds of their start.
func TestRestartedNodesGetListWithinTenSeconds(t *testing.T) {
	const nodes = 300
	const killed = nodes * 7 / 10
	text := strings.Replace(faultlessScenario, "nodes = 3\nhosts = 6\n", "nodes = 300\nhosts = 60\nroster_calls = 70\n", 1)
	for i := range killed {
		text += fmt.Sprintf("[[fault]]\nat = 8\nkind = \"node_kill\"\nnode = %d\nfor = %.2f\n", i, 1+float64(i%100)/100)
	}
	for _, c := range []struct {
		name string
		late bool
	}{
		{"correct node", false},
		{"node that polls late", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var all []*startupRecorder
			Run(parseScenario(t, text), 5, Options{WrapCore: func(core Core) Core {
				if c.late {
					core = &pollingAfterStart{Core: core}
				}
				recorder := &startupRecorder{Core: core}
				all = append(all, recorder)
				return recorder
			}})
			restarted := all[nodes:]
			soon := 0
			for _, r := range restarted {
				if r.listedAt > 0 && r.listedAt <= r.startedAt+10 {
					soon++
				}
			}
			if len(restarted) != killed || (soon < len(restarted)*9/10) != c.late {
				t.Errorf("polls late: %v: %d of %d restarted nodes received a list within ten seconds, want %d restarted nodes and "+
					"a list at 90%% of them unless they poll late", c.late, soon, len(restarted), killed)
			}
		})
	}
}

// Guards against a fleet that serves well on average but fails one service type, or the time after a fault. With restarts,
// a release and silent watches, each service type has to be served for half of the requested time in each third of the
// run, and so in the whole run.
func TestEachServiceTypeIsServedInEachThird(t *testing.T) {
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
		name   string
		adjust func(r *placement.Settings)
		served bool
	}{
		{"correct node", nil, true},
		{"node that makes no attempts", func(r *placement.Settings) { r.MaxAttempts = 0 }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := parseScenario(t, faultlessScenario+faults)
			least := leastServedShare(s, Options{AdjustSettings: c.adjust})
			if (least >= 0.5) != c.served {
				t.Errorf("%s: the lowest served share of a service type in a third of the run is %.2f, want at least 0.5: %v", c.name, least,
					c.served)
			}
		})
	}
}

// leastServedShare returns the lowest ratio of served to requested seconds over all service types and thirds of a run.
func leastServedShare(script Scenario, o Options) float64 {
	s := newSimulation(script, 3, o)
	least := 1.0
	requested := make([]float64, len(script.Traffic))
	served := make([]float64, len(script.Traffic))
	for third := 1; third <= 3; third++ {
		s.runUntil(script.Duration * float64(third) / 3)
		requestedBefore := slices.Clone(requested)
		servedBefore := slices.Clone(served)
		clear(requested)
		clear(served)
		for _, c := range s.clients {
			requested[c.trafficIndex] += c.requestedSeconds
			served[c.trafficIndex] += c.servedSeconds
		}
		for i := range requested {
			least = min(least, (served[i]-servedBefore[i])/(requested[i]-requestedBefore[i]))
		}
	}
	return least
}
