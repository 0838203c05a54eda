package serving

import (
	"strconv"
	"strings"
	"time"
)

const (
	deliveryPrefix = "M " // of a delivery; the time at which it was written follows, in nanoseconds
	lineEnd        = "\r\n"
	filler         = "x" // that brings a delivery to its length
	headerBytes    = 32  // of a line, within which a delivery's time lies
)

// deliveryAt returns the text of a delivery of so many bytes with the time at which it is written. A length that is too
// small for the time gives a longer text.
func deliveryAt(written time.Duration, size int) []byte {
	header := deliveryPrefix + strconv.FormatInt(int64(written), 10) + " "
	missing := max(size-len(header)-len(lineEnd), 0)
	return []byte(header + strings.Repeat(filler, missing) + lineEnd)
}

// parseDelivery returns the time at which a delivery was written. It returns false for every other line.
func parseDelivery(line []byte) (time.Duration, bool) {
	header := string(line[:min(len(line), headerBytes)])
	rest, found := strings.CutPrefix(header, deliveryPrefix)
	if !found {
		return 0, false
	}
	field, _, _ := strings.Cut(rest, " ")
	written, err := strconv.ParseInt(strings.TrimSpace(field), 10, 64)
	return time.Duration(written), err == nil
}
