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

const testTimeout = time.Minute // for operations that take a moment on an idle machine

// testProcess is a hollow process within the test.
type testProcess struct {
	t        *testing.T
	requests *json.Encoder
	replies  *json.Decoder
	plan     *Plan
	script   *Script
}

// openHollow serves hollow nodes within the test. When the test ends, it checks that none of their goroutines is left.
func openHollow(t *testing.T, nodes int) *testProcess {
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
	in, requests := io.Pipe()
	replies, out := io.Pipe()
	done := make(chan error, 1)
	go func() { done <- ServeHollow(t.Context(), in, out) }()
	t.Cleanup(func() {
		requests.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
		p.close()
		goleak.VerifyNone(t, leaks)
	})
	process := &testProcess{t, json.NewEncoder(requests), json.NewDecoder(replies), p, s}
	regions := map[string]int{}
	for i := range p.Nodes {
		p.Nodes[i].Real = false
		regions[p.Nodes[i].Address] = p.Nodes[i].Region
	}
	process.request(request{Kind: requestSetRegions, Regions: regions})
	return process
}

func (p *testProcess) request(r request) reply {
	p.t.Helper()
	if err := p.requests.Encode(r); err != nil {
		p.t.Fatal(err)
	}
	var a reply
	if err := p.replies.Decode(&a); err != nil {
		p.t.Fatal(err)
	}
	return a
}

func (p *testProcess) start(plans ...NodePlan) []memberRecord {
	p.t.Helper()
	r := request{Kind: requestStart}
	for _, n := range plans {
		r.Nodes = append(r.Nodes, hollowNode{Name: n.Name, Region: n.Region, Seed: 1, ConfiguredNodes: len(p.plan.Nodes),
			Fleet: p.plan.fleetFile(p.script, n)})
	}
	a := p.request(r)
	if a.Error != "" || len(a.Members) != len(plans) {
		p.t.Fatalf("%+v", a)
	}
	return a.Members
}

// eventually waits until holds returns true for a report of the process, and returns that report.
func (p *testProcess) eventually(what string, holds func(*report) bool) *report {
	p.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		r := p.request(request{Kind: requestReport}).Report
		if holds(r) {
			return r
		}
		if time.Now().After(end) {
			p.t.Fatalf("not within %v: %s; %+v", testTimeout, what, r)
		}
	}
}

func (p *testProcess) awaitConvergence(nodes int) {
	p.t.Helper()
	p.eventually("all nodes know each other", func(r *report) bool {
		for _, s := range r.LiveCounts {
			if s.Min != nodes || s.Max != nodes {
				return false
			}
		}
		return r.Nodes == nodes
	})
}

// Guards against hollow nodes whose membership does not work on real sockets, and against a watch that misses pairs: the
// nodes join, all of them detect a killed node and then its return, and their views hold exactly the running nodes as live.
func TestHollowNodesDetectDeathAndReturn(t *testing.T) {
	const nodes = 10
	process := openHollow(t, nodes)
	process.start(process.plan.Nodes...)
	process.awaitConvergence(nodes)
	victim := process.plan.Nodes[nodes-1]
	process.request(request{Kind: requestWatchDepartures, Names: []string{victim.Name}})
	process.request(request{Kind: requestKill, Names: []string{victim.Name}})
	k := hollowReport{departed: newDelayHistogram(), returned: newDelayHistogram()}
	r := process.eventually("all nodes know that the killed node is gone", func(r *report) bool {
		k.departed.Reset()
		k.returned.Reset()
		k.addWatch(r.Detections)
		return k.departed.TotalCount() == nodes-1
	})
	if r.Nodes != nodes-1 || k.returned.TotalCount() != 0 || k.departed.Min() < 50 {
		t.Errorf("%d nodes run, %d saw a return, the first death was seen after %d ms", r.Nodes,
			k.returned.TotalCount(), k.departed.Min())
	}
	expected := expectation{Region: victim.Region}
	for _, n := range process.plan.Nodes[:nodes-1] {
		expected.Names = append(expected.Names, n.Name)
	}
	var all []expectation
	for region := range process.script.ZonesPerRegion {
		expected.Region = region
		all = append(all, expected)
	}
	if a := process.request(request{Kind: requestCheck, Expected: all}); a.Disagreements != 0 {
		t.Errorf("%d disagreements, first: %s", a.Disagreements, a.FirstDisagreement)
	}
	all[0].Names = append(all[0].Names[:len(all[0].Names):len(all[0].Names)], victim.Name)
	if a := process.request(request{Kind: requestCheck, Expected: all}); a.Disagreements == 0 || a.FirstDisagreement == "" {
		t.Error("a dead member that is expected to be live is not reported")
	}
	process.request(request{Kind: requestWatchReturns, Members: process.start(victim)})
	process.eventually("all nodes know that the restarted node is back", func(r *report) bool {
		k.departed.Reset()
		k.returned.Reset()
		k.addWatch(r.Detections)
		return k.returned.TotalCount() == nodes-1
	})
	process.awaitConvergence(nodes)
}

