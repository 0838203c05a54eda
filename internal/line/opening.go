package line

import (
	"bytes"
	"errors"
	"math"
	"strconv"
)

// Reasons for which an opening line is rejected.
var (
	ErrNotOpening = errors.New("not an opening line")
	ErrNoTimeout  = errors.New("no connect timeout in the opening line")
)

const (
	openingParts   = 4             // the verb, the id, the client key and the fields
	maxTimeoutMS   = math.MaxInt32 // a connect timeout must be below this
	maxExpectedUS  = 1e12          // an expected load, in µs of work per second, must be below this
	timeoutRoom    = 8             // spare bytes for a timeout with more digits than the client's
	firstPrintable = ' '
	lastPrintable  = '~'
)

// Opening is a flow's opening line. Fields that the line does not contain are zero.
type Opening struct {
	ID           string
	ClientKey    uint64
	GroupKey     uint64
	Type         string  // name of the service type
	Tenant       string  // name of the tenant
	RestoredHost string  // name of the host at which the flow is already open
	Timeout      float64 // time in s after which the client gives up connecting; above 0
	Load         float64 // expected load in s of work per second
	Returning    bool    // the client connects again after its connection was lost or migrated
	MidFlow      bool    // the connection is already established, and its packets now reach this node

	timeoutStart, timeoutEnd int // byte range of the timeout's value in the line
}

// ParseOpening parses an opening line. The error is ErrNotOpening or ErrNoTimeout; with the latter, the other fields are
// returned as well. Fields with an unknown name or an invalid value are ignored. If a field occurs more than once, the
// last one applies.
func ParseOpening(text []byte) (Opening, error) {
	text = trimEnd(text)
	parts := bytes.Split(text, []byte(" "))
	if len(parts) != openingParts || verbs[string(parts[0])] != Open || len(parts[1]) == 0 || len(parts[2]) == 0 {
		return Opening{}, ErrNotOpening
	}
	if bytes.ContainsFunc(text, notPrintable) {
		return Opening{}, ErrNotOpening
	}
	opening := Opening{ID: string(parts[1]), ClientKey: ParseKey(parts[2])}
	start := len(text) - len(parts[3])
	for _, field := range bytes.Split(parts[3], []byte(",")) {
		opening.setField(field, start)
		start += len(field) + 1
	}
	if opening.Timeout == 0 {
		return opening, ErrNoTimeout
	}
	return opening, nil
}

// notPrintable reports whether a character is outside printable ASCII.
func notPrintable(character rune) bool {
	return character < firstPrintable || character > lastPrintable
}

// setField parses one field, NAME=VALUE, that begins at byte start of the line.
func (o *Opening) setField(field []byte, start int) {
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
		if err == nil && ms > 0 && ms < maxTimeoutMS {
			o.Timeout = ms / 1e3
			o.timeoutStart = start + len(name) + 1
			o.timeoutEnd = start + len(field)
		}
	case "h":
		us, err := strconv.ParseFloat(string(value), 64)
		if err == nil && us > 0 && us < maxExpectedUS {
			o.Load = us / 1e6
		}
	case "again":
		o.Returning = string(value) == "1"
	case "mid":
		o.MidFlow = string(value) == "1"
	case "at":
		o.RestoredHost = string(value)
	}
}

// WithTimeout returns a copy of text, the line from which o was parsed, with another connect timeout. The timeout is in
// seconds and is written as at least 1 ms. The rest of the line stays as the client wrote it.
func (o Opening) WithTimeout(text []byte, timeout float64) []byte {
	ms := max(int64(timeout*1e3), 1)
	replaced := make([]byte, 0, len(text)+timeoutRoom)
	replaced = append(replaced, text[:o.timeoutStart]...)
	replaced = strconv.AppendInt(replaced, ms, 10)
	return append(replaced, text[o.timeoutEnd:]...)
}
