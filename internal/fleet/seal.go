package fleet

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"google.golang.org/protobuf/proto"

	"gorseledge/internal/membership/wire"
)

const (
	version   = 1  // first byte of a message: nodes of two versions ignore each other
	fleetLen  = 4  // bytes of a hash of the fleet's id
	macLen    = 16 // bytes of HMAC-SHA256 that go along
	mostSize  = 256
	mostBody  = 208 // bytes of a message itself; the rest proves that it is the fleet's and new
	window    = 64  // messages that may come late or out of order
	mostNames = 1 << 15
)

// seal authenticates messages and verifies them. A keyed MAC guards against strangers, the fleet's id against messages of
// other fleets, and a growing count against replays.
type seal struct {
	fleet []byte
	keys  [][]byte
	count uint64
	seen  map[string][]counts // by name, of the newest two processes
}

// counts is the replay window of one process: the highest count seen and a bit for each count before it.
type counts struct {
	start   uint64
	highest uint64
	bits    uint64
}

func newSeal(c Config) *seal {
	sum := sha256.Sum256([]byte(c.Fleet))
	return &seal{fleet: sum[:fleetLen], keys: c.keys, seen: map[string][]counts{}}
}

// mac returns the MAC over the fleet, the count and the body of a datagram.
func mac(key []byte, s *wire.Sealed) []byte {
	h := hmac.New(sha256.New, key)
	var count [8]byte
	binary.BigEndian.PutUint64(count[:], s.Count)
	h.Write(s.Fleet)
	h.Write(count[:])
	h.Write(s.Body)
	return h.Sum(nil)[:macLen]
}

// close returns the authenticated datagram of a message.
func (s *seal) close(m *wire.Message) ([]byte, error) {
	body, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	s.count++
	sealed := &wire.Sealed{Fleet: s.fleet, Count: s.count, Body: body}
	sealed.Mac = mac(s.keys[0], sealed)
	return proto.MarshalOptions{}.MarshalAppend([]byte{version}, sealed)
}

// DatagramBytes gives the size of the datagram of a message of so many bytes, when a sender has sent some thousands.
func DatagramBytes(message int) int {
	const count = 1 << 13
	sealed := &wire.Sealed{Fleet: make([]byte, fleetLen), Count: count, Body: make([]byte, message), Mac: make([]byte, macLen)}
	return 1 + proto.Size(sealed)
}

// refusal says why a datagram is not taken.
type refusal string

const (
	taken     refusal = ""
	garbage   refusal = "garbage"
	otherWay  refusal = "another version"
	stranger  refusal = "another fleet"
	unproven  refusal = "no right MAC"
	playBack  refusal = "seen before"
	forgotten refusal = "too many senders"
)

// open verifies a datagram and returns its message, or the reason for which it is rejected.
func (s *seal) open(text []byte) (*wire.Message, refusal) {
	var sealed wire.Sealed
	switch {
	case len(text) < 2 || len(text) > mostSize:
		return nil, garbage
	case text[0] != version:
		return nil, otherWay
	case proto.Unmarshal(text[1:], &sealed) != nil:
		return nil, garbage
	case string(sealed.Fleet) != string(s.fleet):
		return nil, stranger
	}
	proven := false
	for _, key := range s.keys {
		proven = proven || hmac.Equal(sealed.Mac, mac(key, &sealed))
	}
	if !proven {
		return nil, unproven
	}
	m := &wire.Message{}
	if proto.Unmarshal(sealed.Body, m) != nil || m.From == "" {
		return nil, garbage
	}
	return m, s.fresh(m.From, m.Start, sealed.Count)
}

// fresh records the count of a message. A count that was seen, or is older than the window, is a replay. The two latest
// processes of each name are kept: the older one may still run, until it learns that it is replaced.
func (s *seal) fresh(name string, start, count uint64) refusal {
	of := s.seen[name]
	at := slices.IndexFunc(of, func(c counts) bool { return c.start == start })
	switch {
	case at < 0 && len(of) == 0 && len(s.seen) >= mostNames:
		return forgotten
	case at < 0 && len(of) == 2 && start < min(of[0].start, of[1].start):
		return playBack
	case at < 0:
		if len(of) == 2 {
			of = slices.DeleteFunc(of, func(c counts) bool { return c.start == min(of[0].start, of[1].start) })
		}
		s.seen[name] = append(of, counts{start, count, 1})
		return taken
	}
	c := &of[at]
	if count > c.highest {
		c.bits = c.bits<<min(count-c.highest, 64) | 1
		c.highest = count
		return taken
	}
	age := c.highest - count
	if age >= window || c.bits&(1<<age) != 0 {
		return playBack
	}
	c.bits |= 1 << age
	return taken
}
