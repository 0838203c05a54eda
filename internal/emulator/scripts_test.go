package emulator

import "testing"

// faultlessScenario is a script with a small fleet, two service types and no faults.
const faultlessScenario = `
name = "calm"
lasts = 30
[fleet]
nodes = 3
hosts = 6
[[traffic]]
name = "chat"
effect = "repeatable"
rate = 6
lives = 10
load = 0.05
target = 0.3
timeout = 2
message = 0.1
value = 1
group = 4
retries = 3
backoff = 0.05
[[traffic]]
name = "order"
effect = "once-only"
rate = 2
lives = 5
load = 0.02
target = 0.3
timeout = 2
message = 0.1
value = 3
`

// drainUnderLoad adds a service type with many clients and drains all hosts at nearly the same time, except one that was
// started a second earlier and is in slow start.
const drainUnderLoad = `
[[traffic]]
name = "crowd"
effect = "repeatable"
rate = 60
lives = 20
load = 0.1
target = 0.3
timeout = 2
value = 1
retries = 9
backoff = 0.1
[[fault]]
at = 10
kind = "grow"
count = 1
[[fault]]
at = 11
kind = "shrink"
count = 6
for = 0.1
`

// upgradesWhileDisabled adds a host that is administratively disabled for some time, and upgrades of nodes in that time.
const upgradesWhileDisabled = `
[[fault]]
at = 4
kind = "hand"
host = 2
for = 14
[[fault]]
at = 6
kind = "upgrade"
node = 0
[[fault]]
at = 8
kind = "upgrade"
node = 1
[[fault]]
at = 16
kind = "upgrade"
node = 0
`

// twoDrains adds two hosts that drain.
const twoDrains = `
[[fault]]
at = 10
kind = "drain"
host = 1
for = 15
[[fault]]
at = 10
kind = "drain"
host = 2
for = 15
`

// parseScenario parses a script and fails the test if it is invalid.
func parseScenario(t *testing.T, text string) Scenario {
	t.Helper()
	s, err := Read("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}
