package serving

import (
	"strconv"
	"strings"
	"time"
)

const (
	deliveryPrefix = "M " // begins a delivery; the time at which it was written follows, in nanoseconds
	lineEnd        = "\r\n"
	filler         = "x" // pads a delivery to its length
	headerBytes    = 32  // number of bytes at the beginning of a line that contain the prefix and the time
)

// deliveryAt returns a delivery line of the given size in bytes that contains the time at which it is written. The line is
// longer if the size is too small for the time.
func deliveryAt(written time.Duration, size int) []byte {
	header := deliveryPrefix + strconv.FormatInt(int64(written), 10) + " "
	missing := max(size-len(header)-len(lineEnd), 0)
	return []byte(header + strings.Repeat(filler, missing) + lineEnd)
}

// parseDelivery returns the time at which a delivery was written, and false if the line is not a delivery.
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
