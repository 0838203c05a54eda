package scale

import (
	"context"
	"math"

	"google.golang.org/protobuf/proto"

	"gorseledge/internal/emulator/members"
	"gorseledge/internal/fleet"
	"gorseledge/internal/membership/wire"
)

// checkRest adds violations if the traffic of a hollow node at rest differs from that of a real one, or if the hollow
// node's CPU, memory or bandwidth exceeds the script's bound.
func (r *run) checkRest(hollow, real costs) {
	hollowTotal, realTotal := hollow.total(), real.total()
	r.checkRatio(RuleHollowMatchesReal, "hollow over real, messages sent", hollowTotal.sentMessages, realTotal.sentMessages)
	r.checkRatio(RuleHollowMatchesReal, "hollow over real, bytes sent", hollowTotal.sentBytes, realTotal.sentBytes)
	r.checkRatio(RuleHollowMatchesReal, "hollow over real, messages received", hollowTotal.receivedMessages,
		realTotal.receivedMessages)
	r.checkRatio(RuleHollowMatchesReal, "hollow over real, bytes received", hollowTotal.receivedBytes, realTotal.receivedBytes)
	if hollow.cpu > r.script.CPU {
		r.addViolation(RuleCPU, "%.4f of a core; the bound is %.4f", hollow.cpu, r.script.CPU)
	}
	if hollow.slope > r.script.Memory*1e6 {
		r.addViolation(RuleMemory, "%.1f MB; the bound is %g MB", hollow.slope/1e6, r.script.Memory)
	}
	if bytes := hollowTotal.sentBytes + hollowTotal.receivedBytes; bytes > r.script.Bandwidth*1e3 {
		r.addViolation(RuleBandwidth, "%.1f kB/s; the bound is %g kB/s", bytes/1e3, r.script.Bandwidth)
	}
}

// checkRatio adds a violation if the ratio of two figures differs from 1 by more than the script's tolerance.
func (r *run) checkRatio(rule, what string, a, b float64) {
	ratio := a / b
	r.reportProgress("%s: %.3f", what, ratio)
	if !(math.Abs(ratio-1) <= r.script.Tolerance) {
		r.addViolation(rule, "%s: %.4g over %.4g is %.3f; it must be within %g of 1", what, a, b, ratio, r.script.Tolerance)
	}
}

// virtualRest is the cost at rest of members on the virtual clock, or the error with which its measurement failed.
type virtualRest struct {
	members.IdleCost
	err error
}

// runVirtual measures the cost at rest of members on the virtual clock, which use the same membership core as nodes,
// concurrently with the run, and sends the result to the returned channel. The messages of these members have the run's
// names and addresses, and are counted with the size that they would have as datagrams.
func (r *run) runVirtual(ctx context.Context) <-chan virtualRest {
	done := make(chan virtualRest, 1)
	go func() {
		rest, err := r.measureVirtualRest(ctx)
		done <- virtualRest{rest, err}
	}()
	return done
}

func (r *run) measureVirtualRest(ctx context.Context) (members.IdleCost, error) {
	return members.MeasureIntroduced(ctx, members.Options{Nodes: r.result.Size, Seed: r.Seed,
		Zones: r.script.zoneCount(), Period: r.script.Period,
		Address: func(i int) string { return r.plan.Nodes[i].Address }, Build: r.build,
		Size: func(m *wire.Message) int { return fleet.DatagramBytes(proto.Size(m)) }}, r.script.AwaitQuiescence,
		r.script.RestDuration/r.script.Period)
}

// checkVirtual waits for the cost at rest of members on the virtual clock, adds it as rows, and adds violations if it
// differs from that of hollow or real nodes.
func (r *run) checkVirtual(ctx context.Context, hollow, real costs) error {
	var rest virtualRest
	select {
	case rest = <-r.virtual:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	if rest.err != nil {
		return rest.err
	}
	r.addRow(Row{Kind: Virtual, Phase: "rest", Cost: "sent_messages.all", Unit: "1/s", Value: rest.Messages})
	r.addRow(Row{Kind: Virtual, Phase: "rest", Cost: "sent_bytes.all", Unit: "B/s", Value: rest.Bytes})
	r.reportProgress("rest, virtual: sent %.2f messages and %.0f bytes a second", rest.Messages, rest.Bytes)
	r.reportProgress("suspicions at rest, from late answers: %.2f per hollow node and minute; none on the virtual clock",
		60*hollow.suspicions)
	hollowTraffic, realTraffic := hollow.memberTraffic(), real.memberTraffic()
	r.checkRatio(RuleVirtualMatches, "virtual over hollow, messages sent", rest.Messages, hollowTraffic.sentMessages)
	r.checkRatio(RuleVirtualMatches, "virtual over hollow, bytes sent", rest.Bytes, hollowTraffic.sentBytes)
	r.checkRatio(RuleVirtualMatches, "virtual over real, messages sent", rest.Messages, realTraffic.sentMessages)
	r.checkRatio(RuleVirtualMatches, "virtual over real, bytes sent", rest.Bytes, realTraffic.sentBytes)
	return nil
}
