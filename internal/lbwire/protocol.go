package lbwire

import (
	"encoding/binary"
	"fmt"
	"math"

	"gorseledge/placement"
)

// byteOrder is the protocol's.
var byteOrder = binary.BigEndian

// Sizes of the protocol's parts, in bytes.
const (
	batchHeadBytes    = 16
	replyHeadBytes    = 8
	eventBytes        = 48
	actionBytes       = 16
	endpointBytes     = 22
	maxFrameBytes     = 1 << 28
	maxReportFigures  = 4 // load figures of one health check
	reportFigureBytes = 4
)

// loadReportField is the figure of a load report that is the host's load.
const loadReportField = "x0"

// Units of the protocol, in seconds.
const (
	microsecond = 1e-6
	millisecond = 1e-3
)

// eventCode says what an event is.
type eventCode byte

// The protocol's event codes, with its names for them.
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

// actionCode says what an action is.
type actionCode byte

// The protocol's action codes that this package writes, with its names for them.
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

// actionCodes gives the protocol's code for the balancer's actions, but for load gossip, which is sent together.
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

// allInstances is the recipient of a message to every other instance.
const allInstances = math.MaxUint16

// watchWithChanges asks for the list's changes, not only for a list.
const watchWithChanges = 1

// Kinds of an eventFlowNote.
const (
	noteLoad  = 1 // millionths
	noteDelay = 2 // ms
)

// Bits of a flow's options.
const (
	optionHasLoad   = 1
	optionMidFlow   = 8
	optionReturning = 16
)

// outcomes gives the balancer's term for the protocol's code of an outcome.
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

// outcomeOf gives an outcome by its code. One that is not known may have run, as after a lost connection.
func outcomeOf(code uint16) placement.Outcome {
	if outcome, known := outcomes[code]; known {
		return outcome
	}
	return placement.ConnectionLost
}

// listKinds gives the balancer's term for the protocol's code of a list.
var listKinds = map[byte]placement.ListKind{
	0: placement.ListCached,
	1: placement.ListChanges,
	2: placement.ListFull,
	4: placement.ListFailed,
}

// endpointStates gives the balancer's term for the protocol's code of a server's state.
var endpointStates = map[byte]placement.EndpointState{
	0: placement.Removed,
	1: placement.Ready,
	2: placement.Draining,
}

// tailPart gives what a field of offset and length names in the tail, in units of unitBytes bytes.
func tailPart(field, tail []byte, unitBytes uint64) ([]byte, error) {
	from := uint64(byteOrder.Uint32(field))
	length := uint64(byteOrder.Uint32(field[4:])) * unitBytes
	if from+length > uint64(len(tail)) {
		return nil, fmt.Errorf("bytes %d to %d are past the tail's %d", from, from+length, len(tail))
	}
	return tail[from : from+length], nil
}

// float32At reads a field of 4 bytes.
func float32At(field []byte) float64 { return float64(math.Float32frombits(byteOrder.Uint32(field))) }

// microseconds turns seconds into the protocol's time, which is positive.
func microseconds(seconds float64) uint32 {
	return uint32(math.Min(math.Max(math.Round(seconds/microsecond), 1), math.MaxInt32))
}
