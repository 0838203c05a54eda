package line

import (
	"bytes"
	"hash/fnv"
	"math"
	"strconv"
)

// noKey stands for a key that a client does not have.
const noKey = "-"

// ParseKey reads a key: hexadecimal as clients write it, and the hash of the text where it is something else. It is 0 for
// no key.
func ParseKey(text []byte) uint64 {
	key, err := strconv.ParseUint(string(text), 16, 64)
	if err == nil {
		return key
	}
	if len(text) == 0 || string(text) == noKey {
		return 0
	}
	return Hash(text)
}

// Hash stands for a text that is no number.
func Hash(text []byte) uint64 {
	hash := fnv.New64a()
	hash.Write(text)
	return hash.Sum64()
}

// ParseLoad reads the figure of a LOAD line, in seconds of work a second. It gives false for none, or one below 0.
func ParseLoad(rest []byte) (float64, bool) {
	us, err := strconv.ParseFloat(string(bytes.TrimSpace(rest)), 64)
	return us / 1e6, err == nil && us >= 0 && !math.IsInf(us, 0)
}

// ParseReport finds the figure of that name in a load report, which is a list of NAME=FIGURE. It gives false for none, or
// one that is not finite.
func ParseReport(rest []byte, name string) (float64, bool) {
	for _, field := range bytes.FieldsFunc(rest, separatesFigures) {
		key, value, found := bytes.Cut(field, []byte("="))
		if found && string(key) == name {
			figure, err := strconv.ParseFloat(string(value), 64)
			return figure, err == nil && !math.IsNaN(figure) && !math.IsInf(figure, 0)
		}
	}
	return 0, false
}

// separatesFigures tells whether a character stands between the figures of a load report.
func separatesFigures(character rune) bool {
	return character == ' ' || character == ',' || character == ';'
}
