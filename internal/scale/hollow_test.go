package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/goleak"

	"gorseledge/internal/fleet"
	"gorseledge/internal/membership"
)

const patience = time.Minute // for what takes a moment on an idle machine

// hollowLab is a hollow process within the test.
type hollowLab struct {
	t       *testing.T
	lines   *json.Encoder
	answers *json.Decoder
	plan    *Plan
	script  *Script
}

// openHollow serves hollow nodes within the test until it ends; then nothing of them is left.
func openHollow(t *testing.T, nodes int) *hollowLab {
	t.Helper()
	leaks := goleak.IgnoreCurrent()
	s, err := Read("script", fmt.Appendf(nil, "sizes = [%d]\nreal = 2\nperiod_s = 0.05\nrack = 2\n", nodes))
	if err != nil {
		t.Fatal(err)
	}
	p, err := newPlan(s, nodes, 1)
	if err != nil {
		t.Fatal(err)
	}
	in, lines := io.Pipe()
	answers, out := io.Pipe()
	done := make(chan error, 1)
	go func() { done <- ServeHollow(t.Context(), in, out) }()
	t.Cleanup(func() {
		lines.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
		p.close()
		goleak.VerifyNone(t, leaks)
	})
	lab := &hollowLab{t, json.NewEncoder(lines), json.NewDecoder(answers), p, s}
	regions := map[string]int{}
	for i := range p.Nodes {
		p.Nodes[i].Real = false
		regions[p.Nodes[i].Address] = p.Nodes[i].Region
	}
	lab.ask(request{Kind: requestPlan, Regions: regions})
	return lab
}

func (l *hollowLab) ask(r request) reply {
	l.t.Helper()
	if err := l.lines.Encode(r); err != nil {
		l.t.Fatal(err)
	}
	var a reply
	if err := l.answers.Decode(&a); err != nil {
		l.t.Fatal(err)
	}
	return a
}

func (l *hollowLab) start(plans ...NodePlan) []memberFacts {
	l.t.Helper()
	r := request{Kind: requestStart}
	for _, n := range plans {
		r.Nodes = append(r.Nodes, hollowNode{Name: n.Name, Region: n.Region, Seed: 1, Settled: len(l.plan.Nodes),
			Fleet: l.plan.file(l.script, n)})
	}
	a := l.ask(r)
	if a.Error != "" || len(a.Members) != len(plans) {
		l.t.Fatalf("%+v", a)
	}
	return a.Members
}

// eventually waits until a report shows what is wanted.
func (l *hollowLab) eventually(what string, holds func(*report) bool) *report {
	l.t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) {
		r := l.ask(request{Kind: requestReport}).Report
		if holds(r) {
			return r
		}
		if time.Now().After(end) {
			l.t.Fatalf("not within %v: %s; %+v", patience, what, r)
		}
	}
}

func (l *hollowLab) knowAll(nodes int) {
	l.t.Helper()
	l.eventually("all know all", func(r *report) bool {
		for _, s := range r.Living {
			if s.Least != nodes || s.Most != nodes {
				return false
			}
		}
		return r.Nodes == nodes
	})
}

// Hollow nodes find one another on real sockets; one that is killed becomes known as gone to all others, and as back
// when it is started again; all hold exactly those that run for living.
func TestHollowNodesKnowWhoIsGoneAndBack(t *testing.T) {
	const nodes = 10
	l := openHollow(t, nodes)
	l.start(l.plan.Nodes...)
	l.knowAll(nodes)
	victim := l.plan.Nodes[nodes-1]
	l.ask(request{Kind: requestWatch, Names: []string{victim.Name}})
	l.ask(request{Kind: requestKill, Names: []string{victim.Name}})
	k := known{gone: newTimes(), back: newTimes()}
	r := l.eventually("all know that it is gone", func(r *report) bool {
		k.gone.Reset()
		k.back.Reset()
		k.see(r.Seen)
		return k.gone.TotalCount() == nodes-1
	})
	if r.Nodes != nodes-1 || k.back.TotalCount() != 0 || k.gone.Min() < 50 {
		t.Errorf("%d nodes run, %d know it to be back, the first knew after %d ms", r.Nodes, k.back.TotalCount(), k.gone.Min())
	}
	expected := expectation{Region: victim.Region}
	for _, n := range l.plan.Nodes[:nodes-1] {
		expected.Names = append(expected.Names, n.Name)
	}
	var all []expectation
	for region := range l.script.ZonesOf {
		expected.Region = region
		all = append(all, expected)
	}
	if a := l.ask(request{Kind: requestCheck, Expected: all}); a.Wrong != 0 {
		t.Errorf("%d wrong, first: %s", a.Wrong, a.First)
	}
	all[0].Names = append(all[0].Names[:len(all[0].Names):len(all[0].Names)], victim.Name)
	if a := l.ask(request{Kind: requestCheck, Expected: all}); a.Wrong == 0 || a.First == "" {
		t.Error("a member that does not run is not missed")
	}
	l.ask(request{Kind: requestReturn, Members: l.start(victim)})
	l.eventually("all know that it is back", func(r *report) bool {
		k.gone.Reset()
		k.back.Reset()
		k.see(r.Seen)
		return k.back.TotalCount() == nodes-1
	})
	l.knowAll(nodes)
}

