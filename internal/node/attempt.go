package node

import (
	"gorseledge/internal/line"
	"gorseledge/placement"
)

// outcomeByWord says what each word that a host may answer an opening line with means for the attempt.
var outcomeByWord = map[line.Verb]placement.Outcome{
	line.Bye:  placement.Served,
	line.Move: placement.Canceled,
	line.Err:  placement.Failed,
	line.Busy: placement.Rejected,
}

// outcomeOf returns the outcome of an attempt that a host answered with something other than its receipt. An unknown
// word counts as a failure, as the attempt may have run.
func outcomeOf(word line.Verb) placement.Outcome {
	if outcome, ok := outcomeByWord[word]; ok {
		return outcome
	}
	return placement.Failed
}

// interruptedOutcome returns the outcome of an attempt that broke, ended or was never answered. It may have run if the
// last byte of its line was written.
func interruptedOutcome(lineSent, timedOut bool) placement.Outcome {
	switch {
	case !lineSent:
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

// attemptFailed reports to the balancer how an attempt ended that did not become a connection.
func (n *Node) attemptFailed(f *flow, outcome placement.Outcome) {
	if f.host != nil {
		n.closeConnection(f.host, false)
	}
	if f.restored {
		n.restoreFailed(f, outcome)
		return
	}
	f.attemptActive = false
	served := outcome == placement.Served
	n.balancer.AttemptEnded(n.now, f.index, f.attempt, outcome, served)
	n.flows.markReleasable(f)
	if served { // it ran to its end before it was established: nothing of it can be forwarded
		n.answer(f.client, []byte(line.ErrLine), Served)
	}
}

// restoreFailed ends a flow that its host did not take up again.
func (n *Node) restoreFailed(f *flow, outcome placement.Outcome) {
	f.attemptActive = false
	n.balancer.AttemptEnded(n.now, f.index, f.attempt, outcome, true)
	if outcome.NeverRan() {
		n.answer(f.client, line.BusyLine(0), NotRestored)
		return
	}
	n.answer(f.client, []byte(line.ErrLine), NotRestored)
}

// establish handles a host's receipt: from here on lines are forwarded both ways.
func (n *Node) establish(f *flow) {
	f.host.clearDeadline()
	f.established = true
	f.setupTime = n.now - f.client.startedAt
	n.countAnswered(&n.figures.Types[f.serviceType].Established)
	n.notifySuccessor(HandoverUpdate{Established: n.describeConnection(f)})
	if !f.restored {
		n.balancer.Established(f.index, f.attempt)
	}
	n.scanLines(f.client)
	if n.upgrade.clientsHandedOver {
		n.beginTransfer(f)
	}
}

// cancelUnsuitableDials gives up attempts that are still being dialed to hosts that take no new flows any more. Nothing
// of them is written, so each goes to another host at once. Otherwise a slow dial could end in an opening line that is
// written to a draining host after its grace.
func (n *Node) cancelUnsuitableDials() {
	for _, f := range n.flows.byIndex {
		if f == nil || !f.attemptActive || f.established || f.restored || f.host.connected {
			continue
		}
		if !n.endpoints.hosts[f.hostIndex].takesNewFlows() {
			n.attemptFailed(f, placement.NotSent)
		}
	}
}
