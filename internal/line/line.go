// Package line parses and encodes the line protocol that clients and hosts speak. It keeps nothing and
// decides nothing.
package line

import (
	"bytes"
	"errors"
	"hash/fnv"
	"math"
	"strconv"
)

// MaxLength is the length that a line may have, its end included.
const MaxLength = 4096

// Verb is what a line begins with.
type Verb uint8

// The words of the protocol; Other is any that it does not have.
const (
	Other Verb = iota
	Open
	Up
	Bye
	Move
	Err
	Busy
	Load
	Ping
	Pong
	Stats
	No
	Syntax
)

var verbs = map[string]Verb{"OPEN": Open, "UP": Up, "BYE": Bye, "MOVE": Move, "ERR": Err, "BUSY": Busy,
	"LOAD": Load,
	"PING": Ping, "PONG": Pong, "STATS": Stats, "NO": No, "SYNTAX": Syntax}

// Lines that the node says itself.
const (
	MoveLine  = "MOVE\r\n"
	ErrLine   = "ERR\r\n"
	PingLine  = "PING\r\n"
	PongLine  = "PONG\r\n"
	StatsLine = "STATS\r\n"
)

// Reasons why a first line is not taken.
var (
	ErrNotOpening = errors.New("not an opening line")
	ErrNoTimeout  = errors.New("no connect timeout in the opening line")
)

// Split gives the word that a line begins with and what follows it, without the line's end.
func Split(text []byte) (Verb, []byte) {
	text = bytes.TrimRight(text, "\r\n")
	word, rest, _ := bytes.Cut(text, []byte(" "))
	return verbs[string(word)], rest
}

// Opening is what a flow's first line tells.
type Opening struct {
	ID                       string
	ClientKey, GroupKey      uint64 // 0 where not told
	Type                     string
	Tenant                   string
	RestoredHost             string  // the host at which the connection is open already
	Timeout                  float64 // seconds until the client gives up
	Load                     float64 // expected load, work a second; 0 where not told
	Returning                bool
	MidFlow                  bool
	timeoutStart, timeoutEnd int // where the value of d stands in the line
}

// ParseOpening reads a first line. An error leaves what was understood in the result.
func ParseOpening(text []byte) (Opening, error) {
	var o Opening
	text = bytes.TrimRight(text, "\r\n")
	parts := bytes.Split(text, []byte(" "))
	if len(parts) != 4 || verbs[string(parts[0])] != Open || len(parts[1]) == 0 || len(parts[2]) == 0 {
		return o, ErrNotOpening
	}
	for _, c := range text {
		if c < ' ' || c > '~' {
			return o, ErrNotOpening
		}
	}
	o.ID, o.ClientKey = string(parts[1]), ParseKey(parts[2])
	at := len(text) - len(parts[3])
	for _, field := range bytes.Split(parts[3], []byte(",")) {
		name, value, _ := bytes.Cut(field, []byte("="))
		switch string(name) {
		case "c":
			o.Type = string(value)
		case "t":
			o.Tenant = string(value)
		case "g":
			o.GroupKey = ParseKey(value)
		case "d":
			ms, err := strconv.ParseFloat(string(value), 64)
			if err == nil && ms > 0 && ms < math.MaxInt32 {
				o.Timeout, o.timeoutStart, o.timeoutEnd = ms/1e3, at+len(name)+1, at+len(field)
			}
		case "h":
			if us, err := strconv.ParseFloat(string(value), 64); err == nil && us > 0 && us < 1e12 {
				o.Load = us / 1e6
			}
		case "again":
			o.Returning = string(value) == "1"
		case "mid":
			o.MidFlow = string(value) == "1"
		case "at":
			o.RestoredHost = string(value)
		}
		at += len(field) + 1
	}
	if o.Timeout == 0 {
		return o, ErrNoTimeout
	}
	return o, nil
}

// WithTimeout gives the first line with its connect timeout replaced; all else stays as the client wrote it.
func (o Opening) WithTimeout(text []byte, within float64) []byte {
	ms := max(int64(within*1e3), 1)
	out := append(make([]byte, 0, len(text)+8), text[:o.timeoutStart]...)
	return append(strconv.AppendInt(out, ms, 10), text[o.timeoutEnd:]...)
}

// BusyLine rejects, with the time after which to come again where one is given.
func BusyLine(away float64) []byte {
	if away <= 0 {
		return []byte("BUSY\r\n")
	}
	return append(strconv.AppendInt([]byte("BUSY "), max(int64(math.Round(away*1e3)), 1), 10), "\r\n"...)
}

// ParseKey reads a key: hexadecimal as clients write it, the hash of the text where it is something else.
func ParseKey(text []byte) uint64 {
	if n, err := strconv.ParseUint(string(text), 16, 64); err == nil {
		return n
	}
	if len(text) == 0 || string(text) == "-" {
		return 0
	}
	return Hash(text)
}

// Hash stands for a text that is no number.
func Hash(text []byte) uint64 {
	h := fnv.New64a()
	h.Write(text)
	return h.Sum64()
}

// ParseLoad reads the figure of a LOAD line, work a second.
func ParseLoad(rest []byte) (float64, bool) {
	us, err := strconv.ParseFloat(string(bytes.TrimSpace(rest)), 64)
	return us / 1e6, err == nil && us >= 0 && !math.IsInf(us, 0)
}

// ParseReport finds the figure of that name in a load report.
func ParseReport(rest []byte, name string) (float64, bool) {
	split := func(r rune) bool { return r == ' ' || r == ',' || r == ';' }
	for _, field := range bytes.FieldsFunc(rest, split) {
		key, value, found := bytes.Cut(field, []byte("="))
		if found && string(key) == name {
			x, err := strconv.ParseFloat(string(value), 64)
			return x, err == nil && !math.IsNaN(x) && !math.IsInf(x, 0)
		}
	}
	return 0, false
}
