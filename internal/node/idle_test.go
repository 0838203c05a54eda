package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// Who asked for nothing and has to make room, or is still there when its node goes, is told so: what it asks for in
// just that moment is refused and not lost.
func TestIdleClientIsToldBeforeItsEnd(t *testing.T) {
	harness := newHarness(t, "proxy", 3, 60)
	var idle []Conn
	for range 60 {
		harness.now += 0.11
		idle = append(idle, harness.accept())
	}
	ended := 0
	for _, c := range idle {
		if harness.connectionState[c] == "closed" {
			ended++
			if harness.written[c] != "BUSY\r\n" {
				t.Errorf("made room for others, told %q", harness.written[c])
			}
		}
	}
	if ended < 30 {
		t.Errorf("%d of 60 made room", ended)
	}
	harness = newHarness(t, "pass", 3, 60)
	harness.establish(chatRequest) // it is held, so the node stays
	harness.apply(Shutdown{})
	harness.advance(harness.node.drainTime() - finalAnswerTime - 0.5)
	c := harness.accept()
	harness.advance(0.6)
	if harness.written[c] != "BUSY\r\n" || harness.connectionState[c] != "write closed" {
		t.Errorf("the node is about to go: told %q, and its side is %q", harness.written[c], harness.connectionState[c])
	}
}

// Who does not take what it is told, or broke off meanwhile, is ended all the same. Guards against a connection that is
// kept for a word which can never go out.
func TestBlockedClientIsClosedInTime(t *testing.T) {
	for _, failed := range []bool{false, true} {
		t.Run(fmt.Sprintf("write failed %v", failed), func(t *testing.T) {
			harness := newHarness(t, "proxy", 3, 60)
			c := harness.accept()
			harness.blocked[c] = true
			harness.receive(c, "PING\r\n", Open)
			if failed {
				harness.advance(1.95)
				harness.apply(WriteDone{c, 0, true})
			}
			harness.advance(firstLineTimeout + lingerTimeout + 0.1)
			if harness.connectionState[c] != "closed" {
				t.Errorf("its write failed %v: its side is %q", failed, harness.connectionState[c])
			}
			harness.checkReleased()
		})
	}
}

// Hundreds that connect and say nothing take no descriptor from those who say what they want.
func TestIdleClientsLeaveDescriptorsToOthers(t *testing.T) {
	harness := newHarness(t, "proxy", 3, 240)
	for range 10 {
		for range 300 {
			harness.now += 1e-3
			harness.accept()
		}
		harness.establish(chatRequest)
	}
	if harness.node.connections.descriptors > 240-descriptorReserve {
		t.Fatalf("%d descriptors", harness.node.connections.descriptors)
	}
}

// Descriptors are counted before they run out: who comes too late is told so, and nobody else suffers.
func TestDescriptorsNeverExceedTheLimit(t *testing.T) {
	harness := newHarness(t, "proxy", 3, 60)
	var told []Conn
	up := 0
	for i := range 60 {
		before := len(harness.flowDials)
		c := harness.openFlow(fmt.Sprintf("%x c=chat,t=acme,d=2000", i+1))
		if len(harness.flowDials) > before {
			harness.receive(harness.completeLastDial(), "UP 77\r\n", Open)
			up++
			continue
		}
		told = append(told, c)
		if !strings.HasPrefix(harness.written[c], "BUSY") {
			t.Fatalf("told %q", harness.written[c])
		}
		if harness.node.connections.byID[c] != nil {
			harness.receive(c, "", Ended)
		}
		if harness.node.connections.descriptors > 60 {
			t.Fatalf("%d descriptors", harness.node.connections.descriptors)
		}
	}
	if up < 14 || len(told) == 0 || !slices.Contains(harness.endReasons(), NoDescriptors) {
		t.Fatalf("%d established, %d turned away: %v", up, len(told), harness.endReasons())
	}
	for range 300 { // no room for all of them, whatever they want
		harness.now += 1e-4
		harness.accept()
		if harness.node.connections.descriptors > 60 {
			t.Fatalf("%d descriptors", harness.node.connections.descriptors)
		}
	}
	for c := range harness.node.connections.byID {
		if harness.pendingReads[c] != nil && harness.node.connections.byID[c] != nil {
			harness.receive(c, "", Broken)
		}
	}
	harness.checkReleased()
}