// A region that is cut off hears nobody else, and nobody else hears it, until it is mended.
func TestHollowRegionIsCutOff(t *testing.T) {
	const nodes = 8 // one in each zone: 3, 3 and 2 in the regions
	l := openHollow(t, nodes)
	l.start(l.plan.Nodes...)
	l.knowAll(nodes)
	l.ask(request{Kind: requestCut, CutRegions: []int{2}})
	l.eventually("both sides hold the other for dead", func(r *report) bool {
		return r.Living[2] == spread{2, 2} && r.Living[0] == spread{6, 6} && r.Living[1] == spread{6, 6}
	})
	l.ask(request{Kind: requestCut})
	l.knowAll(nodes)
}

// A node that leaves says so: the others hold it for left, not for dead, within a few periods.
func TestHollowNodeLeaves(t *testing.T) {
	const nodes = 5
	l := openHollow(t, nodes)
	l.start(l.plan.Nodes...)
	l.knowAll(nodes)
	l.ask(request{Kind: requestLeave, Names: []string{l.plan.Nodes[0].Name}})
	l.knowAll(nodes - 1)
}

// A request that cannot be carried out is answered with why, and the process goes on.
func TestHollowProcessAnswersMistakes(t *testing.T) {
	l := openHollow(t, 4)
	bad := l.plan.file(l.script, l.plan.Nodes[0])
	bad.Key = "00"
	for _, r := range []request{{Kind: "dance"}, {Kind: requestKill, Names: []string{"nobody"}},
		{Kind: requestPlan, Regions: map[string]int{"here": 1}}, {Kind: requestStart, Nodes: []hollowNode{{Name: "n0", Fleet: bad}}},
		{Kind: requestStart, Nodes: []hollowNode{{Name: "n0", Fleet: fleet.Config{}}}}} {
		if a := l.ask(r); a.Error == "" {
			t.Errorf("%+v: no error", r)
		}
	}
	l.start(l.plan.Nodes[0])
	if a := l.ask(request{Kind: requestReport}); a.Report == nil || a.Report.Nodes != 1 {
		t.Errorf("%+v", a)
	}
}

// A watch counts each pair once, and none of the members that are watched themselves.
func TestWatchCountsPairsOnce(t *testing.T) {
	w := newWatch()
	w.reset([]string{"a", "b"})
	w.see("n", "a", membership.Suspect)
	w.see("n", "a", membership.Dead)
	w.see("n", "a", membership.Left)
	w.see("b", "a", membership.Dead)
	w.see("n", "c", membership.Dead)
	starts := map[string]uint64{"a": 5}
	knows := membership.Member{State: membership.Alive, Start: 4}
	member := func(string) (membership.Member, bool) { return knows, true }
	w.expect(starts)
	w.look("n", member) // the start before
	counts := func() [3]int64 {
		k := known{gone: newTimes(), back: newTimes()}
		k.see(w.seen())
		return [3]int64{k.gone.TotalCount(), k.back.TotalCount(), int64(k.suspicions)}
	}
	if got := counts(); got != [3]int64{1, 0, 1} {
		t.Errorf("gone, back, suspicions: %v", got)
	}
	knows.Start = 5
	w.look("n", member)
	w.look("n", member)
	w.look("b", member)
	if got := counts(); got != [3]int64{1, 1, 1} {
		t.Errorf("gone, back, suspicions: %v", got)
	}
}

// A node tells of a change under its own lock, and is asked under that lock what it knows: the watch holds none of its own
// meanwhile, or the two wait for each other for good.
func TestWatchHoldsNoLockWhileItAsks(t *testing.T) {
	w := newWatch()
	w.reset([]string{"a"})
	w.expect(map[string]uint64{"a": 1})
	done := make(chan bool)
	go func() {
		defer close(done)
		w.look("n", func(name string) (membership.Member, bool) {
			w.see("n", name, membership.Dead)
			return membership.Member{Start: 1}, true
		})
	}()
	select {
	case <-done:
	case <-time.After(patience):
		t.Fatal("the watch and the node wait for each other")
	}
	if n := hdrhistogram.Import(w.seen().Back).TotalCount(); n != 1 {
		t.Errorf("%d know", n)
	}
}

// A hollow process ends with its context, although nobody asks it to.
func TestHollowEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	in, lines := io.Pipe()
	defer lines.Close()
	done := make(chan error, 1)
	go func() { done <- ServeHollow(ctx, in, io.Discard) }()
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
