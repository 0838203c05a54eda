package node

import (
	"fmt"
	"strings"
	"testing"
)

// Hosts tell a load and a delay under one word. Guards against the delay of a jam being taken for a load of
// next to nothing: on the days of a large fleet the jammed hosts looked empty, and flows went on to them.
func TestDelayIsNotTakenForLoad(t *testing.T) {
	for _, c := range []struct {
		name          string
		delays, loads bool
		notes         string
		jammed        bool
	}{
		{"a load", true, true, "LOAD 35090.7\r\n", false},
		{"a delay", true, true, "LOAD 35090.7\r\nLOAD 383.3\r\n", true},
		{"a delay before any load", true, true, "LOAD 383.3\r\n", true},
		{"a long delay", true, true, "LOAD 35090.7\r\nLOAD 1431.5\r\n", true},
		{"a delay that says it has cleared", true, true, "LOAD 35090.7\r\nLOAD 5.1\r\n", false},
		{"no delays are told", false, true, "LOAD 383.3\r\n", false},
		{"no loads are told", true, false, "LOAD 35090.7\r\n", true},
		{"a small load before any other", true, true, "LOAD 1431.5\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			harness := newHarness(t, "proxy", 1, 100)
			harness.node.listener.ReportsDelay, harness.node.listener.ReportsLoad = c.delays, c.loads
			_, host := harness.establish(chatRequest)
			harness.receive(host, c.notes, Open)
			harness.advance(0.1)
			harness.openFlow(chatRequest)
			if (len(harness.flowDials) == 1) != c.jammed {
				t.Errorf("%d dials", len(harness.flowDials))
			}
		})
	}
}

// The module's moves reach the client between two lines.
func TestSlowHostLosesSomeFlows(t *testing.T) {
	harness := newHarness(t, "proxy", 1, 1000)
	var clients, hosts []Conn
	for i := range 6 {
		c, h := harness.establish(fmt.Sprintf("%x c=chat,t=acme,d=2000", i+1))
		clients, hosts = append(clients, c), append(hosts, h)
	}
	for _, h := range hosts {
		harness.receive(h, "LOAD 100000\r\nhalf a li", Open)
	}
	harness.receive(clients[0], "M\r\n", Open)
	harness.advance(0.2)
	harness.receive(hosts[0], "ne\r\n", Open) // four aims late
	harness.advance(0.6)
	moved := 0
	for _, c := range clients {
		if strings.HasSuffix(harness.written[c], "\r\nMOVE\r\n") && harness.connectionState[c] == "write closed" {
			moved++
		} else if strings.Contains(harness.written[c], "MOVE") {
			t.Fatalf("told %q", harness.written[c])
		}
	}
	if moved == 0 || moved == len(clients) {
		t.Fatalf("%d of %d moved off a slow host", moved, len(clients))
	}
}
