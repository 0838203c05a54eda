package membership

import (
	"fmt"
	"math"
	"testing"

	"gorseledge/internal/membership/wire"
)

const (
	testStart     = 100.0 // seconds
	testNodeStart = 1000  // start of the process of the node under test, Unix microseconds
	testPeerStart = 2000  // start of the processes of all other members, Unix microseconds
)

// newTestMembers returns the state of node-0, which knows the given number of other members: node-1, node-2 and so on.
func newTestMembers(t *testing.T, others int) *Members {
	t.Helper()
	m := New(testStart, Config{
		Self:            Member{Name: "node-0", Start: testNodeStart, Address: "127.0.0.1:7000", Ready: true},
		Seed:            1,
		Period:          1,
		ProbeTimeout:    0.2,
		IndirectProbes:  3,
		MaxMessageBytes: 208,
	})
	for i := range others {
		m.Receive(testStart, stateOf("node-1", peerUpdate(i+1, 0, Alive)))
	}
	if m.LiveCount() != others+1 {
		t.Fatalf("%d live members, want %d", m.LiveCount(), others+1)
	}
	return m
}

// peerUpdate returns an update about the member node-i.
func peerUpdate(i int, incarnation uint32, state State) *wire.Update {
	return &wire.Update{
		Name:        fmt.Sprintf("node-%d", i),
		Start:       testPeerStart,
		Incarnation: incarnation,
		State:       uint32(state),
		Address:     fmt.Sprintf("127.0.0.%d:7000", i+1),
	}
}

// stateOf returns a message with which a member sends updates.
func stateOf(from string, updates ...*wire.Update) *wire.Message {
	return &wire.Message{Kind: wire.Message_STATE, From: from, Start: testPeerStart, Updates: updates}
}

// checkState checks that m has a member in a state.
func checkState(t *testing.T, m *Members, name string, want State) {
	t.Helper()
	got, known := m.Member(name)
	if !known {
		t.Fatalf("%s is not known", name)
	}
	if got.State != want {
		t.Errorf("%s is %v, want %v", name, got.State, want)
	}
}

// changes returns the changes of one member's state among effects.
func changes(effects []Effect, name string) []Changed {
	var found []Changed
	for _, e := range effects {
		if c, ok := e.(Changed); ok && c.Name == name {
			found = append(found, c)
		}
	}
	return found
}

// tickUntil runs the ticks of m up to the time end and returns the time at which the target was declared dead, or +Inf if
// it was not. The members named in running answer pings with an ack and requests for indirect probes with a nack; the
// others do not answer.
func tickUntil(m *Members, end float64, target string, running ...string) float64 {
	for m.NextTick() < end {
		now := m.NextTick()
		var answers []*wire.Message
		for _, e := range m.Tick(now) {
			switch e := e.(type) {
			case Send:
				answers = append(answers, answersTo(e, running)...)
			case Changed:
				if e.Name == target && e.State == Dead {
					return now
				}
			}
		}
		for _, answer := range answers {
			m.Receive(now, answer)
		}
	}
	return math.Inf(1)
}

// answersTo returns the answers of the running members to a message.
func answersTo(sent Send, running []string) []*wire.Message {
	var answers []*wire.Message
	for _, name := range running {
		var number int
		fmt.Sscanf(name, "node-%d", &number)
		if sent.To != peerUpdate(number, 0, Alive).Address {
			continue
		}
		switch sent.Message.Kind {
		case wire.Message_PING:
			answers = append(answers, &wire.Message{Kind: wire.Message_ACK, From: name, Start: testPeerStart, Seq: sent.Message.Seq})
		case wire.Message_PING_REQ:
			answers = append(answers, &wire.Message{Kind: wire.Message_NACK, From: name, Start: testPeerStart, Seq: sent.Message.Seq,
				About: sent.Message.About})
		}
	}
	return answers
}

