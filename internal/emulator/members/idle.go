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
	// MaxIdlePendingUpdates is the mean number of updates that a node of a fleet at rest may still gossip.
	MaxIdlePendingUpdates = 0.1

	startPeriods   = 400  // after which a thousand nodes that start together know each other
	maxRestPeriods = 1000 // after which a fleet has to be at rest
	// updateOverheadBytes is the most that protobuf adds to an encoded update in a message: the field's tag and length.
	updateOverheadBytes = 3
)

// ErrNotAtRest is returned for a fleet that has not come to rest within a thousand periods.
var ErrNotAtRest = errors.New("the simulated members have not come to rest")

// IdleCost is what a member costs while nothing happens in its fleet.
type IdleCost struct {
	CPU      float64 // seconds in a second: processor time of this process, with its garbage collection
	Memory   float64 // bytes of all that is kept
	Messages float64 // sent in a second
	Bytes    float64 // sent in a second
}

// MeasureIdle measures a fleet at rest over so many periods, once its members know each other.
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

// MeasureIntroduced measures a fleet whose members were introduced to each other, over so many full periods: once they
// know the same and gossip nothing new where atRest is true, or else once they know each other. CPU and memory are left
// out. The error is ErrNotAtRest, or the context's.
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

// idleCost returns the messages and bytes that a member has sent in a second since the totals given, so many periods ago.
func (s *Simulation) idleCost(since totals, periods float64) IdleCost {
	sent := s.sentTotals()
	return IdleCost{
		Messages: float64(sent.messages-since.messages) / s.memberSeconds(periods),
		Bytes:    float64(sent.bytes-since.bytes) / s.memberSeconds(periods),
	}
}

// memberSeconds returns the seconds in so many periods, of all members together.
func (s *Simulation) memberSeconds(periods float64) float64 {
	return float64(s.Nodes) * periods * s.Period
}

// settle runs the simulation, period by period, until its members know each other and, where atRest is true, know the
// same and gossip next to nothing.
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

// atRest reports whether all nodes know the same and gossip next to nothing.
func (s *Simulation) atRest() bool {
	return s.sameDigests() && s.pendingUpdates() <= MaxIdlePendingUpdates*float64(s.Nodes)
}

// introduce sends every member updates about all others.
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
		panic(err) // only for a wrong argument
	}
	return timevalSeconds(usage.Utime) + timevalSeconds(usage.Stime)
}

func timevalSeconds(t syscall.Timeval) float64 { return float64(t.Sec) + float64(t.Usec)/1e6 }
