package node

import (
	"fmt"
	"strings"
	"testing"
)

// avoidsFirstHost opens flows of several client keys and reports whether none goes to h0. A flow that does is failed by
// its host if failing is set.
func avoidsFirstHost(harness *testHarness, failing bool) bool {
	harness.Helper()
	for key := range 12 {
		client := harness.openFlow(fmt.Sprintf("%x c=chat,t=acme,d=2000", key+1))
		address := harness.dialedAddress[harness.flowDials[len(harness.flowDials)-1]]
		if address == "h0" && failing {
			harness.receive(harness.completeLastDial(), "ERR\r\n", StreamOpen)
		}
		harness.receive(client, "", StreamEnded)
		if address == "h0" {
			return false
		}
	}
	return true
}

// answerHealthChecks has h0 answer its health checks for twelve seconds, and returns how many there were.
func answerHealthChecks(harness *testHarness, answer string, end StreamState) int {
	harness.Helper()
	answered := 0
	for range 1200 {
		harness.now += 0.01
		harness.apply(TimerFired{})
		for ; len(harness.healthChecks) > 0; harness.healthChecks = harness.healthChecks[1:] {
			check := harness.healthChecks[0]
			if harness.dialedAddress[check] != "h0" || harness.connectionState[check] != "dialed" {
				continue
			}
			harness.completeDial(check)
			if harness.written[check] != "PING\r\n" {
				harness.Fatalf("checked with %q", harness.written[check])
			}
			harness.receive(check, answer, end)
			answered++
		}
	}
	return answered
}

// A host that is ejected is checked, and only good answers bring it back.
func TestHealthChecksBringEjectedHostBack(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer string
		end    StreamState
		back   bool
	}{
		{"answered", "PONG\r\n", StreamOpen, true},
		{"answered with an error", "ERR\r\n", StreamOpen, false},
		{"not allowed", "NO\r\n", StreamOpen, false},
		{"ended", "", StreamEnded, false},
		{"broken", "", StreamBroken, false},
		{"line too long", strings.Repeat("x", 5000), StreamOpen, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			harness := newHarness(t, "pass", 2, 1000)
			avoidsFirstHost(harness, true)
			if !avoidsFirstHost(harness, false) {
				t.Fatal("a host that fails is not ejected")
			}
			checks := answerHealthChecks(harness, c.answer, c.end)
			if checks < 2 || avoidsFirstHost(harness, false) == c.back {
				t.Errorf("%d health checks, wanted back %v", checks, c.back)
			}
		})
	}
}
