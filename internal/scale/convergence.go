package scale

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gorseledge/internal/emulator/members"
)

const (
	memberMessageInterval   = 25 * time.Millisecond // between two member-list messages to one node
	memberResendInterval    = 5.0                   // seconds without convergence before the member list is sent again
	convergencePollInterval = time.Second           // between two reads of the nodes' views
)

// awaitStartConvergence waits until every node knows every other one. It returns a negative number if that does not happen
// within the start time-out. If the script asks for it, the run first sends the member list to all nodes, and sends it
// again after every memberResendInterval without convergence, because a message may be lost on a busy machine; took then
// counts from the last sending.
func (r *run) awaitStartConvergence(ctx context.Context) (took float64, err error) {
	if !r.script.SendMembers {
		return r.awaitConvergence(ctx, r.script.StartTimeout)
	}
	for began := time.Now(); ; {
		if err := r.sendMembers(ctx, r.plan.Nodes, r.plan.Nodes); err != nil {
			return 0, err
		}
		took, err = r.awaitConvergence(ctx, memberResendInterval)
		if err != nil || took >= 0 {
			return took, err
		}
		if time.Since(began).Seconds() > r.script.StartTimeout {
			return -1, nil
		}
	}
}

// startConvergenceError returns the error that ends a run in which not every node learned of every other one, as such a
// fleet cannot be measured. The error states the number of disagreements and the first one.
func (r *run) startConvergenceError(ctx context.Context) error {
	wrong, first, err := r.countDisagreements(ctx)
	if err != nil {
		return err
	}
	return fmt.Errorf("%s (%g s): %d disagreements, first: %s", RuleStartConvergence, r.script.StartTimeout, wrong, first)
}

// awaitQuiescence waits, if the script asks for it, until all hollow nodes hold the same view and have few updates left to
// gossip, and adds a violation after the quiescence time-out. On a machine that is too busy for the nodes' time-outs the
// fleet may never become quiescent: each late answer raises a suspicion, which is gossiped to all nodes.
func (r *run) awaitQuiescence(ctx context.Context) error {
	for began := time.Now(); r.script.AwaitQuiescence; {
		report, err := r.hollows.requestReports(request{Kind: requestReport, Digests: true})
		if err != nil {
			return err
		}
		if len(report.digests) <= 1 && float64(report.pendingUpdates) <= members.MaxIdlePendingUpdates*float64(report.nodes) {
			return nil
		}
		if waited := time.Since(began).Seconds(); waited > r.script.QuiescenceTimeout {
			r.addViolation(RuleQuiescence, "after %.0f s the nodes hold %d different views and each has %.1f updates to gossip", waited,
				len(report.digests), float64(report.pendingUpdates)/float64(report.nodes))
			return nil
		}
		if err := sleep(ctx, convergencePollInterval.Seconds()); err != nil {
			return err
		}
	}
	return nil
}

// sendMembers sends the current records of members to the nodes in to.
func (r *run) sendMembers(ctx context.Context, members, to []NodePlan) error {
	records, err := r.memberRecords(ctx, members)
	if err != nil {
		return err
	}
	var addresses []string
	for _, n := range to {
		addresses = append(addresses, n.Address)
	}
	return r.plan.sendMembers(ctx, records, addresses)
}

// memberRecords returns the current records of nodes, each as the node itself reports it.
func (r *run) memberRecords(ctx context.Context, nodes []NodePlan) ([]memberRecord, error) {
	records, err := r.reals.memberRecords(ctx, nodes)
	if err != nil {
		return nil, err
	}
	wanted := map[string]bool{}
	for _, n := range nodes {
		wanted[n.Name] = true
	}
	replies, err := r.hollows.requestAll(request{Kind: requestMembers})
	if err != nil {
		return nil, err
	}
	for _, a := range replies {
		for _, m := range a.Members {
			if wanted[m.Name] {
				records = append(records, m)
			}
		}
	}
	return records, nil
}

