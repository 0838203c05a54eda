package line

import (
	"bytes"
	"errors"
	"math"
	"strconv"
)

// Reasons why a first line is not taken.
var (
	ErrNotOpening = errors.New("not an opening line")
	ErrNoTimeout  = errors.New("no connect timeout in the opening line")
)

const (
	openingParts   = 4             // the verb, the id, the client key and the fields
	maxTimeoutMS   = math.MaxInt32 // of a connect timeout, not included
	maxExpectedUS  = 1e12          // of an expected load, not included
	timeoutRoom    = 8             // bytes by which a line may grow with another timeout
	firstPrintable = ' '
	lastPrintable  = '~'
)

// Opening is a flow's first line. Fields that the line does not have are zero.
type Opening struct {
	ID           string
	ClientKey    uint64
	GroupKey     uint64
	Type         string  // of service, by name
	Tenant       string  // by name
	RestoredHost string  // the host at which the flow is open already, by name
	Timeout      float64 // s until the client gives up; above 0
	Load         float64 // expected load, s of work a second
	Returning    bool    // the client comes again after its connection broke or was migrated
	MidFlow      bool    // an established connection whose packets now come to this node

	timeoutStart, timeoutEnd int // where the value of the timeout's field stands in the line
}

// ParseOpening reads a first line. The error is ErrNotOpening, or ErrNoTimeout with what else was understood. A field
// that is not known, or whose value cannot be read, is left out; of a field that comes twice the later one counts.
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

// notPrintable tells whether a character is none of printable ASCII.
func notPrintable(character rune) bool {
	return character < firstPrintable || character > lastPrintable
}

// setField takes one field, which stands at this place of the line.
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

// WithTimeout gives the first line, which is text, with another connect timeout in seconds, 1 ms at least. All else stays
// as the client wrote it.
func (o Opening) WithTimeout(text []byte, timeout float64) []byte {
	ms := max(int64(timeout*1e3), 1)
	replaced := make([]byte, 0, len(text)+timeoutRoom)
	replaced = append(replaced, text[:o.timeoutStart]...)
	replaced = strconv.AppendInt(replaced, ms, 10)
	return append(replaced, text[o.timeoutEnd:]...)
}