// Guards against a member that is declared dead or left on another member's report alone, without time to refute it.
func TestReportOfSuspicionMakesMemberSuspect(t *testing.T) {
	for _, state := range []State{Suspect, Dead, Left} {
		t.Run(state.String(), func(t *testing.T) {
			m := newTestMembers(t, 3)
			effects := m.Receive(testStart, stateOf("node-1", peerUpdate(2, 0, state)))
			checkState(t, m, "node-2", Suspect)
			if found := changes(effects, "node-2"); len(found) != 1 || found[0].Previous != Alive {
				t.Errorf("changes %+v, want one from alive", found)
			}
			if m.LiveCount() != 4 {
				t.Errorf("%d live members, want 4: a suspect still counts", m.LiveCount())
			}
		})
	}
}

// Guards against a stale update that overwrites newer state: updates arrive in any order, and a member that restarts
// begins with incarnation 0 again.
func TestUpdatesAreOrderedByStartThenIncarnation(t *testing.T) {
	for _, c := range []struct {
		name        string
		start       uint64
		incarnation uint32
		state       State
		want        State
	}{
		{"older incarnation is ignored", testPeerStart, 4, Suspect, Alive},
		{"same incarnation suspects", testPeerStart, 5, Suspect, Suspect},
		{"newer incarnation suspects", testPeerStart, 6, Suspect, Suspect},
		{"older start with newer incarnation is ignored", testPeerStart - 1, 9, Suspect, Alive},
		{"later start with older incarnation suspects", testPeerStart + 1, 0, Suspect, Suspect},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newTestMembers(t, 3)
			m.Receive(testStart, stateOf("node-1", peerUpdate(2, 5, Alive)))
			update := peerUpdate(2, c.incarnation, c.state)
			update.Start = c.start
			m.Receive(testStart, stateOf("node-1", update))
			checkState(t, m, "node-2", c.want)
		})
	}
}

// Guards against a suspicion that an old update cancels: only the member itself raises its incarnation, so only a newer
// incarnation shows that it has refuted the suspicion.
func TestSuspectIsAliveAgainOnlyWithNewerIncarnation(t *testing.T) {
	for _, c := range []struct {
		name        string
		incarnation uint32
		want        State
	}{
		{"same incarnation", 5, Suspect},
		{"newer incarnation", 6, Alive},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newTestMembers(t, 3)
			m.Receive(testStart, stateOf("node-1", peerUpdate(2, 5, Suspect)))
			m.Receive(testStart, stateOf("node-1", peerUpdate(2, c.incarnation, Alive)))
			checkState(t, m, "node-2", c.want)
		})
	}
}

// Guards against the false death of a running node that learns that others suspect it: it must announce a newer
// incarnation than the reported one.
func TestNodeRefutesSuspicionOfItself(t *testing.T) {
	for _, c := range []struct {
		name        string
		incarnation uint32
		state       State
		want        uint32 // incarnation afterwards
	}{
		{"suspect", 0, Suspect, 1},
		{"dead", 0, Dead, 1},
		{"suspect under a newer incarnation", 7, Suspect, 8},
		{"alive", 0, Alive, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newTestMembers(t, 3)
			update := &wire.Update{Name: "node-0", Start: testNodeStart, Incarnation: c.incarnation, State: uint32(c.state),
				Address: "127.0.0.1:7000"}
			m.Receive(testStart, stateOf("node-1", update))
			if self := m.Self(); self.Incarnation != c.want || self.State != Alive {
				t.Errorf("incarnation %d, %v, want %d, alive", self.Incarnation, self.State, c.want)
			}
		})
	}
}

// Guards against an overflow of the incarnation: after a report with the highest incarnation, a node that wrapped to 0
// could never refute a suspicion again.
func TestHighestIncarnationIsFollowedByLaterStart(t *testing.T) {
	m := newTestMembers(t, 3)
	m.Receive(testStart, stateOf("node-1", &wire.Update{Name: "node-0", Start: testNodeStart, Incarnation: math.MaxUint32,
		State: uint32(Dead), Address: "127.0.0.1:7000"}))
	if self := m.Self(); self.Start != testNodeStart+1 || self.Incarnation != 0 {
		t.Errorf("start %d, incarnation %d, want %d and 0", self.Start, self.Incarnation, testNodeStart+1)
	}
}

