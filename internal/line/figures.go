package line

import (
	"bytes"
	"hash/fnv"
	"math"
	"strconv"
)

// noKey is the key that a client without a key sends.
const noKey = "-"

// ParseKey parses a key. Clients write keys in hexadecimal; any other text yields its hash. Without a key the result is 0.
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

// Hash returns the 64-bit FNV-1a hash of a text. It serves as the key of a text that is not hexadecimal.
func Hash(text []byte) uint64 {
	hash := fnv.New64a()
	hash.Write(text)
	return hash.Sum64()
}

// ParseLoad parses the value of a LOAD line, which is in microseconds of work per second, and returns it in seconds of
// work per second. It returns false if there is no finite value or if it is negative.
func ParseLoad(rest []byte) (float64, bool) {
	us, err := strconv.ParseFloat(string(bytes.TrimSpace(rest)), 64)
	return us / 1e6, err == nil && us >= 0 && !math.IsInf(us, 0)
}

// ParseReport returns the value with the given name in a load report, which is a list of NAME=VALUE. It returns false if
// there is no such value or if it is not finite.
func ParseReport(rest []byte, name string) (float64, bool) {
	for _, field := range bytes.FieldsFunc(rest, isReportSeparator) {
		key, value, found := bytes.Cut(field, []byte("="))
		if found && string(key) == name {
			number, err := strconv.ParseFloat(string(value), 64)
			return number, err == nil && !math.IsNaN(number) && !math.IsInf(number, 0)
		}
	}
	return 0, false
}

// isReportSeparator reports whether a character separates the values of a load report.
func isReportSeparator(character rune) bool {
	return character == ' ' || character == ',' || character == ';'
}
