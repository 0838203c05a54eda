package fleet

import (
	"strings"

	"gorseledge/internal/fleet/view"
	"gorseledge/internal/membership/wire"
)

// messageKinds is the number of kinds that are counted apart; one that this build does not know counts as NONE.
const messageKinds = int(wire.Message_WORDS) + 1

// trafficCounts counts messages by kind. The caller has the lock.
type trafficCounts [messageKinds]view.Traffic

func (t *trafficCounts) of(kind wire.Message_Kind) *view.Traffic {
	if kind < 0 || int(kind) >= messageKinds {
		kind = wire.Message_NONE
	}
	return &t[kind]
}

func (t *trafficCounts) sent(kind wire.Message_Kind, bytes int) {
	c := t.of(kind)
	c.SentMessages++
	c.SentBytes += bytes
}

func (t *trafficCounts) received(kind wire.Message_Kind, bytes int) {
	c := t.of(kind)
	c.ReceivedMessages++
	c.ReceivedBytes += bytes
}

// nonZero gives the counts of the kinds that occurred, in the order of the kinds.
func (t *trafficCounts) nonZero() (out []view.Traffic) {
	for kind, c := range t {
		if c.SentMessages+c.ReceivedMessages == 0 {
			continue
		}
		c.Kind = strings.ToLower(wire.Message_Kind(kind).String())
		out = append(out, c)
	}
	return out
}