// Guards against two processes that use the same name at different addresses, and against a node that leaves because of a
// report about its own earlier process, whose clock was ahead.
func TestLaterProcessAtOtherAddressReplacesNode(t *testing.T) {
	for _, c := range []struct {
		name     string
		address  string
		replaced bool
	}{
		{"another address", "127.0.9.9:7000", true},
		{"the same address", "127.0.0.1:7000", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newTestMembers(t, 3)
			effects := m.Receive(testStart, stateOf("node-1", &wire.Update{Name: "node-0", Start: testNodeStart + 5, Address: c.address}))
			replaced := false
			for _, e := range effects {
				_, ok := e.(Replaced)
				replaced = replaced || ok
			}
			if replaced != c.replaced {
				t.Errorf("replaced %v, want %v", replaced, c.replaced)
			}
			if !c.replaced && m.Self().Start <= testNodeStart {
				t.Errorf("start %d, want more than %d, the start before the report", m.Self().Start, uint64(testNodeStart))
			}
		})
	}
}

// Guards against suspicions that confirmations do not shorten, or shorten too much: the duration must decrease from
// suspicionSpread times the shortest duration to the shortest one with maxConfirmations confirmations.
func TestConfirmationsShortenSuspicion(t *testing.T) {
	m := newTestMembers(t, 9) // ten live members: the shortest suspicion is suspicionPeriods periods
	previous := math.Inf(1)
	for confirmations, reporter := range []string{"node-1", "node-3", "node-4", "node-5", "node-6"} {
		update := peerUpdate(2, 0, Suspect)
		update.By = reporter
		m.Receive(testStart, stateOf("node-1", update))
		duration := m.find("node-2").suspicion.end() - testStart
		switch {
		case confirmations == 0 && math.Abs(duration-suspicionSpread*suspicionPeriods) > 1e-9:
			t.Errorf("one report: %g s, want %g s", duration, suspicionSpread*suspicionPeriods)
		case confirmations >= maxConfirmations && math.Abs(duration-suspicionPeriods) > 1e-9:
			t.Errorf("%d confirmations: %g s, want %g s", confirmations, duration, suspicionPeriods)
		case confirmations > 0 && confirmations <= maxConfirmations && duration >= previous:
			t.Errorf("%d confirmations: %g s, not shorter than %g s", confirmations, duration, previous)
		}
		previous = duration
	}
}

// Guards against a single member that shortens a suspicion by reporting it again and again.
func TestRepeatedReportConfirmsOnce(t *testing.T) {
	m := newTestMembers(t, 9)
	m.Receive(testStart, stateOf("node-1", peerUpdate(2, 0, Suspect)))
	end := m.find("node-2").suspicion.end()
	m.Receive(testStart, stateOf("node-1", peerUpdate(2, 0, Suspect)))
	if again := m.find("node-2").suspicion.end(); again != end {
		t.Errorf("the suspicion ends at %g, before the repeated report at %g", again, end)
	}
}

// Guards against a dead member that stays a suspect, is declared dead before its shortest suspicion has passed, or comes
// back to life through an update with the same incarnation.
func TestUnrefutedSuspectIsDeclaredDead(t *testing.T) {
	m := newTestMembers(t, 3)
	m.Receive(testStart, stateOf("node-1", peerUpdate(2, 0, Suspect)))
	earliest := m.find("node-2").suspicion.minDuration
	diedAt := tickUntil(m, testStart+200, "node-2", "node-1", "node-3")
	if math.IsInf(diedAt, 1) {
		t.Fatal("the suspect was not declared dead")
	}
	if diedAt < testStart+earliest {
		t.Errorf("declared dead after %g s, the shortest suspicion is %g s", diedAt-testStart, earliest)
	}
	if m.LiveCount() != 3 {
		t.Errorf("%d live members, want 3", m.LiveCount())
	}
	m.Receive(diedAt, stateOf("node-1", peerUpdate(2, 0, Alive)))
	checkState(t, m, "node-2", Dead)
	m.Receive(diedAt, stateOf("node-1", peerUpdate(2, 1, Alive)))
	checkState(t, m, "node-2", Alive)
}

