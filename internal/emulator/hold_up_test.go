package emulator

import (
	"flag"
	"fmt"
	"testing"
)

// holdUpSeeds is how many runs are made. By hand: go test ./internal/emulator -run HeldUp -hold-up-seeds 1000
var holdUpSeeds = flag.Int("hold-up-seeds", 12, "runs of nodes that are held up")

// shortTimes is a fleet in which much happens within the time of a hold-up: clients with little time, once-only ones among
// them, hosts that stall, fail and are replaced, and slow dials.
const shortTimes = `
name = "short"
lasts = 20
[fleet]
nodes = 3
hosts = 6
[[traffic]]
name = "order"
effect = "once-only"
rate = 25
lives = 1
load = 0.01
target = 0.05
timeout = 0.1
message = 0.1
value = 3
retries = 3
backoff = 0.02
[[traffic]]
name = "upload"
effect = "referenced"
rate = 10
lives = 2
load = 0.01
target = 0.1
timeout = 0.15
message = 0.1
value = 2
memory_span = 3
retries = 3
backoff = 0.05
[[traffic]]
name = "chat"
effect = "repeatable"
rate = 6
lives = 5
load = 0.02
target = 0.3
timeout = 1
message = 0.1
value = 1
retries = 3
backoff = 0.05
[[fault]]
at = 3
kind = "release"
count = 3
for = 6
[[fault]]
at = 4
kind = "stall"
host = 1
for = 3
[[fault]]
at = 9
kind = "errs"
host = 2
by = 0.5
for = 4
[[fault]]
at = 13
kind = "leave"
by = 0.3
for = 4
`

// A process may be held up between any two of its steps, also between reading its clock and writing. What it infers from the
// clock must still be true when its effects are carried out: no effect twice, one answer within half a second of the client's
// time, nothing to a draining host after the grace.
func TestRulesHoldForNodesThatAreHeldUp(t *testing.T) {
	script := parseScenario(t, shortTimes)
	flows := 0
	for seed := range uint64(*holdUpSeeds) {
		r := Run(script, seed, Options{HoldUpShare: 0.1, AnswerSlack: 0.5})
		flows += r.Requested
		for _, violation := range r.Violations {
			t.Errorf("seed %d: %s", seed, fmt.Sprint(violation))
		}
	}
	t.Logf("%d flows in %d runs", flows, *holdUpSeeds)
}