// Guards against a region cut that lets messages pass in one direction, or that cannot be ended: both sides have to see the
// other as dead during the cut, and all nodes as live after it.
func TestHollowRegionIsCutOff(t *testing.T) {
	const nodes = 8 // one node in each zone: 3, 3 and 2 in the regions
	process := openHollow(t, nodes)
	process.start(process.plan.Nodes...)
	process.awaitConvergence(nodes)
	process.request(request{Kind: requestCut, CutRegions: []int{2}})
	process.eventually("both sides see the other as dead", func(r *report) bool {
		return r.LiveCounts[2] == countRange{2, 2} && r.LiveCounts[0] == countRange{6, 6} && r.LiveCounts[1] == countRange{6, 6}
	})
	process.request(request{Kind: requestCut})
	process.awaitConvergence(nodes)
}

// Guards against a leave request that stops a node without its leave message: the others drop it from their live members.
func TestHollowNodeLeaves(t *testing.T) {
	const nodes = 5
	process := openHollow(t, nodes)
	process.start(process.plan.Nodes...)
	process.awaitConvergence(nodes)
	process.request(request{Kind: requestLeave, Names: []string{process.plan.Nodes[0].Name}})
	process.awaitConvergence(nodes - 1)
}

// Guards against an invalid request that returns no error or ends the process: the reply holds an error, and the
// next request is served.
func TestHollowProcessReportsInvalidRequests(t *testing.T) {
	process := openHollow(t, 4)
	bad := process.plan.fleetFile(process.script, process.plan.Nodes[0])
	bad.Key = "00"
	for _, r := range []request{{Kind: "unknown"}, {Kind: requestKill, Names: []string{"n99"}},
		{Kind: requestSetRegions, Regions: map[string]int{"not-an-address": 1}},
		{Kind: requestStart, Nodes: []hollowNode{{Name: "n0", Fleet: bad}}},
		{Kind: requestStart, Nodes: []hollowNode{{Name: "n0", Fleet: fleet.Config{}}}}} {
		if a := process.request(r); a.Error == "" {
			t.Errorf("%+v: no error", r)
		}
	}
	process.start(process.plan.Nodes[0])
	if a := process.request(request{Kind: requestReport}); a.Report == nil || a.Report.Nodes != 1 {
		t.Errorf("%+v", a)
	}
}

// Guards against detection times that count a pair of observer and member twice, or that count a watched member as observer.
func TestWatchCountsPairsOnce(t *testing.T) {
	w := newWatch()
	w.reset([]string{"a", "b"})
	w.observe("n", "a", membership.Suspect)
	w.observe("n", "a", membership.Dead)
	w.observe("n", "a", membership.Left)
	w.observe("b", "a", membership.Dead)
	w.observe("n", "c", membership.Dead)
	starts := map[string]uint64{"a": 5}
	knows := membership.Member{State: membership.Alive, Start: 4}
	member := func(string) (membership.Member, bool) { return knows, true }
	w.expect(starts)
	w.checkReturned("n", member) // the member before its restart
	counts := func() [3]int64 {
		k := hollowReport{departed: newDelayHistogram(), returned: newDelayHistogram()}
		k.addWatch(w.report())
		return [3]int64{k.departed.TotalCount(), k.returned.TotalCount(), int64(k.suspicions)}
	}
	if got := counts(); got != [3]int64{1, 0, 1} {
		t.Errorf("departed, returned, suspicions: %v", got)
	}
	knows.Start = 5
	w.checkReturned("n", member)
	w.checkReturned("n", member)
	w.checkReturned("b", member)
	if got := counts(); got != [3]int64{1, 1, 1} {
		t.Errorf("departed, returned, suspicions: %v", got)
	}
}

// Guards against a deadlock: a node calls observe while it holds its own lock, and a lookup in its view takes that lock as
// well. The watch must therefore hold no lock during the lookup.
func TestWatchHoldsNoLockDuringLookup(t *testing.T) {
	w := newWatch()
	w.reset([]string{"a"})
	w.expect(map[string]uint64{"a": 1})
	done := make(chan bool)
	go func() {
		defer close(done)
		w.checkReturned("n", func(name string) (membership.Member, bool) {
			w.observe("n", name, membership.Dead)
			return membership.Member{Start: 1}, true
		})
	}()
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Fatal("deadlock between the watch and the node")
	}
	if n := hdrhistogram.Import(w.report().Returned).TotalCount(); n != 1 {
		t.Errorf("%d returns recorded, want 1", n)
	}
}

// Guards against a hollow process that outlives its context because it waits for the next request.
func TestHollowProcessEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	in, requests := io.Pipe()
	defer requests.Close()
	done := make(chan error, 1)
	go func() { done <- ServeHollow(ctx, in, io.Discard) }()
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