// Guards against the false death of a member that answers probes, after a faulty or isolated member reported its death.
func TestAnsweringMemberSurvivesReportOfItsDeath(t *testing.T) {
	m := newTestMembers(t, 3)
	m.Receive(testStart, stateOf("node-1", peerUpdate(2, 0, Dead)))
	if at := tickUntil(m, testStart+60, "node-2", "node-1", "node-2", "node-3"); !math.IsInf(at, 1) {
		t.Errorf("a member that answers was declared dead after %g s", at-testStart)
	}
}

// Guards against a suspicion of a member that announced itself that it leaves: it counts as left at once.
func TestMemberThatAnnouncesItsLeaveHasLeft(t *testing.T) {
	m := newTestMembers(t, 3)
	m.Receive(testStart, stateOf("node-2", peerUpdate(2, 1, Left)))
	checkState(t, m, "node-2", Left)
	if m.LiveCount() != 3 {
		t.Errorf("%d live members, want 3", m.LiveCount())
	}
}

// Guards against false deaths at a node that receives no messages: it suspects the others, but must take at least five
// times as long to declare them dead as a node that is not isolated.
func TestIsolatedNodeDelaysDeaths(t *testing.T) {
	connected := newTestMembers(t, 3)
	connected.Receive(testStart, stateOf("node-1", peerUpdate(2, 0, Suspect)))
	fast := tickUntil(connected, testStart+1000, "node-2", "node-1", "node-3")
	isolated := newTestMembers(t, 3)
	isolated.Receive(testStart, stateOf("node-1", peerUpdate(2, 0, Suspect)))
	slow := tickUntil(isolated, testStart+1000, "node-2")
	if slow < testStart+5*(fast-testStart) {
		t.Errorf("isolated node declares the death after %g s, connected node after %g s; want at least 5 times as long",
			slow-testStart, fast-testStart)
	}
}

// Guards against false deaths after a pause of this process: the pause must not count towards the end of suspicions,
// because the node could not receive refutations during it.
func TestPauseOfNodeExtendsSuspicions(t *testing.T) {
	m := newTestMembers(t, 3)
	m.Receive(testStart, stateOf("node-1", peerUpdate(2, 0, Suspect)))
	before := m.find("node-2").suspicion.end()
	late := testStart + 500 - m.NextTick()
	m.Tick(testStart + 500)
	checkState(t, m, "node-2", Suspect)
	if end := m.find("node-2").suspicion.end(); math.Abs(end-before-late) > 1e-6 {
		t.Errorf("the suspicion ends %g s later, want %g s", end-before, late)
	}
	if m.HealthScore() != 1 {
		t.Errorf("health score %d, want 1", m.HealthScore())
	}
}

// Guards against a health score that leaves the range from 0 to maxHealthScore, and with it against timeouts that are zero
// or grow without limit.
func TestHealthScoreStaysInItsRange(t *testing.T) {
	m := newTestMembers(t, 1)
	for _, c := range []struct{ change, want int }{{-1, 0}, {3, 3}, {20, maxHealthScore}, {-20, 0}} {
		m.adjustHealth(c.change)
		if m.HealthScore() != c.want {
			t.Errorf("after %+d: %d, want %d", c.change, m.HealthScore(), c.want)
		}
	}
}

// Guards against updates that could not be gossiped: one without a name, or with a name or fact over 64 bytes, must not
// become a member.
func TestUpdateWithOverlongFactIsIgnored(t *testing.T) {
	long := fmt.Sprintf("%065d", 0)
	for name, update := range map[string]*wire.Update{
		"no name": {Address: "127.0.0.9:7000"},
		"name":    {Name: long},
		"address": {Name: "node-9", Address: long},
		"zone":    {Name: "node-9", Zone: long},
		"build":   {Name: "node-9", Build: long},
	} {
		t.Run(name, func(t *testing.T) {
			m := newTestMembers(t, 2)
			m.Receive(testStart, stateOf("node-1", update))
			if len(m.All()) != 3 {
				t.Errorf("%d members, want 3", len(m.All()))
			}
		})
	}
}