// awaitConvergence waits until the fleet has converged and returns the seconds that passed, or -1 if the fleet has not
// converged after within seconds.
func (r *run) awaitConvergence(ctx context.Context, within float64) (took float64, err error) {
	for began := time.Now(); ; {
		converged, err := r.converged(ctx)
		if err != nil {
			return 0, err
		}
		switch took = time.Since(began).Seconds(); {
		case converged:
			return took, nil
		case took > within:
			return -1, nil
		}
		if err := sleep(ctx, convergencePollInterval.Seconds()); err != nil {
			return 0, err
		}
	}
}

// converged reports whether every node counts as many live members as there are nodes and all expected returns have been seen.
func (r *run) converged(ctx context.Context) (bool, error) {
	report, err := r.hollows.report()
	if err != nil {
		return false, err
	}
	size := len(r.plan.Nodes)
	for _, s := range report.liveCounts {
		if s.Min != size || s.Max != size {
			return false, nil
		}
	}
	views := r.reals.views(ctx)
	for _, v := range views {
		if v.LiveCount != size {
			return false, nil
		}
	}
	return len(views) == r.script.Real && r.outstandingReturns(report) == 0, ctx.Err()
}

// outstandingReturns returns how many expected returns have not been seen yet, according to a report of the hollow nodes and
// the views of the real ones.
func (r *run) outstandingReturns(report hollowReport) int64 {
	seen := report.returned.TotalCount() + hdrhistogram.Import(r.reals.watch.report().Returned).TotalCount()
	return max(r.expectedReturns-seen, 0)
}

// missingConvergence is what keeps a fleet from being converged.
type missingConvergence struct {
	disagreements      int    // pairs of a node and a member that the node does not see as live
	firstDisagreement  string // description of one of them; empty if there is none
	silentNodes        int    // real nodes that show no view
	outstandingReturns int64  // pairs of a node and a returned member whose return the node has not seen
}

// any reports whether anything is missing.
func (m missingConvergence) any() bool {
	return m.disagreements > 0 || m.silentNodes > 0 || m.outstandingReturns > 0
}

// String describes what is missing in one line.
func (m missingConvergence) String() string {
	text := fmt.Sprintf("%d disagreements, %d real nodes without a view, %d returns not seen", m.disagreements, m.silentNodes,
		m.outstandingReturns)
	if m.firstDisagreement != "" {
		text += ", first disagreement: " + m.firstDisagreement
	}
	return text
}

// missingForConvergence returns what keeps the fleet from being converged now.
func (r *run) missingForConvergence(ctx context.Context) (missingConvergence, error) {
	var m missingConvergence
	var err error
	if m.disagreements, m.firstDisagreement, err = r.countDisagreements(ctx); err != nil {
		return m, err
	}
	report, err := r.hollows.report()
	if err != nil {
		return m, err
	}
	m.silentNodes = r.script.Real - len(r.reals.views(ctx))
	m.outstandingReturns = r.outstandingReturns(report)
	return m, ctx.Err()
}

// countDisagreements counts the pairs of a node and a member that the node does not see as live, and describes the first
// one. It expects that all nodes are running and no region is cut off.
func (r *run) countDisagreements(ctx context.Context) (wrong int, first string, err error) {
	all := map[string]bool{}
	e := expectation{}
	for _, n := range r.plan.Nodes {
		all[n.Name] = true
		e.Names = append(e.Names, n.Name)
	}
	var expected []expectation
	for region := range r.script.ZonesPerRegion {
		e.Region = region
		expected = append(expected, e)
	}
	replies, err := r.hollows.requestAll(request{Kind: requestCheck, Expected: expected})
	if err != nil {
		return 0, "", err
	}
	add := func(n int, why string) {
		if wrong += n; first == "" {
			first = why
		}
	}
	for _, a := range replies {
		add(a.Disagreements, a.FirstDisagreement)
	}
	for _, v := range r.reals.views(ctx) {
		add(disagreement(v, all))
	}
	return wrong, first, nil
}
