package scale

import (
	"context"
	"math"

	"google.golang.org/protobuf/proto"

	"gorseledge/internal/emulator/members"
	"gorseledge/internal/fleet"
	"gorseledge/internal/membership/wire"
)

// judgeRest compares a hollow node at rest with a real one, and with its bounds.
func (r *run) judgeRest(hollow, real costs) {
	h, k := hollow.total(), real.total()
	r.judgeRatio(RuleTruth, "hollow over real, messages sent", h.sentMessages, k.sentMessages)
	r.judgeRatio(RuleTruth, "hollow over real, bytes sent", h.sentBytes, k.sentBytes)
	r.judgeRatio(RuleTruth, "hollow over real, messages received", h.receivedMessages, k.receivedMessages)
	r.judgeRatio(RuleTruth, "hollow over real, bytes received", h.receivedBytes, k.receivedBytes)
	if hollow.cpu > r.script.CPU {
		r.broken(RuleCPU, "%.4f of a core, %.4f is the bound", hollow.cpu, r.script.CPU)
	}
	if hollow.slope > r.script.Memory*1e6 {
		r.broken(RuleMemory, "%.1f MB, %g is the bound", hollow.slope/1e6, r.script.Memory)
	}
	if bytes := h.sentBytes + h.receivedBytes; bytes > r.script.Bandwidth*1e3 {
		r.broken(RuleBandwidth, "%.1f kB/s, %g is the bound", bytes/1e3, r.script.Bandwidth)
	}
}

// judgeRatio holds that two figures differ by the script's tolerance at the most.
func (r *run) judgeRatio(rule, what string, a, b float64) {
	ratio := a / b
	r.say("%s: %.3f", what, ratio)
	if !(math.Abs(ratio-1) <= r.script.Tolerance) {
		r.broken(rule, "%s: %.4g over %.4g is %.3f, and %g is the tolerance", what, a, b, ratio, r.script.Tolerance)
	}
}

// virtualRest is what members on the virtual clock cost at rest.
type virtualRest struct {
	members.IdleCost
	err error
}

// playVirtual plays members of the same core on the virtual clock, beside the run. Their messages have the same names
// and addresses, and the size that they would have as datagrams.
func (r *run) playVirtual(ctx context.Context) <-chan virtualRest {
	done := make(chan virtualRest, 1)
	go func() {
		rest, err := r.restVirtual(ctx)
		done <- virtualRest{rest, err}
	}()
	return done
}

func (r *run) restVirtual(ctx context.Context) (members.IdleCost, error) {
	return members.MeasureIntroduced(ctx, members.Options{Nodes: r.result.Size, Seed: r.Seed, Zones: r.script.zones(), Period: r.script.Period,
		Address: func(i int) string { return r.plan.Nodes[i].Address }, Build: r.build,
		Size: func(m *wire.Message) int { return fleet.DatagramBytes(proto.Size(m)) }}, r.script.AtRest, r.script.Rest/r.script.Period)
}

// judgeVirtual compares nodes at rest with members on the virtual clock.
func (r *run) judgeVirtual(ctx context.Context, hollow, real costs) error {
	var rest virtualRest
	select {
	case rest = <-r.virtual:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	if rest.err != nil {
		return rest.err
	}
	r.add(Row{Kind: Virtual, Phase: "rest", Cost: "sent_messages.all", Unit: "1/s", Value: rest.Messages})
	r.add(Row{Kind: Virtual, Phase: "rest", Cost: "sent_bytes.all", Unit: "B/s", Value: rest.Bytes})
	r.say("rest, virtual: sent %.2f messages and %.0f bytes a second", rest.Messages, rest.Bytes)
	r.say("suspicions at rest, from late answers: %.2f a hollow node and minute; none on the virtual clock", 60*hollow.suspicions)
	h, k := hollow.members(), real.members()
	r.judgeRatio(RuleVirtual, "virtual over hollow, messages sent", rest.Messages, h.sentMessages)
	r.judgeRatio(RuleVirtual, "virtual over hollow, bytes sent", rest.Bytes, h.sentBytes)
	r.judgeRatio(RuleVirtual, "virtual over real, messages sent", rest.Messages, k.sentMessages)
	r.judgeRatio(RuleVirtual, "virtual over real, bytes sent", rest.Bytes, k.sentBytes)
	return nil
}
