// Package line parses and encodes the line protocol that clients and hosts speak. It keeps nothing and decides nothing:
// it maps the protocol's verbs and fields to typed values. Lines end with LF or CR LF, and have MaxLength bytes at most.
package line

import (
	"bytes"
	"math"
	"strconv"
)

// MaxLength is the number of bytes that a line may have, its end included.
const MaxLength = 4096

// Verb is what a line begins with.
type Verb uint8

// The protocol's verbs; Other is any that it does not have.
const (
	Other  Verb = iota
	Open        // a client's or the node's first line: a flow is to be taken
	Up          // a host has taken the flow
	Bye         // the host has served the flow
	Move        // the client is to connect again
	Err         // the flow has failed
	Busy        // the flow is rejected, perhaps with a Retry-After in ms
	Load        // the connection's load
	Ping        // is the far side ready?
	Pong        // it is, perhaps with a load report
	Stats       // a health check that asks for a load report
	No          // health checks are not allowed
	Syntax      // the line cannot be understood
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

// Split gives the verb of a line and what follows it, without the line's end.
func Split(text []byte) (Verb, []byte) {
	text = trimEnd(text)
	verb, rest, _ := bytes.Cut(text, []byte(" "))
	return verbs[string(verb)], rest
}

// trimEnd cuts the end of a line off.
func trimEnd(text []byte) []byte { return bytes.TrimRight(text, "\r\n") }

// BusyLine rejects a flow, with the seconds after which its client may retry; 0 or less for none.
func BusyLine(retryAfter float64) []byte {
	if retryAfter <= 0 {
		return []byte("BUSY\r\n")
	}
	ms := max(int64(math.Round(retryAfter*1e3)), 1)
	return append(strconv.AppendInt([]byte("BUSY "), ms, 10), "\r\n"...)
}
