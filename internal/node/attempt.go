package node

import (
	"gorseledge/internal/line"
	"gorseledge/placement"
)

// outcomeByWord maps the first word of a host's answer to an opening line to the outcome of the attempt. Any answer but
// the receipt (UP) ends the attempt.
var outcomeByWord = map[line.Verb]placement.Outcome{
	line.Bye:  placement.Served,
	line.Move: placement.Canceled,
	line.Err:  placement.Failed,
	line.Busy: placement.Rejected,
}

// outcomeOf returns the outcome of an attempt whose host answered with a word other than its receipt (UP). An unknown
// word counts as a failure, because the request may have run.
func outcomeOf(word line.Verb) placement.Outcome {
	if outcome, ok := outcomeByWord[word]; ok {
		return outcome
	}
	return placement.Failed
}

// lineMayBeSent reports whether the opening line of f's current attempt may have been written to its last byte. As long as
// a write is under way, its owner may carry it out in full, even after the node has closed the connection.
func (f *flow) lineMayBeSent() bool { return f.lineSent || f.host.writePending > 0 }

// interruptedOutcome returns the outcome of an attempt whose connection ended without an answer or timed out. The
// request may have run unless its opening line is known not to be written to the last byte.
func interruptedOutcome(lineMayBeSent, timedOut bool) placement.Outcome {
	switch {
	case !lineMayBeSent:
		return placement.ConnectFailed
	case timedOut:
		return placement.TimedOut
	}
	return placement.ConnectionLost
}

// startAttempt sends a flow's opening line to a host, which has timeout seconds to answer.
func (n *Node) startAttempt(f *flow, host int, timeout float64) {
	f.attempt++
	f.hostIndex = host
	f.attemptActive = true
	f.lineSent = false
	if !n.canAffordDescriptor() {
		n.attemptFailed(f, placement.NotSent)
		return
	}
	f.host = n.dial(hostRole, host, f.opening.WithTimeout(f.openingLine, timeout), timeout, f.client.id)
	f.host.flow = f
}

// attemptFailed reports to the balancer the outcome of an attempt that was not established.
func (n *Node) attemptFailed(f *flow, outcome placement.Outcome) {
	if f.host != nil {
		n.closeConnection(f.host, false)
	}
	if f.restored {
		n.restoreFailed(f, outcome)
		return
	}
	f.attemptActive = false
	f.mayHaveRun = f.mayHaveRun || !outcome.NeverRan()
	served := outcome == placement.Served
	n.balancer.AttemptEnded(n.now, f.index, f.attempt, outcome, served)
	n.flows.markReleasable(f)
	if served { // the flow ran to its end before it was established, so its client cannot be sent any of it
		n.answer(f.client, []byte(line.ErrLine), Served)
	}
}

// restoreFailed ends a flow that its host did not resume.
func (n *Node) restoreFailed(f *flow, outcome placement.Outcome) {
	f.attemptActive = false
	n.balancer.AttemptEnded(n.now, f.index, f.attempt, outcome, true)
	if outcome.NeverRan() {
		n.answer(f.client, line.BusyLine(0), NotRestored)
		return
	}
	n.answer(f.client, []byte(line.ErrLine), NotRestored)
}

// establish handles a host's receipt of the opening line. From here on lines are forwarded in both directions.
func (n *Node) establish(f *flow) {
	f.host.clearDeadline()
	f.established = true
	f.setupTime = n.now - f.client.startedAt
	n.countAnswered(&n.statistics.Types[f.serviceType].Established)
	n.notifySuccessor(HandoverUpdate{Established: n.describeConnection(f)})
	if !f.restored {
		n.balancer.Established(f.index, f.attempt)
	}
	n.scanLines(f.client)
	n.shutdown.addEstablished(f)
	if n.upgrade.clientsHandedOver {
		n.beginTransfer(f)
	}
}

// cancelUnsuitableDials cancels the attempts that are still being dialed to hosts that no longer accept new flows.
// Nothing has been written for these attempts, so each flow goes to another host at once. Without this, a slow dial
// could succeed after the host's drain grace and send an opening line to a draining host.
func (n *Node) cancelUnsuitableDials() {
	for _, f := range n.flows.byIndex {
		if f == nil || !f.attemptActive || f.established || f.restored || f.host.connected {
			continue
		}
		if !n.endpoints.hosts[f.hostIndex].acceptsNewFlows() {
			n.attemptFailed(f, placement.NotSent)
		}
	}
}
