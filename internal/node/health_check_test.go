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
		w := newHarness(t, "pass", 2, 1000)
		aside := func(fail bool) bool { // whether no key's flow goes to h0, where it fails if so asked
			for i := range 12 {
				client, h := w.openFlow(fmt.Sprintf("%x c=chat,t=acme,d=2000", i+1)), w.flowDials[len(w.flowDials)-1]
				first := w.dialedAddress[h]
				if first == "h0" && fail {
					w.receive(w.completeLastDial(), "ERR\r\n", Open)
				}
				if w.receive(client, "", Ended); first == "h0" {
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
			w.now += 0.01
			w.apply(TimerFired{})
			for ; len(w.healthChecks) > 0; w.healthChecks = w.healthChecks[1:] {
				h := w.healthChecks[0]
				if at := w.dialedAddress[h]; at != "h0" || w.connectionState[h] != "dialed" {
					continue
				}
				if w.completeDial(h); w.written[h] != "PING\r\n" {
					t.Fatalf("probed with %q", w.written[h])
				}
				w.receive(h, c.text, c.end)
				probes++
			}
		}
		if probes < 2 || aside(false) == c.back {
			t.Errorf("%s: %d probes, wanted back %v", c.name, probes, c.back)
		}
	}
}
