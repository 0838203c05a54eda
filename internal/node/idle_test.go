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
	w := newHarness(t, "proxy", 3, 60)
	var idle []Conn
	for range 60 {
		w.now += 0.11
		idle = append(idle, w.accept())
	}
	ended := 0
	for _, c := range idle {
		if w.connectionState[c] == "closed" {
			ended++
			if w.written[c] != "BUSY\r\n" {
				t.Errorf("made room for others, told %q", w.written[c])
			}
		}
	}
	if ended < 30 {
		t.Errorf("%d of 60 made room", ended)
	}
	w = newHarness(t, "pass", 3, 60)
	w.establish(chatRequest) // it is held, so the node stays
	w.apply(Shutdown{})
	w.advance(w.node.drainTime() - finalAnswerTime - 0.5)
	c := w.accept()
	w.advance(0.6)
	if w.written[c] != "BUSY\r\n" || w.connectionState[c] != "shut" {
		t.Errorf("the node is about to go: told %q, and its side is %q", w.written[c], w.connectionState[c])
	}
}

// Who does not take what it is told, or broke off meanwhile, is ended all the same. Guards against a connection that is
// kept for a word which can never go out.
func TestBlockedClientIsClosedInTime(t *testing.T) {
	for _, failed := range []bool{false, true} {
		w := newHarness(t, "proxy", 3, 60)
		c := w.accept()
		w.blocked[c] = true
		w.receive(c, "PING\r\n", Open)
		if failed {
			w.advance(1.95)
			w.apply(WriteDone{c, 0, true})
		}
		if w.advance(firstLineTimeout + lingerTimeout + 0.1); w.connectionState[c] != "closed" {
			t.Errorf("its write failed %v: its side is %q", failed, w.connectionState[c])
		}
		w.checkReleased()
	}
}

// Hundreds that connect and say nothing take no descriptor from those who say what they want.
func TestIdleClientsLeaveDescriptorsToOthers(t *testing.T) {
	w := newHarness(t, "proxy", 3, 240)
	for range 10 {
		for range 300 {
			w.now += 1e-3
			w.accept()
		}
		w.establish(chatRequest)
	}
	if w.node.connections.descriptors > 240-descriptorReserve {
		t.Fatalf("%d descriptors", w.node.connections.descriptors)
	}
}

// Descriptors are counted before they run out: who comes too late is told so, and nobody else suffers.
func TestDescriptorsNeverExceedTheLimit(t *testing.T) {
	w := newHarness(t, "proxy", 3, 60)
	var told []Conn
	up := 0
	for i := range 60 {
		before := len(w.flowDials)
		c := w.openFlow(fmt.Sprintf("%x c=chat,t=acme,d=2000", i+1))
		if len(w.flowDials) > before {
			w.receive(w.completeLastDial(), "UP 77\r\n", Open)
			up++
			continue
		}
		told = append(told, c)
		if !strings.HasPrefix(w.written[c], "BUSY") {
			t.Fatalf("told %q", w.written[c])
		}
		if w.node.connections.byID[c] != nil {
			w.receive(c, "", Ended)
		}
		if w.node.connections.descriptors > 60 {
			t.Fatalf("%d descriptors", w.node.connections.descriptors)
		}
	}
	if up < 14 || len(told) == 0 || !slices.Contains(w.endReasons(), NoDescriptors) {
		t.Fatalf("%d established, %d turned away: %v", up, len(told), w.endReasons())
	}
	for range 300 { // no room for all of them, whatever they want
		w.now += 1e-4
		if w.accept(); w.node.connections.descriptors > 60 {
			t.Fatalf("%d descriptors", w.node.connections.descriptors)
		}
	}
	for c := range w.node.connections.byID {
		if w.pendingReads[c] != nil && w.node.connections.byID[c] != nil {
			w.receive(c, "", Broken)
		}
	}
	w.checkReleased()
}
