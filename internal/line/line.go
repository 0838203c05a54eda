// Package line parses and encodes the line protocol of clients and hosts: it maps the protocol's verbs and fields to typed
// values. It holds no state and makes no decisions. Lines end with LF or CR LF and have at most MaxLength bytes.
package line

import (
	"bytes"
	"math"
	"strconv"
)

// MaxLength is the maximum length of a line in bytes, including its end.
const MaxLength = 4096

// Verb is the first word of a line.
type Verb uint8

// The protocol's verbs; Other is any word that is not a verb.
const (
	Other  Verb = iota
	Open        // opens a flow; the opening line of a client to the node or of the node to a host
	Up          // a host has accepted the flow
	Bye         // the host has served the flow to its end
	Move        // the client is to connect again
	Err         // the flow has failed
	Busy        // the flow is rejected, optionally with a time in ms after which to retry
	Load        // the connection's load
	Ping        // asks whether the receiver is ready
	Pong        // answers Ping or Stats: the sender is ready, optionally with a load report
	Stats       // a health check that requests a load report
	No          // refuses a health check, since none are allowed
	Syntax      // the line received cannot be parsed
)

var verbs = map[string]Verb{
	"OPEN":   Open,
	"UP":     Up,
	"BYE":    Bye,
	"MOVE":   Move,
	"ERR":    Err,
	"BUSY":   Busy,
	"LOAD":   Load,
	"PING":   Ping,
	"PONG":   Pong,
	"STATS":  Stats,
	"NO":     No,
	"SYNTAX": Syntax,
}

// Complete lines that the node sends.
const (
	MoveLine  = "MOVE\r\n"
	ErrLine   = "ERR\r\n"
	PingLine  = "PING\r\n"
	PongLine  = "PONG\r\n"
	StatsLine = "STATS\r\n"
)

// Split returns the verb of a line and the rest of it after the verb, without the line's end.
func Split(text []byte) (Verb, []byte) {
	text = trimEnd(text)
	verb, rest, _ := bytes.Cut(text, []byte(" "))
	return verbs[string(verb)], rest
}

// trimEnd removes the end of a line, LF or CR LF.
func trimEnd(text []byte) []byte { return bytes.TrimRight(text, "\r\n") }

// BusyLine returns the line that rejects a flow. The client may retry after retryAfter seconds; the line leaves the time
// out if it is 0 or less.
func BusyLine(retryAfter float64) []byte {
	if retryAfter <= 0 {
		return []byte("BUSY\r\n")
	}
	ms := max(int64(math.Round(retryAfter*1e3)), 1)
	return append(strconv.AppendInt([]byte("BUSY "), ms, 10), "\r\n"...)
}
