package lbwire

import (
	"encoding/binary"
	"fmt"
	"math"

	"gorseledge/placement"
)

// byteOrder is the byte order of the protocol.
var byteOrder = binary.BigEndian

// Sizes in the protocol, in bytes unless noted otherwise.
const (
	batchHeaderBytes  = 16
	replyHeaderBytes  = 8
	eventBytes        = 48
	actionBytes       = 16
	endpointBytes     = 22
	maxFrameBytes     = 1 << 28
	maxReportFigures  = 4 // largest number of load figures of one health check
	reportFigureBytes = 4
)

// loadReportField is the name of the figure of a load report that is the load of the host.
const loadReportField = "x0"

// Units of the protocol, in seconds.
const (
	microsecond = 1e-6
	millisecond = 1e-3
)

// eventCode is the kind of an event.
type eventCode byte

// The event codes of the protocol. The comments are the protocol's names for them.
const (
	eventClientLeft     eventCode = 1 + iota // cancelled_by_client
	eventHealthChecked                       // probe_done
	eventFlow                                // work_item
	eventFlowNote                            // notice
	eventGossip                              // heard
	eventRestoredFlow                        // carried
	eventAttemptEnded                        // reply
	eventEstablished                         // first
	eventEndpoints                           // members
	eventWake                                // wakeup
	eventInstanceStart                       // hello
	eventInstanceKilled                      // destroy
)

// actionCode is the kind of an action.
type actionCode byte

// The action codes that this package writes. The comments are the protocol's names for them.
const (
	actionConnect        actionCode = 1  // call_out
	actionReject         actionCode = 2  // deny
	actionAbort          actionCode = 3  // abort
	actionWake           actionCode = 5  // set_alarm
	actionCheckHealth    actionCode = 6  // ping
	actionGossip         actionCode = 8  // notify
	actionLog            actionCode = 9  // journal_line
	actionWatchEndpoints actionCode = 11 // follow
	actionMigrate        actionCode = 13 // redirect
)

// actionCodes maps the balancer's actions to the protocol's codes. Load gossip is missing, because appendGossip encodes it.
var actionCodes = map[placement.Action]actionCode{
	placement.Connect:        actionConnect,
	placement.Reject:         actionReject,
	placement.Abort:          actionAbort,
	placement.Wake:           actionWake,
	placement.CheckHealth:    actionCheckHealth,
	placement.Log:            actionLog,
	placement.WatchEndpoints: actionWatchEndpoints,
	placement.Migrate:        actionMigrate,
}

// allInstances is the recipient code of a message to every other instance.
const allInstances = math.MaxUint16

// watchWithChanges is the code that requests the changes of the endpoint list in addition to the list.
const watchWithChanges = 1

// Kinds of an eventFlowNote.
const (
	noteLoad  = 1 // load in millionths
	noteDelay = 2 // message delay in milliseconds
)

// Bits of a flow's options.
const (
	optionHasLoad   = 1
	optionMidFlow   = 8
	optionReturning = 16
)

// outcomes maps the protocol's outcome codes to the balancer's outcomes.
var outcomes = map[uint16]placement.Outcome{
	0:   placement.Served,
	5:   placement.Failed,
	11:  placement.Rejected,
	104: placement.ConnectionLost,
	110: placement.TimedOut,
	111: placement.ConnectFailed,
	114: placement.NotSent,
	125: placement.Canceled,
}

// outcomeOf returns the outcome for a code. An unknown code counts as a lost connection, because the attempt may have had an
// effect.
func outcomeOf(code uint16) placement.Outcome {
	if outcome, known := outcomes[code]; known {
		return outcome
	}
	return placement.ConnectionLost
}

// listKinds maps the protocol's codes for kinds of endpoint lists to the balancer's kinds.
var listKinds = map[byte]placement.ListKind{
	0: placement.ListCached,
	1: placement.ListChanges,
	2: placement.ListFull,
	4: placement.ListFailed,
}

// endpointStates maps the protocol's codes for server states to the balancer's states.
var endpointStates = map[byte]placement.EndpointState{
	0: placement.Removed,
	1: placement.Ready,
	2: placement.Draining,
}

// tailPart returns the part of the tail to which a field refers. The field holds the offset in bytes and the length in units
// of unitBytes bytes.
func tailPart(field, tail []byte, unitBytes uint64) ([]byte, error) {
	from := uint64(byteOrder.Uint32(field))
	length := uint64(byteOrder.Uint32(field[4:])) * unitBytes
	if from+length > uint64(len(tail)) {
		return nil, fmt.Errorf("field refers to bytes %d to %d, past the tail of %d bytes", from, from+length, len(tail))
	}
	return tail[from : from+length], nil
}

// float32At decodes a 32-bit floating-point field.
func float32At(field []byte) float64 { return float64(math.Float32frombits(byteOrder.Uint32(field))) }

// microseconds converts seconds to the microseconds of the protocol, at least 1 and at most math.MaxInt32.
func microseconds(seconds float64) uint32 {
	return uint32(math.Min(math.Max(math.Round(seconds/microsecond), 1), math.MaxInt32))
}
