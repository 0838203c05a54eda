package fleet

import (
	"strings"

	"gorseledge/internal/fleet/view"
	"gorseledge/internal/membership/wire"
)

// messageKinds is the number of message kinds. Messages of a kind that this version does not know are counted as NONE.
const messageKinds = int(wire.Message_WORDS) + 1

// trafficCounts counts messages and their bytes by kind. It is not safe for concurrent use.
type trafficCounts [messageKinds]view.Traffic

// of returns the counts of a kind, to read or change them.
func (t *trafficCounts) of(kind wire.Message_Kind) *view.Traffic {
	if kind < 0 || int(kind) >= messageKinds {
		kind = wire.Message_NONE
	}
	return &t[kind]
}

// sent counts a datagram that was sent.
func (t *trafficCounts) sent(kind wire.Message_Kind, bytes int) {
	c := t.of(kind)
	c.SentMessages++
	c.SentBytes += bytes
}

// received counts a datagram that was accepted.
func (t *trafficCounts) received(kind wire.Message_Kind, bytes int) {
	c := t.of(kind)
	c.ReceivedMessages++
	c.ReceivedBytes += bytes
}

// nonZero returns the counts of the kinds that occurred, in the order of the kinds' numbers.
func (t *trafficCounts) nonZero() []view.Traffic {
	var counts []view.Traffic
	for kind, c := range t {
		if c.SentMessages+c.ReceivedMessages == 0 {
			continue
		}
		c.Kind = strings.ToLower(wire.Message_Kind(kind).String())
		counts = append(counts, c)
	}
	return counts
}
