package members

import (
	"context"
	"errors"
	"runtime"
	"syscall"

	"google.golang.org/protobuf/proto"

	"gorseledge/internal/membership/wire"
)

const (
	// MaxIdlePendingUpdates is the largest mean number of updates that the nodes of a fleet at rest still have to gossip.
	MaxIdlePendingUpdates = 0.1

	startPeriods   = 400  // periods after which a thousand nodes that start together know each other
	maxRestPeriods = 1000 // periods within which a fleet has to be at rest
	// updateOverheadBytes is the largest overhead of protobuf for an update in a message: the field's tag and length.
	updateOverheadBytes = 3
)

// ErrNotAtRest is returned for a fleet that is not at rest after maxRestPeriods.
var ErrNotAtRest = errors.New("simulated members are not at rest after 1000 periods")

// IdleCost is the cost of one member of a fleet at rest.
type IdleCost struct {
	CPU      float64 // processor seconds of this process a second, including garbage collection
	Memory   float64 // bytes in use on the heap
	Messages float64 // messages sent a second
	Bytes    float64 // bytes sent a second
}

// MeasureIdle measures a fleet at rest over the given number of periods, after its members know each other.
func MeasureIdle(o Options, periods float64) IdleCost {
	before := heapBytes()
	s := New(o)
	s.runPeriods(startPeriods)
	s.Events = nil
	after := heapBytes()
	sent := s.sentTotals()
	processorTime := processorSeconds()
	s.runPeriods(periods)
	cost := s.idleCost(sent, periods)
	cost.CPU = (processorSeconds() - processorTime) / s.memberSeconds(periods)
	cost.Memory = float64(after-before) / float64(o.Nodes)
	runtime.KeepAlive(s)
	return cost
}

// MeasureIntroduced measures a fleet whose members were introduced to each other, over the given number of full periods. If
// atRest is true, the measurement begins when all members have the same knowledge and next to nothing left to gossip, or
// else as soon as they know each other. CPU and Memory are not measured. The error is ErrNotAtRest or that of the context.
func MeasureIntroduced(ctx context.Context, o Options, atRest bool, periods float64) (IdleCost, error) {
	s := New(o)
	s.introduce()
	if err := s.settle(ctx, atRest); err != nil {
		return IdleCost{}, err
	}
	sent := s.sentTotals()
	fullPeriods := int(periods)
	for range fullPeriods {
		s.runPeriods(1)
		if err := ctx.Err(); err != nil {
			return IdleCost{}, err
		}
	}
	return s.idleCost(sent, float64(fullPeriods)), nil
}

// idleCost returns the messages and bytes that a member has sent a second since the given totals were taken, the given number
// of periods ago.
func (s *Simulation) idleCost(since totals, periods float64) IdleCost {
	sent := s.sentTotals()
	return IdleCost{
		Messages: float64(sent.messages-since.messages) / s.memberSeconds(periods),
		Bytes:    float64(sent.bytes-since.bytes) / s.memberSeconds(periods),
	}
}

// memberSeconds returns the seconds in the given number of periods, multiplied by the number of members.
func (s *Simulation) memberSeconds(periods float64) float64 {
	return float64(s.Nodes) * periods * s.Period
}

// settle runs the simulation, period by period, until its members know each other and, if atRest is true, are at rest.
func (s *Simulation) settle(ctx context.Context, atRest bool) error {
	limit := s.Now + maxRestPeriods*s.Period
	for {
		s.runPeriods(1)
		if err := ctx.Err(); err != nil {
			return err
		}
		if s.CheckAgreement() == nil && (!atRest || s.atRest()) {
			return nil
		}
		if s.Now > limit {
			return ErrNotAtRest
		}
	}
}

// atRest reports whether all nodes have the same knowledge and next to nothing left to gossip.
func (s *Simulation) atRest() bool {
	return s.sameDigests() && s.pendingUpdates() <= MaxIdlePendingUpdates*float64(s.Nodes)
}

// introduce sends every member updates about all members, in messages of the allowed size.
func (s *Simulation) introduce() {
	var message *wire.Message
	for _, n := range s.nodes {
		update := n.Self().Update()
		if message != nil && proto.Size(message)+proto.Size(update)+updateOverheadBytes > maxMessageBytes {
			s.injectAll(message)
			message = nil
		}
		if message == nil {
			message = &wire.Message{Kind: wire.Message_STATE, From: "introducer", Start: 1}
		}
		message.Updates = append(message.Updates, update)
	}
	if message != nil {
		s.injectAll(message)
	}
}

// injectAll delivers a message to every node.
func (s *Simulation) injectAll(message *wire.Message) {
	for i := range s.nodes {
		s.Inject(i, message)
	}
}

// heapBytes returns the bytes of the heap that are in use after a garbage collection.
func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// processorSeconds returns the processor time that this process has used so far, user and system.
func processorSeconds() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // fails only for an invalid argument
	}
	return timevalSeconds(usage.Utime) + timevalSeconds(usage.Stime)
}

func timevalSeconds(t syscall.Timeval) float64 { return float64(t.Sec) + float64(t.Usec)/1e6 }
