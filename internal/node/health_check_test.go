package node

import (
	"fmt"
	"strings"
	"testing"
)

// Probes go out once a host was set aside, and their answers bring it back.
func TestHealthChecksBringEjectedHostBack(t *testing.T) {
	for _, c := range []struct {
		name, text string
		end        End
		back       bool
	}{
		{"answered", "PONG\r\n", Open, true}, {"answered with an error", "ERR\r\n", Open, false},
		{"not allowed", "NO\r\n", Open, false}, {"ended", "", Ended, false}, {"broken", "", Broken, false},
		{"over-long", strings.Repeat("x", 5000), Open, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			harness := newHarness(t, "pass", 2, 1000)
			aside := func(fail bool) bool { // whether no key's flow goes to h0, where it fails if so asked
				for i := range 12 {
					client, h := harness.openFlow(fmt.Sprintf("%x c=chat,t=acme,d=2000", i+1)), harness.flowDials[len(harness.flowDials)-1]
					first := harness.dialedAddress[h]
					if first == "h0" && fail {
						harness.receive(harness.completeLastDial(), "ERR\r\n", Open)
					}
					harness.receive(client, "", Ended)
					if first == "h0" {
						return false
					}
				}
				return true
			}
			aside(true)
			if !aside(false) {
				t.Fatal("a host that fails is not set aside")
			}
			probes := 0
			for range 1200 {
				harness.now += 0.01
				harness.apply(TimerFired{})
				for ; len(harness.healthChecks) > 0; harness.healthChecks = harness.healthChecks[1:] {
					h := harness.healthChecks[0]
					if at := harness.dialedAddress[h]; at != "h0" || harness.connectionState[h] != "dialed" {
						continue
					}
					harness.completeDial(h)
					if harness.written[h] != "PING\r\n" {
						t.Fatalf("probed with %q", harness.written[h])
					}
					harness.receive(h, c.text, c.end)
					probes++
				}
			}
			if probes < 2 || aside(false) == c.back {
				t.Errorf("%d probes, wanted back %v", probes, c.back)
			}
		})
	}
}
